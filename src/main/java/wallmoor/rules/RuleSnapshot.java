package wallmoor.rules;

import java.util.Map;

/**
 * The rules in effect for a gatherer, and the expiry of its lease. Immutable: any thread reads the latest snapshot
 * without locking, and compares the expiry with the current time at each action. A process that was paused compares it
 * with the time at which it resumes, so it never acts under an expired lease on an old snapshot.
 *
 * @param leaseExpiry  time from which the lease is no longer valid, microseconds on this process's own monotonic clock
 * @param underLease   the rules in effect before the expiry, by document name
 * @param withoutLease the rules in effect from the expiry on, by document name
 */
public record RuleSnapshot(long leaseExpiry, Map<String, EffectiveRule> underLease,
        Map<String, EffectiveRule> withoutLease) {
    private static final EffectiveRule NONE = new EffectiveRule(EffectiveRule.Basis.NONE, 0, 0, RuleBody.EMPTY);

    /** Copies the maps. */
    public RuleSnapshot {
        underLease = Map.copyOf(underLease);
        withoutLease = Map.copyOf(withoutLease);
    }

    /** Returns the rule of a document that is in effect at this time in microseconds; never null. */
    public EffectiveRule effectiveRule(long now, String name) {
        return (now < leaseExpiry ? underLease : withoutLease).getOrDefault(name, NONE);
    }
}
