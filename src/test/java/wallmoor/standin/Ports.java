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
 * range of its own.
 */
public final class Ports {
    private static final int LOWEST_PORT = 10_000;
    /** The ranges end at 32,000; Linux takes ephemeral ports from 32,768 on by default. */
    private static final int RANGE_SIZE = 5_500;
    private static final int RANGES = 4;
    private static final int FIRST_PORT = LOWEST_PORT
            + RANGE_SIZE * Math.floorMod(Integer.getInteger("wallmoor.fork", 0), RANGES);
    private static final int MAX_TRIES = 2_000;
    private static final Set<Integer> ALLOCATED = ConcurrentHashMap.newKeySet();

    private Ports() {}

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
