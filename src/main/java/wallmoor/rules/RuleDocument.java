package wallmoor.rules;

/**
 * One version of a document. It is never changed: another is a new version with a higher number.
 *
 * @param version       higher than that of any version before it, refused ones included
 * @param parentVersion 0 for a document's first
 * @param parentHash   empty for a document's first
 * @param hash         SHA-256, in hexadecimal digits, of all the rest
 */
public record RuleDocument(String name, long version, long parentVersion, String parentHash, String author, String body,
        String fallback, String hash) {

    /** A proposal as the version of this number. */
    public static RuleDocument of(RuleProposal p, long number) {
        return new RuleDocument(p.name(), number, p.parentVersion(), p.parentHash(), p.author(), p.body(), p.fallback(),
                Sha256.of(p.idempotencyKey(), Long.toString(number)));
    }

    /** What it was before it had a number. */
    RuleProposal proposal() {
        return new RuleProposal(name, parentVersion, parentHash, author, body, fallback);
    }

    /** Whether the hash is that of the rest. */
    public boolean hasValidHash() {
        return equals(of(proposal(), version));
    }
}
