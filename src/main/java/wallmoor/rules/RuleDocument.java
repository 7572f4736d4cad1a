package wallmoor.rules;

/**
 * One immutable version of a rule document. A change is a new version with a higher number, linked to its parent by
 * number and hash.
 *
 * @param name          of the document, which has a {@link DocumentSchema} of that name
 * @param version       higher than that of any version before it, rejected ones included
 * @param parentVersion 0 for a document's first
 * @param parentHash    empty for a document's first
 * @param body          a JSON object
 * @param fallback      a JSON object that holds for a gatherer without a lease
 * @param hash          SHA-256 of all the rest, in hexadecimal digits
 */
public record RuleDocument(String name, long version, long parentVersion, String parentHash, String author, String body,
        String fallback, String hash) {

    /** Returns a proposal as the version of this number. */
    public static RuleDocument of(RuleProposal proposal, long version) {
        return new RuleDocument(proposal.name(), version, proposal.parentVersion(), proposal.parentHash(),
                proposal.author(), proposal.body(), proposal.fallback(),
                Sha256.of(proposal.idempotencyKey(), Long.toString(version)));
    }

    /** Returns the proposal that this version came from. */
    RuleProposal proposal() {
        return new RuleProposal(name, parentVersion, parentHash, author, body, fallback);
    }

    /** Returns whether the hash is that of the contents. */
    public boolean hasValidHash() {
        return equals(of(proposal(), version));
    }
}
