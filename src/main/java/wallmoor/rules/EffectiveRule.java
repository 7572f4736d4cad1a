package wallmoor.rules;

/**
 * What a gatherer goes by. A query keeps the one that it was opened under to its end.
 *
 * @param activeVersion the version that acts, of which all holds; 0 where none does
 * @param latestVersion   the last version known, and those between, of which what they take away holds
 * @param body by field; empty where nothing is known
 */
public record EffectiveRule(Basis basis, long activeVersion, long latestVersion, RuleBody body) {
    /** Why it may go by it. */
    public enum Basis {
        /** A version that acts, under a lease. */
        VERSION,
        /** Under a lease as well, but a version is known that does not act yet: what it takes away holds already. */
        CAREFUL,
        /**
         * No lease, or a version that this program can't read: what the last versions give to one that can't be sure.
         */
        FALLBACK,
        /** Nothing is known: what the gatherer's own files say. */
        NONE
    }
}
