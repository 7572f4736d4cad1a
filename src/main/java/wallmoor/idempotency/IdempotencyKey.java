package wallmoor.idempotency;

/** An idempotency key: the id that a device gave its request. No device can name another's. */
public record IdempotencyKey(String device, String id) {}
