import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What all cases share: the record, the temporary folder, free ports, and the processes that a case starts. */
final class Lab implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Whether the disruption is carried out. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path temp;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final Set<Integer> usedPorts = new HashSet<>();

    /** @param caseFolder the folder of the case, in which record.txt is written */
    Lab(Path caseFolder) throws IOException {
        root = caseFolder.toAbsolutePath().normalize().getParent().getParent();
        temp = Files.createTempDirectory("case");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("disruption: " + (trouble ? "yes" : "no (TROUBLE=0)"));
    }

    /** Runs a case and exits with its result; a failure of the case itself gives {@link #NOT_RUN}. */
    static void run(String[] args, Case body) {
        int result = NOT_RUN;
        try (var lab = new Lab(Path.of(args[0]))) {
            try {
                result = body.run(lab);
            } catch (Exception e) {
                lab.note("the case could not run: " + e);
                e.printStackTrace();
            }
            lab.note(result == HELD ? "result: the rule held"
                    : result == BROKEN ? "result: THE RULE WAS BROKEN" : "result: the case could not run");
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    /** The body of a case. */
    interface Case {
        int run(Lab lab) throws Exception;
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    }

    /** Writes a line to the record and to standard output. */
    synchronized void note(String line) {
        String text = String.format("%7d ms  %s", now(), line);
        record.println(text);
        System.out.println(text);
    }

    /** Waits until a time, in milliseconds since the start of the case. */
    void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - now()));
    }

    /** Returns a free port of the loopback address. */
    synchronized int port() throws IOException {
        while (true) {
            try (var socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                if (usedPorts.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            }
        }
    }

    /** Writes a file into the temporary folder. */
    Path write(String name, String text) throws IOException {
        Path file = temp.resolve(name);
        Files.writeString(file, text);
        return file;
    }

    /**
     * Starts a gatherer by {@code run} of the deploy file, as a process of its own.
     *
     * @param name     its name, for its log and its temporary folder
     * @param config   the file for ROUTER_CONFIG
     * @param operator the file for WALLMOOR_OPERATOR, or null
     */
    Process startGatherer(String name, Path config, Path operator) throws IOException {
        Matcher command = Pattern.compile("(?m)^run = \"(.*?)\"").matcher(
                Files.readString(root.resolve("deploy/balancer.toml")));
        if (!command.find()) {
            throw new IOException("deploy/balancer.toml has no run");
        }
        var env = new LinkedHashMap<String, String>();
        env.put("ROUTER_CONFIG", config.toString());
        env.put("TMPDIR", Files.createDirectories(temp.resolve("tmp-" + name)).toString());
        if (operator != null) {
            env.put("WALLMOOR_OPERATOR", operator.toString());
        }
        return start(name, env, "/bin/sh", "-c", command.group(1));
    }

    /** Starts a process in the root of the repository; its output goes to a file of the temporary folder. */
    synchronized Process start(String name, Map<String, String> env, String... command) throws IOException {
        var builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
                .redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()))
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()));
        builder.environment().putAll(env);
        Process process = builder.start();
        processes.add(process);
        note("started " + name);
        return process;
    }

    /** Returns the file with the output of a process. */
    Path log(String name) {
        return temp.resolve(name + ".log");
    }

    /** Copies the last lines of a process's output into the record. */
    void noteLog(String name, int lines) throws IOException {
        List<String> all = Files.readAllLines(log(name), StandardCharsets.UTF_8);
        for (String line : all.subList(Math.max(0, all.size() - lines), all.size())) {
            note("log of " + name + ": " + line.replaceAll("^\\S+Z ", ""));
        }
    }

    /** Sends a signal (TERM, KILL, HUP, STOP, CONT) to a process that this case started. */
    void signal(String name, Process process, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
        note("sent SIG" + signal + " to " + name);
    }

    /** Waits until a gatherer answers GET /-/ready with 200. */
    void awaitReady(int port) throws InterruptedException, IOException {
        long until = now() + 20_000;
        while (now() < until) {
            try (var client = new Http(port)) {
                if (client.request("GET /-/ready", Map.of(), "", 1_000).status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Thread.sleep(50);
        }
        throw new IOException("no gatherer was ready on port " + port + " within 20 s");
    }

    /** Waits until something listens on a port. */
    void awaitListening(int port) throws InterruptedException, IOException {
        for (int i = 0; i < 200; i++) {
            try (var socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
                return;
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        throw new IOException("nothing listens on port " + port);
    }

    private synchronized void endProcesses() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
    }

    @Override
    public void close() {
        endProcesses();
        record.close();
        try (var files = Files.walk(temp)) {
            if (System.getenv("KEEP") == null) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } catch (IOException e) {
            // the folder stays behind
        }
    }
}
