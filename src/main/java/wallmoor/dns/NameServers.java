package wallmoor.dns;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides which name server is asked next: the one with the least smoothed round-trip time (as in RFC 6298) of those
 * that have not failed lately. One that is not asked seems a little faster each time, so that all are measured again.
 * Times are milliseconds. No clock and no I/O. Safe for threads.
 */
final class NameServers {
    /** The weight of a new measurement (RFC 6298's alpha). */
    private static final double SMOOTHING = 1.0 / 8;
    /** By which the time of a server that is not asked shrinks. */
    private static final double DECAY = 0.98;
    private static final long MIN_BACKOFF_MILLIS = 1_000;
    private static final long MAX_BACKOFF_MILLIS = 60_000;
    /** Doublings beyond this many change nothing, as the bound is lower. */
    private static final int MAX_DOUBLINGS = 16;

    private static final class NameServer {
        final InetSocketAddress address;
        /** 0 where it never answered, so that it is tried soon. */
        double smoothedMillis;
        int failures;
        long backoffUntil = Long.MIN_VALUE;

        NameServer(InetSocketAddress address) {
            this.address = address;
        }
    }

    private final List<NameServer> servers = new ArrayList<>();

    NameServers(List<InetSocketAddress> addresses) {
        for (InetSocketAddress address : new LinkedHashSet<>(addresses)) {
            servers.add(new NameServer(address));
        }
    }

    int count() {
        return servers.size();
    }

    /**
     * The next to ask, or null when all were tried. A server that failed lately comes after the others, the one whose
     * backoff ends first before the rest: where all have failed there is nobody better.
     */
    synchronized InetSocketAddress next(long now, Set<InetSocketAddress> tried) {
        NameServer best = null;
        for (NameServer server : servers) {
            if (!tried.contains(server.address) && (best == null || isBetter(server, best, now))) {
                best = server;
            }
        }
        for (NameServer server : servers) {
            if (server != best) {
                server.smoothedMillis *= DECAY;
            }
        }
        return best == null ? null : best.address;
    }

    private static boolean isBetter(NameServer a, NameServer b, long now) {
        boolean backoffA = now < a.backoffUntil;
        boolean backoffB = now < b.backoffUntil;
        if (backoffA != backoffB) {
            return backoffB;
        }
        return backoffA ? a.backoffUntil < b.backoffUntil : a.smoothedMillis < b.smoothedMillis;
    }

    /** It answered after so many milliseconds. */
    synchronized void recordAnswer(InetSocketAddress address, double millis) {
        NameServer server = find(address);
        server.smoothedMillis = server.smoothedMillis == 0
                ? millis
                : server.smoothedMillis + SMOOTHING * (millis - server.smoothedMillis);
        server.failures = 0;
        server.backoffUntil = Long.MIN_VALUE;
    }

    /** It gave no useful response. */
    synchronized void recordFailure(InetSocketAddress address, long now) {
        NameServer server = find(address);
        long backoff = MIN_BACKOFF_MILLIS << Math.min(server.failures, MAX_DOUBLINGS);
        server.failures++;
        server.backoffUntil = now + Math.min(MAX_BACKOFF_MILLIS, backoff);
    }

    private NameServer find(InetSocketAddress address) {
        for (NameServer server : servers) {
            if (server.address.equals(address)) {
                return server;
            }
        }
        throw new IllegalArgumentException("no server " + address);
    }
}
