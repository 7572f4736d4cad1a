package wallmoor.rules;

/**
 * A proposed next version of a document: a compare-and-set, which succeeds only while its parent is the latest accepted
 * version. A rollback proposes an older version's body.
 *
 * @param parentVersion number of the version it was made from; 0 for a document's first
 * @param parentHash    hash of that version; empty for a document's first
 * @param author        who answers for it
 * @param body          a JSON object
 * @param fallback      a body for gatherers without a lease, which may permit nothing that the body does not
 */
public record RuleProposal(String name, long parentVersion, String parentHash, String author, String body,
        String fallback) {
    /** Returns a hash of the contents: a proposal that is sent again has the same key and becomes one version. */
    public String idempotencyKey() {
        return Sha256.of(name, Long.toString(parentVersion), parentHash, author, body, fallback);
    }

    /** Returns a proposal to go back to an older version's body, in a new version after the latest. */
    public static RuleProposal rollback(RuleDocument latest, RuleDocument to, String author) {
        return new RuleProposal(latest.name(), latest.version(), latest.hash(), author, to.body(), to.fallback());
    }
}
