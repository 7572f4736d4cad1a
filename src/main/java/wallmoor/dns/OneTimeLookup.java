package wallmoor.dns;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A single look-up of a service, as an operator asks for it. */
public final class OneTimeLookup {
    /** For one try at one server. */
    private static final long TIMEOUT = 1_500;
    private static final long DAY = 86_400_000;
    private static final int CACHED = 4_096;
    private static final int MOST_RECORDS = 10_000;

    private OneTimeLookup() {}

    /** Milliseconds that never go back. */
    static long clock() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Looks a service up at these servers, for at most so many milliseconds and one try more. */
    public static ServiceResolver.ServiceLookup find(List<InetSocketAddress> servers, String service, long millis) {
        var resolver = new StubResolver(servers, new TtlPolicy(0, DAY, DAY), TIMEOUT, CACHED, OneTimeLookup::clock);
        return new ServiceResolver(resolver, MOST_RECORDS, false, OneTimeLookup::clock).find(service, millis);
    }
}
