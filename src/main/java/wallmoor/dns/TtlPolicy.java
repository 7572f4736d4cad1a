package wallmoor.dns;

/**
 * How long what DNS says may be used. Pure figures; times are milliseconds.
 *
 * @param minTtlMillis    a shorter lifetime counts as this: a lifetime of 0 must not make a query a moment
 * @param maxTtlMillis     a longer one as this: a slip of the pen must not stand for 68 years
 * @param maxStaleMillis how long after it came an answer may stand in for one that can't be had (RFC 8767)
 */
record TtlPolicy(long minTtlMillis, long maxTtlMillis, long maxStaleMillis) {
    /** An absence is not believed for longer (RFC 2308 section 5 wants a bound, and has hours). */
    private static final long MOST_NEGATIVE = 300_000;
    /** An absence with no SOA record has no lifetime of its own, and should not be kept (RFC 2308 section 5). */
    private static final long NO_SOA = 1_000;
    /** Between these shares of a lifetime it is asked again, so that it never runs out while servers answer. */
    private static final double EARLIEST = 0.8;
    private static final double LATEST = 0.95;
    private static final long SIGN_BIT = 0x8000_0000L;

    /**
     * The lifetime of a record whose TTL has this value; one with the highest bit set counts as 0 (RFC 2181 section 8).
     */
    long clampTtlMillis(long ttlSeconds) {
        long seconds = ttlSeconds < 0 || (ttlSeconds & SIGN_BIT) != 0 ? 0 : ttlSeconds;
        return Math.max(minTtlMillis, Math.min(maxTtlMillis, seconds * 1000));
    }

    /** The lifetime of an absence: the lesser of the SOA record's TTL and its minimum field (RFC 2308 section 5). */
    long negativeTtlMillis(long soaTtlSeconds, long soaMinimumSeconds) {
        long seconds = Math.min(soaTtlSeconds, soaMinimumSeconds);
        return Math.min(Math.max(minTtlMillis, seconds * 1000), MOST_NEGATIVE);
    }

    /** The lifetime of an absence that came without an SOA record. */
    long negativeTtlMillis() {
        return Math.max(minTtlMillis, NO_SOA);
    }

    /** After how long to ask again for what lives so long; {@code random} from 0 to 1 spreads those that ask. */
    long refreshAfterMillis(long lifetime, double random) {
        return Math.max(1, (long) (lifetime * (EARLIEST + (LATEST - EARLIEST) * random)));
    }
}
