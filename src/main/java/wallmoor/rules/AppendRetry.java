package wallmoor.rules;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when an entry that the log has not returned yet is appended again, as a log may lose an appended entry with a
 * change of leader. Times are microseconds.
 */
final class AppendRetry {
    private static final int RETRIES_PER_TERM = 5;

    private final long leaseTerm;
    private final Map<LogEntry, Long> appendedAt = new HashMap<>();

    AppendRetry(long leaseTerm) {
        this.leaseTerm = leaseTerm;
    }

    /** Returns whether the entry is to be appended now, and takes it as appended if so. */
    boolean isDue(long now, LogEntry entry) {
        Long last = appendedAt.get(entry);
        if (last != null && now - last < leaseTerm / RETRIES_PER_TERM) {
            return false;
        }
        appendedAt.values().removeIf(at -> now - at > leaseTerm);
        appendedAt.put(entry, now);
        return true;
    }

    /** Forgets all entries. */
    void clear() {
        appendedAt.clear();
    }
}
