package wallmoor.standin;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Allocates free ports, each only once, because a free port may belong to a process that has not bound it yet. All are
 * below the ephemeral ports, which the system gives to the many connections of a relay. Each JVM that runs tests has a
 * range of its own, by the number in the system property {@code wallmoor.fork}.
 */
public final class Ports {
    private static final int LOWEST_PORT = 10_000;
    /** The ranges end at 32,000; Linux takes ephemeral ports from 32,768 on by default. */
    private static final int RANGE_SIZE = 5_500;
    private static final int RANGES = 4;
    private static final String FORK_PREFIX = "jvm-";
    private static final int FIRST_PORT = firstPort(System.getProperty("wallmoor.fork"));
    private static final int MAX_TRIES = 2_000;
    private static final Set<Integer> ALLOCATED = ConcurrentHashMap.newKeySet();

    private Ports() {}

    /**
     * Returns the first port of a JVM's range.
     *
     * @param fork {@code jvm-} and the number of the JVM; null where the tests run in a single JVM
     * @throws IllegalStateException if the value has another form, as JVMs would then share a range
     */
    static int firstPort(String fork) {
        if (fork != null && !fork.matches(FORK_PREFIX + "\\d{1,4}")) {
            throw new IllegalStateException("system property wallmoor.fork must be " + FORK_PREFIX
                    + " and a number, but is '" + fork + "': correct it in pom.xml");
        }
        int number = fork == null ? 0 : Integer.parseInt(fork.substring(FORK_PREFIX.length()));
        return LOWEST_PORT + RANGE_SIZE * (number % RANGES);
    }

    /** Returns a port that is free for UDP and TCP; one with connections in TIME_WAIT is not free. */
    public static int free() throws IOException {
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(RANGE_SIZE);
            if (ALLOCATED.add(port)) {
                try (var connections = new ServerSocket(port)) {
                    new DatagramSocket(connections.getLocalPort(), InetAddress.getLoopbackAddress()).close();
                    return port;
                } catch (BindException e) {
                    // in use: another port is tried
                }
            }
        }
        throw new BindException("no free port found from " + FIRST_PORT + " to " + (FIRST_PORT + RANGE_SIZE - 1)
                + " in " + MAX_TRIES + " tries");
    }

    /** Returns a loopback address with a free port. */
    public static InetSocketAddress freeAddress() throws IOException {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), free());
    }

    /** Returns whether a process could listen at an address now. */
    public static boolean isFree(InetSocketAddress address) {
        try (var probe = new ServerSocket()) {
            probe.bind(address);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
