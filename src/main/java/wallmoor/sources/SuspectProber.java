package wallmoor.sources;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.Socket;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import wallmoor.http.Threads;

/** Probes suspected endpoints by bare connections, so that no query is spent on finding out. Owns one thread. */
final class SuspectProber {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    private final Supplier<Map<String, String>> suspects;
    private final BiConsumer<String, Boolean> report;

    /**
     * Makes it.
     *
     * @param suspects the addresses to probe by the endpoints' ids, asked for before each round
     * @param report   given each id, and whether a connection came up
     */
    SuspectProber(Supplier<Map<String, String>> suspects, BiConsumer<String, Boolean> report) {
        this.suspects = suspects;
        this.report = report;
    }

    void start() {
        Threads.start("endpoint-probes", this::run);
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(INTERVAL_MILLIS);
                for (Map.Entry<String, String> suspect : suspects.get().entrySet()) {
                    report.accept(suspect.getKey(), isReachable(suspect.getValue()));
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
        } catch (IOException | IllegalArgumentException e) { // also an address that is none
            return false;
        }
    }
}
