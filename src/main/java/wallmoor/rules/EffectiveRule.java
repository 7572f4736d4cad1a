package wallmoor.rules;

/**
 * The rule of a document that is in effect for a gatherer at one moment. A query uses the rule with which it started
 * until it ends.
 *
 * @param basis         the kind of versions that the rule was made from
 * @param activeVersion number of the active version; 0 if there is none
 * @param latestVersion number of the latest known version; of the versions after the active one, only the restrictions
 *                      are in effect
 * @param body          the fields in effect; empty if no version is known
 */
public record EffectiveRule(Basis basis, long activeVersion, long latestVersion, RuleBody body) {
    /** The kind of versions that a rule was made from. Operators see the names. */
    public enum Basis {
        /** The active version, under a lease. */
        VERSION,
        /** The active version, under a lease, with the restrictions of later versions that are not active yet. */
        CAREFUL,
        /** The fallbacks of the versions: there is no lease, or this program can't read a version. */
        FALLBACK,
        /** No version is known: the gatherer's own configuration files are in effect. */
        NONE
    }
}
