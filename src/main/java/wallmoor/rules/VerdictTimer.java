package wallmoor.rules;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * How long the leader waits for voters' verdicts on a pending version before it closes them: a lease term, or a part of
 * one where all silent voters were silent the last time too and are fewer than half, so that a voter which is down
 * delays one change and not each. Times are microseconds on the leader's monotonic clock.
 */
final class VerdictTimer {
    /** The short wait is this part of a lease term. */
    private static final int SHORT_WAIT_DIVISOR = 5;

    private record PendingSince(long version, long at) {}

    private final long leaseTerm;
    private final Map<String, PendingSince> pendingSince = new HashMap<>();
    /** Voters that were silent when a version was last closed without them. */
    private Set<String> absentVoters = Set.of();

    VerdictTimer(long leaseTerm) {
        this.leaseTerm = leaseTerm;
    }

    /** Starts the wait for a pending version, unless it runs already: a repeated proposal is pending twice. */
    void start(long now, RuleDocument pending) {
        PendingSince before = pendingSince.get(pending.name());
        if (before == null || before.version() != pending.version()) {
            pendingSince.put(pending.name(), new PendingSince(pending.version(), now));
        }
    }

    /** Returns whether the pending version of this document has waited for long enough, by who is still silent. */
    boolean isOver(long now, String name, Set<String> silent, int voters) {
        long waited = now - pendingSince.get(name).at();
        boolean sameAbsentMinority = absentVoters.containsAll(silent) && 2 * silent.size() < voters;
        boolean over = waited >= leaseTerm || (waited >= leaseTerm / SHORT_WAIT_DIVISOR && sameAbsentMinority);
        if (over) {
            absentVoters = silent;
        }
        return over;
    }

    /** Forgets all waits, and who was absent. */
    void clear() {
        pendingSince.clear();
        absentVoters = Set.of();
    }
}
