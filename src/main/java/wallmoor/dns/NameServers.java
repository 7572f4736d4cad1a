package wallmoor.dns;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Decides which server is asked next: the one that has answered soonest, by a smoothed time as in RFC 6298, of those
 * that have not failed lately. One that is not asked seems a little faster each time, so that all are measured again.
 * No clock and no I/O. Safe for threads.
 */
final class NameServers {
    private static final double GAIN = 1.0 / 8;
    private static final double FORGET = 0.98;
    private static final long FIRST_BACKOFF = 1_000;
    private static final long MOST_BACKOFF = 60_000;

    private static final class Server {
        final InetSocketAddress address;
        /** Milliseconds; 0 where it was never heard, so that it is tried soon. */
        double smoothed;
        int failures;
        long backUntil = Long.MIN_VALUE;

        Server(InetSocketAddress address) {
            this.address = address;
        }
    }

    private final List<Server> all = new ArrayList<>();

    NameServers(List<InetSocketAddress> addresses) {
        addresses.stream().distinct().forEach(a -> all.add(new Server(a)));
    }

    int count() {
        return all.size();
    }

    /**
     * The next to ask, or null when all were tried. A server that failed lately comes after the others, the one whose
     * backoff ends first before the rest: where all have failed there is nobody better.
     */
    synchronized InetSocketAddress next(long now, Set<InetSocketAddress> tried) {
        Server best = null;
        for (Server s : all) {
            if (!tried.contains(s.address) && (best == null || before(s, best, now))) {
                best = s;
            }
        }
        for (Server s : all) {
            if (s != best) {
                s.smoothed *= FORGET;
            }
        }
        return best == null ? null : best.address;
    }

    private static boolean before(Server a, Server b, long now) {
        boolean backA = now < a.backUntil;
        boolean backB = now < b.backUntil;
        if (backA != backB) {
            return backB;
        }
        return backA ? a.backUntil < b.backUntil : a.smoothed < b.smoothed;
    }

    /** It answered after so many milliseconds. */
    synchronized void recordAnswer(InetSocketAddress address, double took) {
        Server s = find(address);
        s.smoothed = s.smoothed == 0 ? took : s.smoothed + GAIN * (took - s.smoothed);
        s.failures = 0;
        s.backUntil = Long.MIN_VALUE;
    }

    /** It gave no useful answer. */
    synchronized void recordFailure(InetSocketAddress address, long now) {
        Server s = find(address);
        s.backUntil = now + Math.min(MOST_BACKOFF, FIRST_BACKOFF << Math.min(s.failures++, 16));
    }

    private Server find(InetSocketAddress address) {
        return all.stream().filter(s -> s.address.equals(address)).findFirst().orElseThrow();
    }
}
