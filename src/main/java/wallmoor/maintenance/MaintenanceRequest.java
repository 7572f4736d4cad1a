package wallmoor.maintenance;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Request to take a machine out of service for work.
 *
 * @param id         chosen by the requester; submitting the same request under it again is idempotent
 * @param workMillis how long the work takes, above 0
 * @param deadline   when the machine must serve again, in milliseconds since 1970, or {@link #NO_DEADLINE}
 * @param reason     for people
 * @param after      machines whose requests must be done before this one begins
 * @param before     machines whose requests may begin only when this one is done
 */
public record MaintenanceRequest(String id, String machine, long workMillis, long deadline, String reason,
        String requester, SortedSet<String> after, SortedSet<String> before) {
    /** The machine may come back at any time. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    /**
     * Takes copies of the sets.
     *
     * @throws InvalidRequestException without an id, a machine or a time that the work takes
     */
    public MaintenanceRequest {
        if (id.isEmpty() || machine.isEmpty() || workMillis <= 0) {
            throw new InvalidRequestException("a wish needs an id, a machine and a time that the work lasts");
        }
        after = Collections.unmodifiableSortedSet(new TreeSet<>(after));
        before = Collections.unmodifiableSortedSet(new TreeSet<>(before));
    }
}
