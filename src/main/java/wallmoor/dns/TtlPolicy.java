package wallmoor.dns;

/**
 * How long what DNS says may be used. Pure figures; times are milliseconds unless their name says seconds.
 *
 * @param minTtlMillis   a shorter TTL counts as this: a TTL of 0 must not make a query a moment
 * @param maxTtlMillis   a longer one as this: a slip of the pen must not stand for 68 years
 * @param maxStaleMillis how long after it came an answer may stand in for one that can't be had (RFC 8767)
 */
record TtlPolicy(long minTtlMillis, long maxTtlMillis, long maxStaleMillis) {
    /** A negative answer is not believed for longer (RFC 2308 section 5 wants a bound, and has hours). */
    private static final long MAX_NEGATIVE_MILLIS = 300_000;
    /** A negative answer without SOA record has no TTL of its own, and should not be cached (RFC 2308 section 5). */
    private static final long NO_SOA_MILLIS = 1_000;
    /** Between these shares of a TTL records are refreshed, so that they never run out while servers answer. */
    private static final double EARLIEST_REFRESH = 0.8;
    private static final double LATEST_REFRESH = 0.95;
    private static final long SIGN_BIT = 0x8000_0000L;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The TTL to go by of a record with this one; one with the highest bit set counts as 0 (RFC 2181 section 8). */
    long clampTtlMillis(long ttlSeconds) {
        long seconds = ttlSeconds < 0 || (ttlSeconds & SIGN_BIT) != 0 ? 0 : ttlSeconds;
        return Math.max(minTtlMillis, Math.min(maxTtlMillis, seconds * MILLIS_PER_SECOND));
    }

    /** The TTL of a negative answer: the lesser of the SOA record's TTL and its minimum field (RFC 2308 section 5). */
    long negativeTtlMillis(long soaTtlSeconds, long soaMinimumSeconds) {
        long seconds = Math.min(soaTtlSeconds, soaMinimumSeconds);
        return Math.min(Math.max(minTtlMillis, seconds * MILLIS_PER_SECOND), MAX_NEGATIVE_MILLIS);
    }

    /** The TTL of a negative answer that came without SOA record. */
    long negativeTtlMillis() {
        return Math.max(minTtlMillis, NO_SOA_MILLIS);
    }

    /** After how long to refresh what has this TTL; {@code random} from 0 to 1 is the jitter. */
    long refreshAfterMillis(long ttlMillis, double random) {
        double share = EARLIEST_REFRESH + (LATEST_REFRESH - EARLIEST_REFRESH) * random;
        return Math.max(1, (long) (ttlMillis * share));
    }
}
