package wallmoor.service;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import wallmoor.bans.BanMark;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;
import wallmoor.core.MonotonicClock;
import wallmoor.http.InheritedListener;
import wallmoor.http.Threads;
import wallmoor.json.Json;
import wallmoor.operator.BanFile;

/**
 * For the archive of classes alone: the whole program from start to end on loopback, with a list, nodes, clients and an
 * operator of its own. One class that a start needs and the archive lacks costs it far more than that class, as all
 * libraries are opened to look for it.
 */
public final class ArchiveTraining {
    private static final int QUERIES = 50;
    private static final int MOST_SECONDS = 30;
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final LaunchConfig launch;
    /** The list with all nodes. */
    private final String whole;
    private final ServerSocket nodes = listen();
    private final ServerSocket discovery = listen();

    private ArchiveTraining(LaunchConfig asTold, InetSocketAddress clients, boolean held)
            throws IOException, Json.Malformed {
        whole = "{\"revision\":41,\"complete\":true,\"members\":[" + members(asTold) + "]}";
        byte[] known = whole.getBytes(StandardCharsets.ISO_8859_1);
        launch = asTold.withAddresses(clients, at(discovery), free(), Json.object(known, 0, known.length), held);
    }

    /**
     * Runs it, for {@value #MOST_SECONDS} s at most. Null where all went as it should, else what went wrong: the
     * archive then lacks something, which is no reason to have no program.
     */
    public static String run(LaunchConfig launch, OperatorConfig operator) throws InterruptedException {
        var fault = new AtomicReference<>("no end after " + MOST_SECONDS + " s");
        Thread play = Threads.start("rehearsal", () -> {
            try {
                play(launch, operator);
                fault.set(null);
            } catch (IOException | Json.Malformed | InterruptedException | RuntimeException e) {
                fault.set(e.toString());
            }
        });
        play.join(TimeUnit.SECONDS.toMillis(MOST_SECONDS));
        return fault.get();
    }

    private static void play(LaunchConfig launch, OperatorConfig operator)
            throws IOException, Json.Malformed, InterruptedException {
        var alone = new ArchiveTraining(launch, free(), false);
        alone.play(new Service(alone.launch, operator, null, null));
        Path shared = shared();
        try (var channel = ServerSocketChannel.open()) {
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            var held = new ArchiveTraining(launch, (InetSocketAddress) channel.getLocalAddress(), true);
            held.play(new Service(held.launch, operator, InheritedListener.of(channel), shared));
        } finally {
            try (var left = Files.newDirectoryStream(shared)) {
                for (Path file : left) {
                    Files.delete(file);
                }
            }
            Files.delete(shared);
        }
    }

    /**
     * A directory in which another process has left a ban and a sign of its life; the build may write in its own alone.
     */
    private static Path shared() throws IOException {
        Path shared = Files.createTempDirectory(Path.of("target"), "rehearsal");
        long now = new MonotonicClock().getAsLong();
        new BanFile(shared).write(List.of(new BanMark("n2", true, now), new BanMark("n3", false, now)));
        Files.createFile(shared.resolve("process-" + "0".repeat(19) + "1-1"));
        return shared;
    }

    private void play(Service service) throws IOException, InterruptedException {
        Threads.start("rehearsal-nodes", () -> accept(nodes, ArchiveTraining::answer));
        Threads.start("rehearsal-discovery", () -> accept(discovery, this::list));
        service.start();
        clients();
        operators();
        service.reload();
        Thread leaving = service.leaving();
        leaving.start();
        leaving.join();
        nodes.close();
        discovery.close();
    }

    private void clients() throws IOException {
        ask(launch.listen(), "GET /-/ready HTTP/1.1\r\n\r\n", "GET /elsewhere HTTP/1.1\r\n\r\n");
        try (var client = new Socket(launch.listen().getAddress(), launch.listen().getPort())) {
            for (int i = 0; i < QUERIES; i++) {
                client.getOutputStream().write(WarmUp.query(launch, i));
                answered(client.getInputStream());
            }
        }
    }

