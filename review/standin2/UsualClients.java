import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Sound clients of the platform's front: each sends one request after another, on a connection that it keeps or on a new
 * one each time, and opens another one after a failure. A request is lost if it was written completely and has no answer within its time and
 * half a second, or if its connection ends without one although a node has run a part of it.
 */
final class UsualClients {
    private static final int CLIENTS = 10;
    private static final int PAUSE_MILLIS = 250;
    /** What a client waits: 60 % of the class's give-up time of 4 s. */
    private static final int TIME_MILLIS = 2400;
    /** Until then an answer earns nothing, but its request is not lost. */
    private static final int SLACK_MILLIS = 500;

    final LongAdder lost = new LongAdder();
    final LongAdder lostBefore = new LongAdder();
    final ConcurrentSkipListMap<String, Integer> results = new ConcurrentSkipListMap<>();
    /** Whether the disruption has begun. */
    volatile boolean troubled;
    private final Site site;
    private final int port;
    private final Nodes nodes;
    private final List<Thread> threads = new ArrayList<>();
    private final boolean keepsConnections;
    private volatile boolean ended;

    UsualClients(Site site, int port, Nodes nodes, boolean keepsConnections) {
        this.site = site;
        this.keepsConnections = keepsConnections;
        this.port = port;
        this.nodes = nodes;
        for (int c = 0; c < CLIENTS; c++) {
            int number = c;
            var t = new Thread(() -> run(number));
            t.setDaemon(true);
            t.start();
            threads.add(t);
        }
    }

    /** Waits for the last answers. */
    void end() throws InterruptedException {
        ended = true;
        for (Thread t : threads) {
            t.join();
        }
        site.note("usual clients, all requests: " + results);
        site.note("lost before the disruption: " + lostBefore + ", from then on: " + lost);
    }

    private void run(int number) {
        Socket socket = null;
        for (int k = 0; !ended; k++) {
            String id = "usual" + number + "-" + k;
            String result;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
                    socket.setTcpNoDelay(true);
                }
                result = ask(socket, id, (number + k) % 9);
            } catch (IOException e) {
                result = "no connection, or not written";
            }
            site.note(id + ": " + result);
            results.merge(result, 1, Integer::sum);
            if (!keepsConnections || !result.startsWith("status ")) {
                close(socket);
                socket = null;
            }
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
        close(socket);
    }

    private String ask(Socket socket, String id, int shard) throws IOException {
        int second = (shard + 1) % 9;
        String body = "{\"shards\":[{\"shard\":" + shard + ",\"weight\":0.5},{\"shard\":" + second
                + ",\"weight\":0.5}],\"q\":\"usual\"}";
        boolean before = !troubled;
        Site.Reply.send(socket, "POST", "/api", "X-Request-Id: " + id + "\r\nX-Class: full-search\r\nX-Deadline: "
                + TIME_MILLIS + "m\r\n", body.getBytes(StandardCharsets.US_ASCII));
        String failure;
        try {
            Site.Reply reply = Site.Reply.read(socket, TIME_MILLIS + SLACK_MILLIS);
            if (reply.status > 0) {
                return "status " + reply.status;
            }
            failure = "closed";
        } catch (SocketTimeoutException e) {
            count(before);
            return "LOST: no answer within " + (TIME_MILLIS + SLACK_MILLIS) + " ms";
        } catch (IOException e) {
            failure = "closed";
        }
        if (nodes.runs.containsKey(id + "." + shard) || nodes.runs.containsKey(id + "." + second)) {
            count(before);
            return "LOST: " + failure + " without an answer, after a node has run a part of it";
        }
        return failure + " without an answer, no part has run";
    }

    private void count(boolean before) {
        (before && !troubled ? lostBefore : lost).increment();
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // nothing more can be done
        }
    }
}
