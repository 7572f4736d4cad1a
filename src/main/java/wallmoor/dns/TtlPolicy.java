package wallmoor.dns;

/**
 * The rules on how long DNS answers may be used. Times are milliseconds unless their name says seconds.
 *
 * @param minTtlMillis   the lower limit of TTLs: a TTL of 0 would cause continuous queries
 * @param maxTtlMillis   the upper limit of TTLs: a typing error can make a TTL of up to 68 years
 * @param maxStaleMillis the age up to which an answer is used while no server answers (RFC 8767)
 */
record TtlPolicy(long minTtlMillis, long maxTtlMillis, long maxStaleMillis) {
    /** The longest time for which a negative answer is cached (RFC 2308 section 5 asks for a limit, of hours). */
    private static final long MAX_NEGATIVE_MILLIS = 300_000;
    /** For a negative answer without SOA record, which has no TTL and should not be cached (RFC 2308 section 5). */
    private static final long NO_SOA_MILLIS = 1_000;
    /** Records are refreshed between these shares of their TTL, so that they don't expire while servers answer. */
    private static final double MIN_REFRESH_SHARE = 0.8;
    private static final double MAX_REFRESH_SHARE = 0.95;
    private static final long SIGN_BIT = 0x8000_0000L;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Clamps a record's TTL to the limits; one with the highest bit set counts as 0 (RFC 2181 section 8). */
    long clampTtlMillis(long ttlSeconds) {
        long seconds = ttlSeconds < 0 || (ttlSeconds & SIGN_BIT) != 0 ? 0 : ttlSeconds;
        return Math.max(minTtlMillis, Math.min(maxTtlMillis, seconds * MILLIS_PER_SECOND));
    }

    /** Returns the TTL of a negative answer: the lesser of the SOA's TTL and minimum field (RFC 2308 section 5). */
    long negativeTtlMillis(long soaTtlSeconds, long soaMinimumSeconds) {
        long seconds = Math.min(soaTtlSeconds, soaMinimumSeconds);
        return Math.min(Math.max(minTtlMillis, seconds * MILLIS_PER_SECOND), MAX_NEGATIVE_MILLIS);
    }

    /** Returns the TTL of a negative answer without SOA record. */
    long negativeTtlMillis() {
        return Math.max(minTtlMillis, NO_SOA_MILLIS);
    }

    /** Returns the time after which to refresh records with this TTL; {@code random}, from 0 to 1, is the jitter. */
    long refreshAfterMillis(long ttlMillis, double random) {
        double share = MIN_REFRESH_SHARE + (MAX_REFRESH_SHARE - MIN_REFRESH_SHARE) * random;
        return Math.max(1, (long) (ttlMillis * share));
    }
}
