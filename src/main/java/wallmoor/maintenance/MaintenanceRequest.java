package wallmoor.maintenance;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * That a machine be taken out for work.
 *
 * @param id     the asker's; asked again under it, a wish is the same one
 * @param workMillis  the work, in milliseconds, above 0
 * @param deadline     when the machine must serve again, in milliseconds since 1970, or {@link #NO_DEADLINE}
 * @param reason for people
 * @param requester    asks
 * @param after  machines whose wishes must be done before this one begins
 * @param before machines that may begin only when this one is done
 */
public record MaintenanceRequest(String id, String machine, long workMillis, long deadline, String reason,
        String requester, SortedSet<String> after,
        SortedSet<String> before) {
    /** No time by which it must be done. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    public MaintenanceRequest {
        if (id.isEmpty() || machine.isEmpty() || workMillis <= 0) {
            throw new IllegalArgumentException("a wish needs an id, a machine and a time that the work lasts");
        }
        after = Collections.unmodifiableSortedSet(new TreeSet<>(after));
        before = Collections.unmodifiableSortedSet(new TreeSet<>(before));
    }
}
