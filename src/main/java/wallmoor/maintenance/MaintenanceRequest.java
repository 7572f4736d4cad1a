package wallmoor.maintenance;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * A request to take a machine out of service for work.
 *
 * @param id         id chosen by the requester; submitting the same request again under this id is idempotent
 * @param workMillis how long the work takes, in milliseconds; positive
 * @param deadline   when the machine must serve again, in milliseconds since 1970, or {@link #NO_DEADLINE}
 * @param reason     the reason for the work, for people
 * @param after      machines whose requests must be done before this one begins
 * @param before     machines whose requests may begin only when this one is done
 */
public record MaintenanceRequest(String id, String machine, long workMillis, long deadline, String reason,
        String requester, SortedSet<String> after, SortedSet<String> before) {
    /** The deadline of a request whose machine may return at any time. */
    public static final long NO_DEADLINE = Long.MAX_VALUE;

    /**
     * Copies the sets.
     *
     * @throws InvalidRequestException if the id or the machine is empty, or the work time is not positive
     */
    public MaintenanceRequest {
        if (id.isEmpty() || machine.isEmpty() || workMillis <= 0) {
            throw new InvalidRequestException("maintenance request needs an id, a machine and a positive work time: "
                    + "id \"" + id + "\", machine \"" + machine + "\", work time " + workMillis + " ms");
        }
        after = Collections.unmodifiableSortedSet(new TreeSet<>(after));
        before = Collections.unmodifiableSortedSet(new TreeSet<>(before));
    }
}
