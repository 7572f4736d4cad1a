package wallmoor.net;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** A server on a free port of loopback with a thread for each connection; it records what it receives, in order. */
abstract class StandIn implements AutoCloseable {
    /** The received requests, and {@code open} and {@code closed} for each connection, in order of arrival. */
    final List<String> seen = Collections.synchronizedList(new ArrayList<>());
    final ServerSocket socket;

    StandIn() throws IOException {
        socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        start(() -> {
            while (true) {
                Socket peer = socket.accept();
                start(() -> {
                    seen.add("open");
                    try (peer) {
                        serve(peer);
                    } finally {
                        seen.add("closed");
                    }
                });
            }
        });
    }

    interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void start(Work work) {
        var thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) {
                // the test has ended, or the peer has closed the connection
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    abstract void serve(Socket peer) throws IOException, InterruptedException;

    int port() {
        return socket.getLocalPort();
    }

    long count(String start) {
        synchronized (seen) {
            return seen.stream().filter(s -> s.startsWith(start)).count();
        }
    }

    String member(String id, int cell, String phase) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + port() + "\",\"locality\":\"east\","
                + "\"flavor\":\"k\",\"cell\":" + cell + ",\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /**
     * A worker. {@code answer} maps a part's id to the END of its answer, to null for no answer, or to a fault:
     * {@code break} closes the connection, {@code garbage} sends an unknown frame, {@code stranger} answers under
     * another id, {@code short} sends an incomplete frame, {@code twice} sends the answer two times.
     */
    static final class Worker extends StandIn {
        private static final ScheduledExecutorService LATER = Executors.newSingleThreadScheduledExecutor(work -> {
            var thread = new Thread(work, "late-answers");
            thread.setDaemon(true);
            return thread;
        });
        final Function<String, String> answer;
        /** A text that is appended to each value. */
        volatile String value = "";
        /** The delay of an answer by the part's id; at 0 the answer is written before the next part is read. */
        volatile java.util.function.ToLongFunction<String> delayMillis = id -> 0;
        /** Called with the payload of each part when its frame has been read. */
        volatile java.util.function.Consumer<String> onPart = text -> {};

        Worker(Function<String, String> answer) throws IOException {
            this.answer = answer;
        }

        @Override
        void serve(Socket peer) throws IOException {
            var in = new DataInputStream(peer.getInputStream());
            while (true) {
                byte[] frame = new byte[in.readInt()];
                in.readFully(frame);
                String text = new String(frame, StandardCharsets.ISO_8859_1);
                seen.add(text);
                if (text.charAt(0) != 'Q') {
                    continue;
                }
                String id = text.substring(1).split(" ")[0];
                onPart.accept(text.substring(text.indexOf('\n') + 1));
                String end = answer.apply(id);
                if ("break".equals(end)) {
                    return;
                }
                if (end == null) {
                    continue;
                }
                long delay = delayMillis.applyAsLong(id);
                if (delay == 0) {
                    reply(peer, id, end);
                } else {
                    var unused = LATER.schedule(() -> {
                        reply(peer, id, end);
                        return null;
                    }, delay, TimeUnit.MILLISECONDS);
                }
            }
        }

        private void reply(Socket peer, String partId, String outcome) throws IOException {
            String end = outcome;
            String id = partId;
            if ("stranger".equals(end)) { // a valid answer with the id of no part
                id = "not-" + id;
                end = "ok";
            }
            byte[] reply = ("garbage".equals(end) ? "?"
                    : "A" + id + " " + end.replace("twice", "ok") + " 7 -\nv" + partId + value)
                    .getBytes(StandardCharsets.ISO_8859_1);
            var out = new java.io.ByteArrayOutputStream();
            if ("short".equals(end)) { // the length prefix announces more bytes than follow
                out.write(new byte[] {0, 0, 9, 9, 'A'});
                end = "none";
            }
            for (int copies = end.equals("twice") ? 2 : end.equals("none") ? 0 : 1; copies > 0; copies--) {
                new java.io.DataOutputStream(out).writeInt(reply.length);
                out.write(reply);
            }
            synchronized (peer) {
                peer.getOutputStream().write(out.toByteArray());
            }
        }
    }

    /** A discovery service. Its watches carry the objects of {@link #send}, and heartbeats unless {@link #silent}. */
    static final class Discovery extends StandIn {
        private final List<Socket> watches = Collections.synchronizedList(new ArrayList<>());
        volatile boolean silent;
        /** Watches that get no more heartbeats; those opened later do get them. */
        private final List<Socket> silencedWatches = Collections.synchronizedList(new ArrayList<>());
        /** Resets each new connection, as a service that is down would. */
        volatile boolean resetsConnections;
        /** Sent on a new watch after {@link #opening}: the changes since the requested index; none if empty. */
        volatile String changesSinceIndex = "";
        /** The response to a request for the complete list. */
        volatile String list = "{}";
        /** The first object of a new watch; none if empty. */
        volatile String opening = "";

        Discovery() throws IOException {}

        @Override
        void serve(Socket peer) throws IOException, InterruptedException {
            if (resetsConnections) {
                peer.setSoLinger(true, 0);
                return;
            }
            String first = Client.head(peer.getInputStream()).split("\r\n")[0];
            seen.add(first);
            if (first.startsWith("GET /api/targets HTTP")) {
                peer.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(UTF_8));
                seen.add(Client.head(peer.getInputStream()).split("\r\n")[0]);
            }
            peer.getOutputStream().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(UTF_8));
            if (!opening.isEmpty()) {
                write(peer, opening + "\n");
            }
            watches.add(peer);
            if (!changesSinceIndex.isEmpty()) {
                write(peer, changesSinceIndex + "\n");
            }
            while (true) {
                Thread.sleep(500);
                if (!silent && !silencedWatches.contains(peer)) {
                    write(peer, "\n");
                }
            }
        }

