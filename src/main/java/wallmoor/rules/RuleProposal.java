package wallmoor.rules;

/**
 * A proposed next version of a document: a compare-and-set, which succeeds only while its parent is the latest accepted
 * version. A rollback proposes the body of an older version.
 *
 * @param name          name of the document
 * @param parentVersion number of the version that the proposal changes; 0 for the first version
 * @param parentHash    hash of that version; empty for the first version
 * @param author        person or program responsible for the proposal
 * @param body          JSON object
 * @param fallback      body for gatherers without a lease, which must permit nothing that {@code body} does not permit
 */
public record RuleProposal(String name, long parentVersion, String parentHash, String author, String body,
        String fallback) {
    /** Returns a hash of the contents. A proposal that is sent again has the same key and becomes only one version. */
    public String idempotencyKey() {
        return Sha256.of(name, Long.toString(parentVersion), parentHash, author, body, fallback);
    }

    /** Returns a proposal of a new version after the latest one, with the body and fallback of an older version. */
    public static RuleProposal rollback(RuleDocument latest, RuleDocument target, String author) {
        return new RuleProposal(latest.name(), latest.version(), latest.hash(), author, target.body(),
                target.fallback());
    }
}
