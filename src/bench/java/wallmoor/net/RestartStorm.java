package wallmoor.net;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import wallmoor.standin.Ports;

/**
 * Restarts two gatherers in turn by SIGTERM and SIGKILL, under queries of four parts and silent clients that reconnect
 * as soon as they are closed. Each gatherer is started by the deploy file's {@code run} line and has half a core (one
 * core that it shares with a busy process). Prints one line a second for each gatherer with its processor time by
 * thread, and the outcomes of the queries.
 *
 * <p>Arguments: silent clients, queries a second, second of the first SIGTERM (0: no restart), seconds to run; the
 * repository's root if it is not the current directory.
 */
public final class RestartStorm {
    private static final int NODES = 12;
    private static final int GATHERERS = 2;
    private static final long OBJECTIVE_MILLIS = 1_000;
    /** The time from SIGTERM to SIGKILL. */
    private static final long TERM_TO_KILL_MILLIS = 1_850;
    /** The time from one restart to the next. */
    private static final long RESTART_INTERVAL_MILLIS = 3_000;

    private final LongAdder queries = new LongAdder();
    private final LongAdder inTime = new LongAdder();
    private final LongAdder late = new LongAdder();
    private final LongAdder refused = new LongAdder();
    private final LongAdder broken = new LongAdder();
    private final LongAdder reconnects = new LongAdder();
    private final AtomicInteger queryNumber = new AtomicInteger();
    private final List<Gatherer> gatherers = new ArrayList<>();

    private RestartStorm() {}

    /** A gatherer process and its successors after restarts. */
    private final class Gatherer implements AutoCloseable {
        final int index;
        final int port = Ports.free();
        final Path config = Files.createTempFile("storm", ".json");
        final ConcurrentLinkedDeque<Client> idleClients = new ConcurrentLinkedDeque<>();
        final Process busy;
        final String command;
        final Path root;
        final Map<String, Long> threads = new TreeMap<>();
        volatile Process process;
        volatile boolean isUp;
        double processorSeconds;

        Gatherer(int index, int discovery, String members, Path root) throws IOException {
            this.index = index;
            this.root = root;
            Files.writeString(config, Program.config("g" + index, Program.SEED + index, port, discovery, members, 384)
                    .replace("\"sockets\":384", "\"sockets\":384,\"memory_mb\":144")
                    .replace("\"Instances\":1,\"Position\":0", "\"Instances\":2,\"Position\":" + index));
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(l -> l.startsWith("run"))
                    .findFirst().orElseThrow();
            command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
            busy = new ProcessBuilder("taskset", "-c", cpuNumber(), "sh", "-c", "while :; do :; done").start();
        }

        private String cpuNumber() {
            return "" + (Runtime.getRuntime().availableProcessors() - 1 - index);
        }

        void start() throws Exception {
            var builder = new ProcessBuilder("taskset", "-c", cpuNumber(), "sh", "-c", command)
                    .directory(root.toFile());
            builder.environment().put("ROUTER_CONFIG", config.toString());
            long startNanos = System.nanoTime();
            process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
            processorSeconds = 0;
            threads.clear();
            while (!ready()) {
                Thread.sleep(10);
            }
            isUp = true;
            System.out.printf("g%d ready after %d ms, %.2f s of processor%n", index,
                    (System.nanoTime() - startNanos) / 1_000_000,
                    processorSeconds(process.pid()));
        }

        void restart() throws Exception {
            isUp = false;
            Program.signal(process, "TERM");
            Thread.sleep(TERM_TO_KILL_MILLIS);
            process.destroyForcibly().onExit().join();
            idleClients.clear();
            start();
        }

