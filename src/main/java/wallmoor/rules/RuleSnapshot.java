package wallmoor.rules;

import java.util.Map;

/**
 * What a gatherer may act on, and until when. Immutable: any thread reads the last one without waiting, and compares
 * the lease's expiry with the time at each act. A process that was paused does so with the time at which it wakes, so
 * an old snapshot does no harm.
 *
 * @param leaseExpiry  on this process's own monotonic clock, microseconds; at that time the lease is over
 * @param underLease   the rules in effect before the expiry, by document's name
 * @param withoutLease the rules in effect from then on, by document's name
 */
public record RuleSnapshot(long leaseExpiry, Map<String, EffectiveRule> underLease,
        Map<String, EffectiveRule> withoutLease) {
    private static final EffectiveRule NONE = new EffectiveRule(EffectiveRule.Basis.NONE, 0, 0, RuleBody.EMPTY);

    /** Copies the maps. */
    public RuleSnapshot {
        underLease = Map.copyOf(underLease);
        withoutLease = Map.copyOf(withoutLease);
    }

    /** Returns the rule in effect of a document at this time, microseconds; never null. */
    public EffectiveRule effectiveRule(long now, String name) {
        return (now < leaseExpiry ? underLease : withoutLease).getOrDefault(name, NONE);
    }
}
