package wallmoor.idempotency;

/** An idempotency key: the id that a device assigned to its request. A device cannot refer to another's. */
public record IdempotencyKey(String device, String id) {}
