package wallmoor.rules;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Timer of the leader's wait for verdicts on a pending version. The wait is one lease term, or a part of it if all
 * missing voters were missing the last time too and are fewer than half of the voters. So a voter that is down delays
 * only the first change. Times are microseconds on the leader's monotonic clock.
 */
final class VerdictTimer {
    /** Divisor of the lease term that gives the short wait. */
    private static final int SHORT_WAIT_DIVISOR = 5;

    private record PendingSince(long version, long startedAt) {}

    private final long leaseTerm;
    private final Map<String, PendingSince> pendingSince = new HashMap<>();
    /** Voters without a verdict when the last wait ended. */
    private Set<String> lastMissingVoters = Set.of();

    VerdictTimer(long leaseTerm) {
        this.leaseTerm = leaseTerm;
    }

    /** Starts the wait for a pending version unless it has started already, as a repeated proposal causes two calls. */
    void start(long now, RuleDocument pending) {
        PendingSince before = pendingSince.get(pending.name());
        if (before == null || before.version() != pending.version()) {
            pendingSince.put(pending.name(), new PendingSince(pending.version(), now));
        }
    }

    /**
     * Returns whether the wait for verdicts on the pending version of a document is over; if so, records the missing
     * voters.
     *
     * @param missing    voters that have sent no verdict
     * @param voterCount number of all voters
     */
    boolean isOver(long now, String name, Set<String> missing, int voterCount) {
        long waited = now - pendingSince.get(name).startedAt();
        boolean isSameMinority = lastMissingVoters.containsAll(missing) && 2 * missing.size() < voterCount;
        boolean isOver = waited >= leaseTerm || (waited >= leaseTerm / SHORT_WAIT_DIVISOR && isSameMinority);
        if (isOver) {
            lastMissingVoters = missing;
        }
        return isOver;
    }

    /** Removes all waits and the record of missing voters. */
    void clear() {
        pendingSince.clear();
        lastMissingVoters = Set.of();
    }
}
