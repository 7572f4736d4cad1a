package wallmoor.rules;

import java.util.Map;

/**
 * What a gatherer may go by, and until when. Immutable: traffic reads the last one without waiting for anybody, and
 * asks it at each act. A process that stood still asks with the time it is when it wakes, so an old snapshot does no
 * harm.
 *
 * @param leaseExpiry the lease's end on this process' own monotonic clock, microseconds; it is over at that time
 */
public record RuleSnapshot(long leaseExpiry, Map<String, EffectiveRule> underLease,
        Map<String, EffectiveRule> withoutLease) {
    private static final EffectiveRule NONE = new EffectiveRule(EffectiveRule.Basis.NONE, 0, 0, RuleBody.EMPTY);

    /** Keeps copies that nobody changes. */
    public RuleSnapshot {
        underLease = Map.copyOf(underLease);
        withoutLease = Map.copyOf(withoutLease);
    }

    /** What to go by, at this time. Never null. */
    public EffectiveRule effectiveRule(long now, String name) {
        return (now < leaseExpiry ? underLease : withoutLease).getOrDefault(name, NONE);
    }
}
