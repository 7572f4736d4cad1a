package wallmoor.rules;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when an entry that was appended but has not been applied yet is appended again, as the log may lose an
 * appended entry when the leader changes. Times are microseconds.
 */
final class AppendRetry {
    private static final int RETRIES_PER_TERM = 5;

    private final long leaseTerm;
    private final Map<LogEntry, Long> appendedAt = new HashMap<>();

    AppendRetry(long leaseTerm) {
        this.leaseTerm = leaseTerm;
    }

    /** Returns whether the entry is due to be appended now; if so, records it as appended at this time. */
    boolean isDue(long now, LogEntry entry) {
        Long lastAppendedAt = appendedAt.get(entry);
        if (lastAppendedAt != null && now - lastAppendedAt < leaseTerm / RETRIES_PER_TERM) {
            return false;
        }
        appendedAt.values().removeIf(time -> now - time > leaseTerm);
        appendedAt.put(entry, now);
        return true;
    }

    /** Removes all recorded entries. */
    void clear() {
        appendedAt.clear();
    }
}
