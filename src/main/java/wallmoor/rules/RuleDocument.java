package wallmoor.rules;

/**
 * One immutable version of a rule document. A change is a new version with a higher number, linked to its parent by
 * number and hash.
 *
 * @param name          name of the document, which is also the name of its {@link DocumentSchema}
 * @param version       version number, higher than that of all earlier versions, including rejected ones
 * @param parentVersion version number of the parent; 0 for the first version
 * @param parentHash    hash of the parent; empty for the first version
 * @param author        person or program that proposed the version
 * @param body          JSON object
 * @param fallback      JSON object that is in effect for a gatherer without a lease
 * @param hash          SHA-256 of the other fields, in hexadecimal digits
 */
public record RuleDocument(String name, long version, long parentVersion, String parentHash, String author, String body,
        String fallback, String hash) {

    /** Returns the version with this number that a proposal becomes. */
    public static RuleDocument of(RuleProposal proposal, long version) {
        return new RuleDocument(proposal.name(), version, proposal.parentVersion(), proposal.parentHash(),
                proposal.author(), proposal.body(), proposal.fallback(),
                Sha256.of(proposal.idempotencyKey(), Long.toString(version)));
    }

    /** Returns the proposal that this version was made from. */
    RuleProposal proposal() {
        return new RuleProposal(name, parentVersion, parentHash, author, body, fallback);
    }

    /** Returns whether the hash matches the other fields. */
    public boolean hasValidHash() {
        return equals(of(proposal(), version));
    }
}
