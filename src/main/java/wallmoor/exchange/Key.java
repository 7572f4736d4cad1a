package wallmoor.exchange;

/** Whose query, and which of theirs: no device can name another's. */
public record Key(String device, String id) {}
