package wallmoor.idempotency;

/** Whose query, and which of theirs: no device can name another's. */
public record IdempotencyKey(String device, String id) {}
