package wallmoor.dns;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Chooses the name server to query next: the one with the lowest smoothed response time (as in RFC 6298) of those that
 * are not in backoff after a failure. The times of the servers that are not chosen decay, so that each is measured
 * again in the end. Times are milliseconds. Has no clock and does no I/O. Safe for concurrent use.
 */
final class NameServers {
    /** The weight of a new measurement (RFC 6298's alpha). */
    private static final double SMOOTHING = 1.0 / 8;
    /** The factor by which the smoothed time of a server that is not chosen decays. */
    private static final double DECAY = 0.98;
    private static final long MIN_BACKOFF_MILLIS = 1_000;
    private static final long MAX_BACKOFF_MILLIS = 60_000;
    /** Limits the shift; {@code MAX_BACKOFF_MILLIS} is reached earlier. */
    private static final int MAX_DOUBLINGS = 16;

    private static final class NameServer {
        final InetSocketAddress address;
        /** The smoothed response time; 0 until the first answer, so that the server is tried soon. */
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
     * Returns the server to query next, or null if all were tried. Servers in backoff come after the others, in the
     * order in which their backoffs end: if all have failed, one of them is tried nevertheless.
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

    /** Records that a server answered after so many milliseconds. */
    synchronized void recordAnswer(InetSocketAddress address, double millis) {
        NameServer server = find(address);
        server.smoothedMillis = server.smoothedMillis == 0
                ? millis
                : server.smoothedMillis + SMOOTHING * (millis - server.smoothedMillis);
        server.failures = 0;
        server.backoffUntil = Long.MIN_VALUE;
    }

    /** Records that a server gave no useful response, and starts its backoff. */
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
        throw new IllegalArgumentException("not a configured name server: " + address);
    }
}