        private boolean ready() {
            try {
                return Client.get(port, "/-/ready").status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        String describeLastSecond() throws IOException {
            long pid = process.pid();
            double now = processorSeconds(pid);
            var previous = Map.copyOf(threads);
            threads.clear();
            addThreadTimes(pid, threads);
            var busiest = new ArrayList<String>();
            threads.entrySet().stream().map(e -> Map.entry(e.getKey(), e.getValue()
                    - previous.getOrDefault(e.getKey(), 0L)))
                    .sorted((a, b) -> Long.compare(b.getValue(), a.getValue())).limit(8)
                    .forEach(e -> busiest.add(e.getKey() + "=" + e.getValue() / 1_000_000));
            String line = String.format("   g%d cpu %.2f %s", index, now - processorSeconds, busiest);
            processorSeconds = now;
            return line;
        }

        @Override
        public void close() {
            busy.destroyForcibly();
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    /** Runs the storm until its time is over. */
    public static void main(String[] args) throws Exception {
        new RestartStorm().run(Integer.parseInt(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]),
                Integer.parseInt(args[3]), Path.of(args.length > 4 ? args[4] : "."));
        System.exit(0);
    }

    private void run(int silent, int rate, int restartAt, int seconds, Path root) throws Exception {
        var members = new ArrayList<String>();
        for (int i = 0; i < NODES; i++) {
            members.add(new StandIn.Worker(id -> "ok").member("n" + i, i % 2, "SERVING"));
        }
        try (var discovery = new StandIn.Discovery()) {
            for (int i = 0; i < GATHERERS; i++) {
                gatherers.add(new Gatherer(i, discovery.port(), String.join(",", members), root));
            }
            for (Gatherer g : gatherers) {
                startDaemon("start", () -> startUnchecked(g));
            }
            while (!gatherers.stream().allMatch(g -> g.isUp)) {
                Thread.sleep(10);
            }
            for (int i = 0; i < silent; i++) {
                startDaemon("silent", this::connectSilently);
            }
            if (restartAt > 0) {
                startDaemon("restarts", () -> restartAll(restartAt * 1000L));
            }
            generateLoad(rate, seconds);
        } finally {
            gatherers.forEach(Gatherer::close);
        }
    }

    private static void startUnchecked(Gatherer g) {
        try {
            g.start();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void restartAll(long delayMillis) {
        try {
            Thread.sleep(delayMillis);
            for (Gatherer g : gatherers) {
                long startNanos = System.nanoTime();
                g.restart();
                Thread.sleep(Math.max(0, RESTART_INTERVAL_MILLIS - (System.nanoTime() - startNanos) / 1_000_000));
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static void startDaemon(String name, Runnable work) {
        var thread = new Thread(null, work, name, 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** Connects, sends nothing, and connects again once the connection is closed. */
    private void connectSilently() {
        while (true) {
            Gatherer g = randomRunning();
            try (var socket = new Socket("127.0.0.1", g.port)) {
                socket.getInputStream().read();
            } catch (IOException e) {
                // the connection was reset or refused
            }
            reconnects.increment();
            try {
                Thread.sleep(5); // avoids a busy loop when connects are refused
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private Gatherer randomRunning() {
        Gatherer g = gatherers.get(ThreadLocalRandom.current().nextInt(GATHERERS));
        return g.isUp ? g : gatherers.get(GATHERERS - 1 - g.index);
    }

    private void generateLoad(int rate, int seconds) throws Exception {
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
        var clients = Executors.newFixedThreadPool(800);
        for (int s = 0; s < seconds; s++) {
            for (int i = 0; i < rate; i++) {
                scheduler.schedule(() -> clients.execute(this::sendQuery), 1_000_000L * i / rate,
                        TimeUnit.MICROSECONDS);
            }
            Thread.sleep(1_000);
            System.out.printf("%2d s asked %d in time %d late %d refused %d broken %d; connects of silent %d%n", s,
                    queries.sumThenReset(), inTime.sumThenReset(), late.sumThenReset(), refused.sumThenReset(),
                    broken.sumThenReset(), reconnects.sumThenReset());
            for (Gatherer g : gatherers) {
                try {
                    System.out.println(g.describeLastSecond());
                } catch (IOException e) {
                    System.out.println("   g" + g.index + " is away");
                }
            }
        }
    }

    private void sendQuery() {
        String id = "s" + queryNumber.incrementAndGet();
        long startNanos = System.nanoTime();
        queries.increment();
        Gatherer g = randomRunning();
        Client client = g.idleClients.pollLast();
        try {
            if (client == null) {
                client = new Client(g.port);
                client.socket.setSoTimeout(2_500);
            }
            var answer = client.send(Client.query(id, "all", 1900, 0, 1, 2, 3)).answer();
            long millis = (System.nanoTime() - startNanos) / 1_000_000;
            (answer.status != 200 ? refused : millis <= OBJECTIVE_MILLIS ? inTime : late).increment();
            if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                client.close();
            } else {
                g.idleClients.add(client);
            }
        } catch (IOException e) {
            broken.increment();
        }
    }

    /** Returns the processor time that a process has used, in seconds. */
    private static double processorSeconds(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / 100.0;
    }

    /** Adds the processor time by kind of thread, in nanoseconds. Threads that have ended are not included. */
    private static void addThreadTimes(long pid, Map<String, Long> totals) throws IOException {
        try (var all = Files.list(Path.of("/proc/" + pid + "/task"))) {
            for (Path task : all.toList()) {
                try {
                    String kind = Files.readString(task.resolve("comm")).strip().replaceAll("[-#0-9]+$", "");
                    totals.merge(kind, Long.parseLong(Files.readString(task.resolve("schedstat")).split(" ")[0]),
                            Long::sum);
                } catch (IOException e) {
                    // the thread has ended
                }
            }
        }
    }
}
