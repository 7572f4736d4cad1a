package wallmoor.rules;

/**
 * The version of a document that is in effect for a gatherer at one moment. A query keeps the one that it was opened
 * under to its end.
 *
 * @param activeVersion the version of which everything holds; 0 where none does
 * @param latestVersion the latest version known: of it and those between, only what they restrict holds
 * @param body          the fields in effect; empty where nothing is known
 */
public record EffectiveRule(Basis basis, long activeVersion, long latestVersion, RuleBody body) {
    /** By what right a gatherer acts on it. The names are shown to operators. */
    public enum Basis {
        /** Under a lease, the active version. */
        VERSION,
        /** Under a lease, with a later version known that is not active yet: what that restricts holds already. */
        CAREFUL,
        /** Without a lease, or with a version that this program can't read: the versions' fallbacks. */
        FALLBACK,
        /** Nothing is known: the gatherer's own files hold. */
        NONE
    }
}
