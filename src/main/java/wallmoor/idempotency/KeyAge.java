package wallmoor.idempotency;

import java.util.UUID;

/** Reads the creation time of an idempotency key, which is a UUID of version 7 (RFC 9562). */
final class KeyAge {
    /** The creation time of a key that tells none. */
    static final long UNKNOWN = -1;

    private static final int UUID_LENGTH = 36;
    private static final int TIME_ORDERED_VERSION = 7;
    private static final int TIMESTAMP_SHIFT = 16;
    private static final int MICROS_PER_MILLI = 1000;

    private KeyAge() {}

    /** Microseconds of Unix time at which the key was created, or {@link #UNKNOWN}. */
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
