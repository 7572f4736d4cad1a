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
import wallmoor.json.Json;
import wallmoor.operator.BanFile;
import wallmoor.threads.Threads;

/**
 * Runs the complete program from start to shutdown on loopback, with a simulated node list, nodes, clients and an
 * operator, so that the build can archive the classes loaded thereby. A class that a start needs but the archive lacks
 * costs far more than its own loading, because all libraries are opened to search for it.
 */
public final class ArchiveTraining {
    private static final int QUERIES = 50;
    private static final int MAX_SECONDS = 30;
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final LaunchConfig launch;
    /** The JSON text of the complete node list. */
    private final String completeList;
    private final ServerSocket nodes = listen();
    private final ServerSocket discovery = listen();

    private ArchiveTraining(LaunchConfig original, InetSocketAddress clients, boolean isInherited)
            throws IOException, Json.Malformed {
        completeList = "{\"revision\":41,\"complete\":true,\"members\":[" + members(original) + "]}";
        byte[] list = completeList.getBytes(StandardCharsets.ISO_8859_1);
        launch = original.withAddresses(clients, addressOf(discovery), freeAddress(), Json.object(list, 0, list.length),
                isInherited);
    }

    /**
     * Runs the training for at most {@value #MAX_SECONDS} s. Returns null on success, else the error. An error is not
     * thrown, because the program works without the classes that the archive then lacks.
     */
    public static String run(LaunchConfig launch, OperatorConfig operator) throws InterruptedException {
        var failure = new AtomicReference<>("not finished after " + MAX_SECONDS + " s");
        Thread thread = Threads.start("rehearsal", () -> {
            try {
                runBoth(launch, operator);
                failure.set(null);
            } catch (IOException | Json.Malformed | InterruptedException | RuntimeException e) {
                failure.set(e.toString());
            }
        });
        thread.join(TimeUnit.SECONDS.toMillis(MAX_SECONDS));
        return failure.get();
    }

    /** Runs a service that listens itself, then one that inherits its listener and shares a directory. */
    private static void runBoth(LaunchConfig launch, OperatorConfig operator)
            throws IOException, Json.Malformed, InterruptedException {
        var alone = new ArchiveTraining(launch, freeAddress(), false);
        alone.run(new Service(alone.launch, operator, null, null));
        Path shared = createSharedDirectory();
        try (var channel = ServerSocketChannel.open()) {
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            var inheriting = new ArchiveTraining(launch, (InetSocketAddress) channel.getLocalAddress(), true);
            inheriting.run(new Service(inheriting.launch, operator, InheritedListener.of(channel), shared));
        } finally {
            try (var files = Files.newDirectoryStream(shared)) {
                for (Path file : files) {
                    Files.delete(file);
                }
            }
            Files.delete(shared);
        }
    }

    /**
     * Creates a directory that holds bans and a heartbeat of another process. It lies in the build's own directory, as
     * the build may write nowhere else.
     */
    private static Path createSharedDirectory() throws IOException {
        Path shared = Files.createTempDirectory(Path.of("target"), "rehearsal");
        long now = new MonotonicClock().getAsLong();
        new BanFile(shared).write(List.of(new BanMark("n2", true, now), new BanMark("n3", false, now)));
        Files.createFile(shared.resolve("process-" + "0".repeat(19) + "1-1"));
        return shared;
    }

    private void run(Service service) throws IOException, InterruptedException {
        Threads.start("rehearsal-nodes", () -> accept(nodes, ArchiveTraining::serveNode));
        Threads.start("rehearsal-discovery", () -> accept(discovery, this::serveNodeList));
        service.start();
        runClients();
        runOperator();
        service.reload();
        Thread shutdown = service.shutdownThread();
        shutdown.start();
        shutdown.join();
        nodes.close();
        discovery.close();
    }

    private void runClients() throws IOException {
        call(launch.listen(), "GET /-/ready HTTP/1.1\r\n\r\n", "GET /elsewhere HTTP/1.1\r\n\r\n");
        try (var client = new Socket(launch.listen().getAddress(), launch.listen().getPort())) {
            for (int i = 0; i < QUERIES; i++) {
                client.getOutputStream().write(WarmUp.query(launch, i));
                readAnswer(client.getInputStream());
            }
        }
    }

