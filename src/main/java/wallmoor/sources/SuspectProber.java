package wallmoor.sources;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.Socket;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import wallmoor.threads.Threads;

/** Probes suspected endpoints by connecting to them, so that no query is risked on them. Owns one thread. */
final class SuspectProber {
    private static final long PROBE_INTERVAL_MILLIS = 1_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    private final Supplier<Map<String, String>> suspects;
    private final BiConsumer<String, Boolean> resultListener;

    /**
     * Creates a prober.
     *
     * @param suspects       returns the addresses to probe by endpoint id; called before each round
     * @param resultListener receives each id, and whether a connection was established
     */
    SuspectProber(Supplier<Map<String, String>> suspects, BiConsumer<String, Boolean> resultListener) {
        this.suspects = suspects;
        this.resultListener = resultListener;
    }

    void start() {
        Threads.startEssential("endpoint-probes", this::run);
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(PROBE_INTERVAL_MILLIS);
                for (Map.Entry<String, String> suspect : suspects.get().entrySet()) {
                    resultListener.accept(suspect.getKey(), isReachable(suspect.getValue()));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean isReachable(String address) {
        int colon = address.lastIndexOf(':');
        try (var socket = new Socket(Proxy.NO_PROXY)) {
            socket.connect(new InetSocketAddress(address.substring(0, colon),
                    Integer.parseInt(address.substring(colon + 1))), CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException | IllegalArgumentException e) { // IllegalArgumentException: the address is malformed
            return false;
        }
    }
}
