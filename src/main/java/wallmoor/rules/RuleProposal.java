package wallmoor.rules;

/**
 * What an author wants to be the next version. A rollback is one with an older version's body.
 *
 * @param parentVersion of the version it was made from; 0 for a document's first
 * @param parentHash   of that version; empty for a document's first
 * @param author       who answers for it
 * @param fallback     a body that gatherers go by that can't be sure; no bolder than the body
 */
public record RuleProposal(String name, long parentVersion, String parentHash, String author, String body,
        String fallback) {
    /** The same proposal told twice has the same key. */
    public String idempotencyKey() {
        return Sha256.of(name, Long.toString(parentVersion), parentHash, author, body, fallback);
    }

    /** Back to an older version's body, as a new version after the last. */
    public static RuleProposal rollback(RuleDocument last, RuleDocument to, String author) {
        return new RuleProposal(last.name(), last.version(), last.hash(), author, to.body(), to.fallback());
    }
}
