package wallmoor.ogc;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import wallmoor.http.HttpReader;
import wallmoor.memory.MemoryBudget;

/**
 * The memory that the queries of this front may use at the same time. A thread that opens a query waits here until its
 * query fits, before anything is sent to a feature server. The rest of the heap is for the program's other fronts.
 */
final class QueryMemory {
    /** One in this many bytes of the heap is for the queries of this front. */
    static final int HEAP_DIVISOR = 4;
    /** The largest message body; features of one part and of one page are bounded by it as well. */
    private static final long BODY_BYTES = HttpReader.MAX_BODY_BYTES;
    /** The buffers of the JSON parser and of one connection's reader, apart from the body. */
    private static final long READER_BYTES = 32 * 1024;
    /** A part holds a body, twice that while its buffer grows, the features copied from it, and the encoded result. */
    private static final long PART_BYTES = 5 * BODY_BYTES + READER_BYTES;
    /** A page is assembled, copied into the document, and written. */
    private static final long PAGE_BYTES = 3 * BODY_BYTES;

    private final Lock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final MemoryBudget budget;
    /** The waiting queries that have been granted their memory and whose threads have not noticed yet. */
    private final Set<Long> newlyGranted = new HashSet<>();
    private long lastId;
    private boolean isShuttingDown;

    /**
     * Creates the memory of a front.
     *
     * @param heapBytes  the maximum size of the process's heap
     * @param maxQueries the maximum number of waiting queries
     */
    QueryMemory(long heapBytes, int maxQueries) {
        budget = new MemoryBudget(heapBytes / HEAP_DIVISOR, maxQueries);
    }

    /** The memory of one query, until it is released. */
    final class Reservation {
        private final long id;

        private Reservation(long id) {
            this.id = id;
        }

        void release() {
            end(id);
        }
    }

    /** Returns the bytes that a query over so many parts may need at most. */
    static long queryBytes(int parts) {
        return PAGE_BYTES + parts * PART_BYTES;
    }

    /**
     * Waits until the memory for a query is free.
     *
     * @param parts         the number of parts of the query
     * @param deadlineNanos when to give up, by {@link System#nanoTime}
     * @throws MemoryExhaustedException if it is not free by then, if too many queries wait, or after {@link #shutDown}
     */
    Reservation reserve(int parts, long deadlineNanos) throws InterruptedException, MemoryExhaustedException {
        lock.lock();
        try {
            long id = ++lastId;
            MemoryBudget.Decision decision = budget.request(id, queryBytes(parts));
            if (decision == MemoryBudget.Decision.REJECTED
                    || (decision == MemoryBudget.Decision.WAITS && !awaitGrant(id, deadlineNanos))) {
                throw new MemoryExhaustedException();
            }
            return new Reservation(id);
        } finally {
            lock.unlock();
        }
    }

    /** Waits until a waiting query is granted its memory. Returns false, and ends the request, at the deadline. */
    private boolean awaitGrant(long id, long deadlineNanos) throws InterruptedException {
        boolean granted = false;
        try {
            long remainingNanos = deadlineNanos - System.nanoTime();
            while (!newlyGranted.contains(id) && !isShuttingDown && remainingNanos > 0) {
                remainingNanos = changed.awaitNanos(remainingNanos);
            }
            granted = newlyGranted.remove(id);
            return granted;
        } finally {
            if (!granted) {
                end(id);
            }
        }
    }

    /** Rejects all queries that wait, and from now on those that would have to: the program ends soon. */
    void shutDown() {
        lock.lock();
        try {
            isShuttingDown = true;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private void end(long id) {
        lock.lock();
        try {
            newlyGranted.remove(id);
            newlyGranted.addAll(budget.end(id));
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
