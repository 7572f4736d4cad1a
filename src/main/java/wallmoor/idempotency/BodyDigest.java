package wallmoor.idempotency;

/** The first 192 bits of a cryptographic hash of a request's body, enough to distinguish bodies. */
public record BodyDigest(long first, long second, long third) {}