        /** Sends an object on all open watches. */
        void send(String json) {
            for (Socket watch : List.copyOf(watches)) {
                try {
                    write(watch, json + "\n");
                } catch (IOException e) {
                    watches.remove(watch); // the client has closed the watch
                }
            }
        }

        /** Sends the beginning of a chunk on all open watches, unless it is empty, and no heartbeat after it. */
        void silenceOpenWatches(String beginning) throws IOException {
            silencedWatches.addAll(watches);
            for (Socket watch : List.copyOf(beginning.isEmpty() ? List.of() : watches)) {
                watch.getOutputStream()
                        .write((Integer.toHexString(2 * beginning.length()) + "\r\n" + beginning).getBytes(UTF_8));
            }
        }

        /** Resets all open watches. */
        void reset() throws IOException {
            for (Socket watch : List.copyOf(watches)) {
                watch.setSoLinger(true, 0);
                watch.close();
            }
            watches.clear();
        }

        private static synchronized void write(Socket peer, String line) throws IOException {
            peer.getOutputStream().write((Integer.toHexString(line.length()) + "\r\n" + line + "\r\n").getBytes(UTF_8));
        }
    }

    /**
     * A feature server: {@code answer} maps a target to a body, a status, or null for no answer. A body that begins
     * with "!" is sent without a Content-Length and ends with the connection.
     */
    static final class FeatureServer extends StandIn {
        final Function<String, String> answer;

        FeatureServer(Function<String, String> answer) throws IOException {
            this.answer = answer;
        }

        @Override
        void serve(Socket peer) throws IOException {
            while (true) {
                String target = Client.head(peer.getInputStream()).split(" ")[1];
                seen.add(target);
                String body = answer.apply(target);
                if (body == null) {
                    continue;
                }
                if (body.startsWith("!")) {
                    peer.getOutputStream().write(("HTTP/1.1 200 OK\r\n\r\n" + body.substring(1)).getBytes(UTF_8));
                    return;
                }
                boolean isStatus = body.matches("[0-9]{3}");
                byte[] bytes = (isStatus ? "{}" : body).getBytes(StandardCharsets.UTF_8);
                peer.getOutputStream().write(("HTTP/1.1 " + (isStatus ? body : "200") + " Status\r\nContent-Type: "
                        + "application/geo+json\r\nContent-Length: " + bytes.length + "\r\n\r\n").getBytes(UTF_8));
                peer.getOutputStream().write(bytes);
            }
        }
    }
}
