package wallmoor.dns;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Looks up a service once, as for the operator's command {@code resolve}. */
public final class OneTimeLookup {
    /** The timeout of one attempt at one server. */
    private static final long TIMEOUT_MILLIS = 1_500;
    private static final long DAY_MILLIS = 86_400_000;
    private static final int CACHED_ANSWERS = 4_096;
    private static final int MAX_RECORDS = 10_000;

    private OneTimeLookup() {}

    /** Returns the time of a monotonic clock, in milliseconds. */
    static long clock() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Looks up a service at these servers.
     *
     * @param millis the time after which no further attempt begins
     */
    public static ServiceLookup find(List<InetSocketAddress> servers, String service, long millis) {
        var ttls = new TtlPolicy(0, DAY_MILLIS, DAY_MILLIS);
        var resolver = new StubResolver(servers, ttls, TIMEOUT_MILLIS, CACHED_ANSWERS, OneTimeLookup::clock);
        return new ServiceResolver(resolver, MAX_RECORDS, false, OneTimeLookup::clock).find(service, millis);
    }
}
