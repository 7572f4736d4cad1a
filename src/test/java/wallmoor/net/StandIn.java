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

/** A small server on a free port, a thread a connection; it writes down what came, in order. */
abstract class StandIn implements AutoCloseable {
    /** What came, over all stand-ins of a test: their order tells which came first. */
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
                // the test is over, or the peer has gone
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

    /** A worker: {@code answer} turns a part's id into END, or into null for silence, or "break" or "garbage". */
    static final class Worker extends StandIn {
        private static final ScheduledExecutorService LATER = Executors.newSingleThreadScheduledExecutor(work -> {
            var thread = new Thread(work, "late-answers");
            thread.setDaemon(true);
            return thread;
        });
        final Function<String, String> answer;
        /** What stands behind each value. */
        volatile String value = "";
        /** How long each answer is kept back, by the part's id; where that is 0 the next part waits for the answer. */
        volatile java.util.function.ToLongFunction<String> delayMillis = id -> 0;
        /** Told what each part carries, as its frame has come. */
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
                long after = delayMillis.applyAsLong(id);
                if (after == 0) {
                    reply(peer, id, end);
                } else {
                    var unused = LATER.schedule(() -> {
                        reply(peer, id, end);
                        return null;
                    }, after, TimeUnit.MILLISECONDS);
                }
            }
        }

        private void reply(Socket peer, String asked, String how) throws IOException {
            String end = how;
            String id = asked;
            if ("stranger".equals(end)) { // spoilt: the right form, but another's id
                id = "not-" + id;
                end = "ok";
            }
            byte[] reply = ("garbage".equals(end) ? "?"
                    : "A" + id + " " + end.replace("twice", "ok") + " 7 -\nv" + asked + value)
                    .getBytes(StandardCharsets.ISO_8859_1);
            var out = new java.io.ByteArrayOutputStream();
            if ("short".equals(end)) { // its length says more than comes
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

    /** Discovery: its watches send what {@link #say} is given, and nothing else where {@link #silent}. */
    static final class Discovery extends StandIn {
        private final List<Socket> watches = Collections.synchronizedList(new ArrayList<>());
        volatile boolean silent;
        /** Watches on which nothing more is said; those opened later are as ever. */
        private final List<Socket> hushed = Collections.synchronizedList(new ArrayList<>());
        /** Down: connections are reset. */
        volatile boolean resetsConnections;
        /** The first line of a new watch: what changed since; none if empty. */
        volatile String changesSinceIndex = "";
        /** The whole list, where that is asked for. */
        volatile String list = "{}";
        /** What each watch begins with, or nothing. */
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
                if (!silent && !hushed.contains(peer)) {
                    write(peer, "\n");
                }
            }
        }

        void send(String json) {
            for (Socket watch : List.copyOf(watches)) {
                try {
                    write(watch, json + "\n");
                } catch (IOException e) {
                    watches.remove(watch); // who watched has gone
                }
            }
        }

        /** All watches open now fall silent, after so much of a line. */
        void silenceOpenWatches(String half) throws IOException {
            hushed.addAll(watches);
            for (Socket watch : List.copyOf(half.isEmpty() ? List.of() : watches)) {
                watch.getOutputStream().write((Integer.toHexString(2 * half.length()) + "\r\n" + half).getBytes(UTF_8));
            }
        }

        /** All watches open now are reset. */
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
     * A feature server: {@code answer} turns a target into a body, a status, or null for silence. A body after "!" has
     * no length, and ends where the connection does.
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
                boolean status = body.matches("[0-9]{3}");
                byte[] bytes = (status ? "{}" : body).getBytes(StandardCharsets.UTF_8);
                peer.getOutputStream().write(("HTTP/1.1 " + (status ? body : "200") + " Status\r\nContent-Type: "
                        + "application/geo+json\r\nContent-Length: " + bytes.length + "\r\n\r\n").getBytes(UTF_8));
                peer.getOutputStream().write(bytes);
            }
        }
    }
}
