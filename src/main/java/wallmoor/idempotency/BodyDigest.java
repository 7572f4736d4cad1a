package wallmoor.idempotency;

/** 192 bits of a cryptographic hash of a request's body, enough to tell bodies apart. */
public record BodyDigest(long first, long second, long third) {}
