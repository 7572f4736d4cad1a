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
 * Ports of loopback that are free, each given once: one that is free now may be another's that has not bound it yet.
 * All are below those that the system gives to connections by itself: a relay's many would take one that a process is
 * about to listen on. Each JVM that runs tests has a stretch of its own.
 */
public final class Ports {
    private static final int LOWEST = 10_000;
    /** Linux gives connections 32,768 and above where nobody says otherwise. */
    private static final int STRETCH = 5_500;
    private static final int STRETCHES = 4;
    private static final int FIRST = LOWEST
            + STRETCH * Math.floorMod(Integer.getInteger("wallmoor.fork", 0), STRETCHES);
    private static final int TRIES = 2_000;
    private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();

    private Ports() {}

    /** A port that neither datagrams nor connections, ended ones that still wait included, have taken. */
    public static int free() throws IOException {
        for (int tries = 0; tries < TRIES; tries++) {
            int port = FIRST + ThreadLocalRandom.current().nextInt(STRETCH);
            if (GIVEN.add(port)) {
                try (var connections = new ServerSocket(port)) {
                    new DatagramSocket(connections.getLocalPort(), InetAddress.getLoopbackAddress()).close();
                    return port;
                } catch (BindException e) {
                    // another's: the next is tried
                }
            }
        }
        throw new BindException("none of " + STRETCH + " ports from " + FIRST + " on is free");
    }

    /** An address with a port for connections. */
    public static InetSocketAddress freeAddress() throws IOException {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), free());
    }
}