    private void operators() throws IOException {
        ask(launch.admin(), "GET /_ready HTTP/1.1\r\n\r\n", "GET /_vars HTTP/1.1\r\n\r\n",
                "PUT /_workers/detach HTTP/1.1\r\nContent-Length: 2\r\n\r\nn1",
                "PUT /_workers/attach HTTP/1.1\r\nContent-Length: 2\r\n\r\nn1");
    }

    /** Calls one after another, a connection each. */
    private static void ask(InetSocketAddress at, String... calls) throws IOException {
        for (String call : calls) {
            try (var client = new Socket(at.getAddress(), at.getPort())) {
                client.getOutputStream().write(call.getBytes(StandardCharsets.ISO_8859_1));
                answered(client.getInputStream());
            }
        }
    }

    private static void answered(InputStream in) throws IOException {
        String head = head(in).toLowerCase(java.util.Locale.ROOT);
        int length = head.indexOf("content-length:") + "content-length:".length();
        in.readNBytes(Integer.parseInt(head.substring(length, head.indexOf('\r', length)).trim()));
    }

    private static String head(InputStream in) throws IOException {
        var head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                throw new IOException("closed");
            }
            head.append((char) c);
        }
        return head.toString();
    }

    /** The list: all nodes, then one that comes, drains and goes, then nothing new. */
    private void list(Socket client) throws IOException {
        while (true) {
            if (head(client.getInputStream()).startsWith("GET /api/targets HTTP")) {
                client.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + whole.length() + "\r\n\r\n" + whole)
                                .getBytes(StandardCharsets.ISO_8859_1));
                continue;
            }
            var lines = new StringBuilder(CHUNKED);
            for (String line : new String[] {whole, "", "{\"revision\":42,\"complete\":false,\"members\":["
                    + member(launch, "n0", 0, "DRAINING") + "]}",
                "{\"revision\":43,\"complete\":false,\"members\":["
                        + member(launch, "n0", 0, "SERVING") + "]}"}) {
                lines.append(Integer.toHexString(line.length() + 1)).append("\r\n").append(line).append("\n\r\n");
            }
            client.getOutputStream().write(lines.toString().getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private String members(LaunchConfig of) {
        int cells = of.settings().layout().cells();
        var all = new StringBuilder();
        for (int i = 0; i < 2 * cells; i++) {
            all.append(i == 0 ? "" : ",").append(member(of, "n" + i, i % cells, "SERVING"));
        }
        return all.toString();
    }

    private String member(LaunchConfig of, String id, int cell, String phase) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + nodes.getLocalPort() + "\",\"locality\":\""
                + of.zones().get(0) + "\",\"flavor\":\"" + of.kinds().get(0) + "\",\"cell\":" + cell
                + ",\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    /** A node: some parts fail. */
    private static void answer(Socket client) throws IOException {
        client.setTcpNoDelay(true);
        var in = new DataInputStream(client.getInputStream());
        var out = new DataOutputStream(client.getOutputStream());
        for (int calls = 1;; calls++) {
            byte[] answer = WarmUp.answer(in.readNBytes(in.readInt()), calls);
            if (answer.length > 0) {
                out.writeInt(answer.length);
                out.write(answer);
            }
        }
    }

    private interface Part {
        void play(Socket client) throws IOException;
    }

    private static void accept(ServerSocket at, Part part) {
        try {
            while (true) {
                Socket client = at.accept();
                Threads.start("rehearsal-part", () -> {
                    try (client) {
                        part.play(client);
                    } catch (IOException e) {
                        // the rehearsal is over
                    }
                });
            }
        } catch (IOException e) {
            // the rehearsal is over
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    }

    private static InetSocketAddress at(ServerSocket socket) {
        return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket socket = listen()) {
            return at(socket);
        }
    }
}
