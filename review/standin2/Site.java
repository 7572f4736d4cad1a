import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What all cases share: free ports and a temporary folder on loopback, the record, gatherers started by `run` of the
 * deploy file, and an HTTP client of one request for each connection.
 */
final class Site implements AutoCloseable {
    /** Whether the case plays its disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    /** The repository. */
    static final Path ROOT = Path.of("..", "..").toAbsolutePath().normalize();

    final Path folder;
    private final long startedAt = System.nanoTime();
    private final StringBuilder record = new StringBuilder();
    private final List<Process> processes = new ArrayList<>();
    private final List<ServerSocket> heldPorts = new ArrayList<>();

    Site() throws IOException {
        folder = Files.createTempDirectory("review-case");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    // ---- record -------------------------------------------------------------------------------------------

    /** Milliseconds since the case began. */
    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    }

    /** Adds a line to the record. */
    void note(String line) {
        synchronized (record) {
            record.append(String.format("%7d ms  %s%n", millis(), line));
        }
    }

    /** Writes the record and the last lines of each process's output, and ends all processes. */
    @Override
    public void close() throws IOException {
        endProcesses();
        var text = new StringBuilder(record);
        try (Stream<Path> files = Files.list(folder)) {
            for (Path log : files.filter(f -> f.toString().endsWith(".log")).sorted().toList()) {
                List<String> lines = Files.readAllLines(log);
                text.append("\n").append(log.getFileName()).append(", the last lines\n");
                lines.subList(Math.max(0, lines.size() - 30), lines.size())
                        .forEach(l -> text.append("  ").append(l.replace(folder.toString(), "TMP")).append('\n'));
            }
        }
        Files.writeString(Path.of("record.txt"), text);
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }

    private void endProcesses() {
        for (Process p : processes) {
            p.descendants().forEach(ProcessHandle::destroyForcibly);
            p.destroyForcibly();
        }
    }

    // ---- ports and processes ------------------------------------------------------------------------------

    /** Returns a free port on loopback, which no other call returns. */
    synchronized int port() throws IOException {
        var held = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        heldPorts.add(held);
        return held.getLocalPort();
    }

    /** Frees the ports that {@link #port} has given, for the processes that are started next. */
    synchronized void freePorts() throws IOException {
        for (ServerSocket s : heldPorts) {
            s.close();
        }
        heldPorts.clear();
    }

    /** Returns a command of the deploy file. */
    static String deployCommand(String key) throws IOException {
        Matcher m = Pattern.compile("(?m)^" + key + " = \"(.*?)\"\\s*(#.*)?$")
                .matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        if (!m.find()) {
            throw new IOException("the deploy file has no " + key);
        }
        return m.group(1);
    }

    /** Starts a gatherer by `run` of the deploy file. */
    Process gatherer(String name, Path config, Path operator) throws IOException {
        return gatherer(name, config, operator, false);
    }

    /** Starts a gatherer, which may inherit descriptor 0 of this process as the clients' listening socket. */
    Process gatherer(String name, Path config, Path operator, boolean inheritsSocket) throws IOException {
        Path tmp = Files.createDirectories(folder.resolve("tmp-" + name));
        var b = new ProcessBuilder("/bin/sh", "-c", deployCommand("run")).directory(ROOT.toFile())
                .redirectErrorStream(true).redirectOutput(
                        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        b.environment().keySet().removeIf(k -> k.startsWith("ROUTER_") || k.startsWith("WALLMOOR_"));
        b.environment().put("ROUTER_CONFIG", config.toString());
        b.environment().put("TMPDIR", tmp.toString());
        if (inheritsSocket) {
            b.redirectInput(ProcessBuilder.Redirect.INHERIT).environment().put("ROUTER_INHERITED_FD", "0");
        }
        if (operator != null) {
            b.environment().put("WALLMOOR_OPERATOR", operator.toString());
        }
        Process p = b.start();
        processes.add(p);
        note("started " + name + ", pid " + p.pid());
        return p;
    }

    /** Waits until the gatherer at this port reports ready. */
    void awaitReady(int port) throws Exception {
        for (int i = 0; i < 300; i++) {
            try {
                if (Reply.of(port, "GET", "/-/ready", "", null, 1000).status == 200) {
                    note("ready on port " + port);
                    return;
                }
            } catch (IOException e) {
                // not yet
            }
            Thread.sleep(100);
        }
        throw new CannotRun("no gatherer is ready on port " + port);
    }

    /** Sends a signal to a process that the case started. */
    void signal(Process p, String signal) throws Exception {
        note("SIG" + signal + " to pid " + p.pid());
        new ProcessBuilder("kill", "-" + signal, Long.toString(p.pid())).start().waitFor();
    }

    /** Thrown where the case can't run. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String reason) {
            super(reason);
        }
    }

    // ---- HTTP ---------------------------------------------------------------------------------------------

    /** An answer over HTTP; status 0 where the connection ended without one. */
    static final class Reply {
        final int status;
        final String head;
        final String body;

        Reply(int status, String head, String body) {
            this.status = status;
            this.head = head;
            this.body = body;
        }

        /** Sends one request on a new connection and reads its answer. */
        static Reply of(int port, String method, String target, String headers, byte[] body, int timeoutMillis)
                throws IOException {
            try (var socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
                socket.setTcpNoDelay(true);
                send(socket, method, target, headers, body);
                return read(socket, timeoutMillis);
            }
        }

        static void send(Socket socket, String method, String target, String headers, byte[] body)
                throws IOException {
            String head = method + " " + target + " HTTP/1.1\r\nHost: service.internal\r\n" + headers
                    + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
            byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = java.util.Arrays.copyOf(start, start.length + (body == null ? 0 : body.length));
            if (body != null) {
                System.arraycopy(body, 0, all, start.length, body.length);
            }
            OutputStream out = socket.getOutputStream();
            out.write(all);
            out.flush();
        }

        /** Reads an answer with a length; the time limit holds for all of it. */
        static Reply read(Socket socket, int timeoutMillis) throws IOException {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
            InputStream in = socket.getInputStream();
            var head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                socket.setSoTimeout(left(end));
                int c = in.read();
                if (c < 0) {
                    return new Reply(0, head.toString(), "");
                }
                head.append((char) c);
            }
            Matcher length = Pattern.compile("(?i)content-length: *([0-9]+)").matcher(head);
            byte[] body = new byte[length.find() ? Integer.parseInt(length.group(1)) : 0];
            for (int n = 0; n < body.length;) {
                socket.setSoTimeout(left(end));
                int r = in.read(body, n, body.length - n);
                if (r < 0) {
                    return new Reply(0, head.toString(), "");
                }
                n += r;
            }
            return new Reply(Integer.parseInt(head.substring(9, 12)), head.toString(),
                    new String(body, StandardCharsets.UTF_8));
        }

        private static int left(long end) {
            return (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime()));
        }
    }
}
