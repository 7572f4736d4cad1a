package wallmoor.idempotency;

import java.util.UUID;

/** Extracts the creation time from an idempotency key that is a UUID of version 7 (RFC 9562). */
final class KeyAge {
    /** The result for a key without a creation time. */
    static final long UNKNOWN = -1;

    private static final int UUID_LENGTH = 36;
    private static final int TIME_ORDERED_VERSION = 7;
    private static final int TIMESTAMP_SHIFT = 16;
    private static final int MICROS_PER_MILLI = 1000;

    private KeyAge() {}

    /** Returns the creation time of a key in microseconds of Unix time, or {@link #UNKNOWN}. */
    static long createdAt(String id) {
        if (id.length() != UUID_LENGTH) {
            return UNKNOWN;
        }
        try {
            UUID uuid = UUID.fromString(id);
            boolean canonical = uuid.version() == TIME_ORDERED_VERSION && uuid.toString().equals(id);
            return canonical ? (uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT) * MICROS_PER_MILLI : UNKNOWN;
        } catch (IllegalArgumentException e) {
            return UNKNOWN;
        }
    }
}
