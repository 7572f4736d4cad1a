package wallmoor.memory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Grants requests parts of a fixed number of bytes, in the order in which they ask. A request that does not fit waits,
 * and those behind it wait too, so that a large one is not overtaken for ever. A request larger than the capacity is
 * granted only while no other is. Not thread-safe.
 */
public final class MemoryBudget {
    /** What happens to a request for memory. */
    public enum Decision {
        /** The request may use the memory until {@link #end}. */
        GRANTED,
        /** The request waits until {@link #end} of another one returns its id. */
        WAITS,
        /** Too many requests wait already. */
        REJECTED
    }

    private final long capacityBytes;
    private final int maxWaiting;
    private final Map<Long, Long> grantedBytes = new HashMap<>();
    /** The bytes that each waiting request asked for, in the order of their arrival. */
    private final Map<Long, Long> waitingBytes = new LinkedHashMap<>();
    private long usedBytes;

    /**
     * Creates a budget of which nothing is used.
     *
     * @param capacityBytes the bytes that may be granted at the same time
     * @param maxWaiting    the maximum number of waiting requests
     */
    public MemoryBudget(long capacityBytes, int maxWaiting) {
        this.capacityBytes = capacityBytes;
        this.maxWaiting = maxWaiting;
    }

    /** Decides on a request; {@code id} must not be in use, and {@code bytes} must not be negative. */
    public Decision request(long id, long bytes) {
        if (grantedBytes.containsKey(id) || waitingBytes.containsKey(id) || bytes < 0) {
            throw new IllegalArgumentException("id " + id + " is in use, or bytes " + bytes + " is negative");
        }
        if (waitingBytes.isEmpty() && fits(bytes)) {
            grant(id, bytes);
            return Decision.GRANTED;
        }
        if (waitingBytes.size() >= maxWaiting) {
            return Decision.REJECTED;
        }
        waitingBytes.put(id, bytes);
        return Decision.WAITS;
    }

    /**
     * Ends a request, granted or waiting; an unknown one is ignored.
     *
     * @return the ids of the waiting requests that are granted now, in the order of their arrival
     */
    public List<Long> end(long id) {
        waitingBytes.remove(id);
        Long released = grantedBytes.remove(id);
        usedBytes -= released == null ? 0 : released;
        var granted = new ArrayList<Long>();
        while (!waitingBytes.isEmpty()) {
            Map.Entry<Long, Long> first = waitingBytes.entrySet().iterator().next();
            if (!fits(first.getValue())) {
                break;
            }
            waitingBytes.remove(first.getKey());
            grant(first.getKey(), first.getValue());
            granted.add(first.getKey());
        }
        return granted;
    }

    private boolean fits(long bytes) {
        return grantedBytes.isEmpty() || bytes <= capacityBytes - usedBytes;
    }

    private void grant(long id, long bytes) {
        grantedBytes.put(id, bytes);
        usedBytes += bytes;
    }

    /** Returns the number of bytes that are granted now. */
    public long usedBytes() {
        return usedBytes;
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return waitingBytes.size();
    }
}