    private void runOperator() throws IOException {
        call(launch.admin(), "GET /_ready HTTP/1.1\r\n\r\n", "GET /_vars HTTP/1.1\r\n\r\n",
                "PUT /_workers/detach HTTP/1.1\r\nContent-Length: 2\r\n\r\nn1",
                "PUT /_workers/attach HTTP/1.1\r\nContent-Length: 2\r\n\r\nn1");
    }

    /** Sends the calls one after another, each on a connection of its own. */
    private static void call(InetSocketAddress address, String... calls) throws IOException {
        for (String call : calls) {
            try (var client = new Socket(address.getAddress(), address.getPort())) {
                client.getOutputStream().write(call.getBytes(StandardCharsets.ISO_8859_1));
                readAnswer(client.getInputStream());
            }
        }
    }

    /** Reads an answer with its body. */
    private static void readAnswer(InputStream in) throws IOException {
        String head = readHead(in).toLowerCase(java.util.Locale.ROOT);
        int valueStart = head.indexOf("content-length:") + "content-length:".length();
        in.readNBytes(Integer.parseInt(head.substring(valueStart, head.indexOf('\r', valueStart)).trim()));
    }

    private static String readHead(InputStream in) throws IOException {
        var head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int character = in.read();
            if (character < 0) {
                throw new IOException("connection closed before the end of the answer's header fields");
            }
            head.append((char) character);
        }
        return head.toString();
    }

    /** Serves the node list, or a watch: the list, no change, then a node that drains and one that serves again. */
    private void serveNodeList(Socket client) throws IOException {
        while (true) {
            if (readHead(client.getInputStream()).startsWith("GET /api/targets HTTP")) {
                client.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + completeList.length() + "\r\n\r\n"
                                + completeList).getBytes(StandardCharsets.ISO_8859_1));
                continue;
            }
            var lines = new StringBuilder(CHUNKED_HEAD);
            for (String line : new String[] {completeList, "", "{\"revision\":42,\"complete\":false,\"members\":["
                    + member(launch, "n0", 0, "DRAINING") + "]}",
                "{\"revision\":43,\"complete\":false,\"members\":["
                        + member(launch, "n0", 0, "SERVING") + "]}"}) {
                lines.append(Integer.toHexString(line.length() + 1)).append("\r\n").append(line).append("\n\r\n");
            }
            client.getOutputStream().write(lines.toString().getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private String members(LaunchConfig config) {
        int cells = config.settings().layout().cells();
        var members = new StringBuilder();
        for (int i = 0; i < 2 * cells; i++) {
            members.append(i == 0 ? "" : ",").append(member(config, "n" + i, i % cells, "SERVING"));
        }
        return members.toString();
    }

    private String member(LaunchConfig config, String id, int cell, String phase) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + nodes.getLocalPort() + "\",\"locality\":\""
                + config.zones().get(0) + "\",\"flavor\":\"" + config.kinds().get(0) + "\",\"cell\":" + cell
                + ",\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    /** Serves one connection as a node; some parts fail. */
    private static void serveNode(Socket client) throws IOException {
        client.setTcpNoDelay(true);
        var in = new DataInputStream(client.getInputStream());
        var out = new DataOutputStream(client.getOutputStream());
        for (int frameNumber = 1;; frameNumber++) {
            byte[] answer = WarmUp.answer(in.readNBytes(in.readInt()), frameNumber);
            if (answer.length > 0) {
                out.writeInt(answer.length);
                out.write(answer);
            }
        }
    }

    private interface ConnectionHandler {
        void handle(Socket client) throws IOException;
    }

    private static void accept(ServerSocket listener, ConnectionHandler handler) {
        try {
            while (true) {
                Socket client = listener.accept();
                Threads.start("rehearsal-part", () -> {
                    try (client) {
                        handler.handle(client);
                    } catch (IOException e) {
                        // the training has ended
                    }
                });
            }
        } catch (IOException e) {
            // the training has ended
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    }

    private static InetSocketAddress addressOf(ServerSocket socket) {
        return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = listen()) {
            return addressOf(socket);
        }
    }
}
