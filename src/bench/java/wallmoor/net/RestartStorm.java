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
 * Two gatherers by the deploy file's {@code run}, each on half of a core (one core that it shares with a busy process),
 * restarted in turn by SIGTERM and SIGKILL, under queries of four parts and silent clients that connect again the
 * moment they are closed. A line a second for each: its processor time by thread; and what became of the queries.
 * Arguments: silent clients, queries a second, second of the first SIGTERM (0: none), seconds; the repository's root,
 * if not here.
 */
public final class RestartStorm {
    private static final int NODES = 12;
    private static final int GATHERERS = 2;
    private static final long AIM_MILLIS = 1_000;
    /** From SIGTERM to SIGKILL, and from one restart to the next. */
    private static final long LEAVING_MILLIS = 1_850;
    private static final long APART_MILLIS = 3_000;

    private final LongAdder asked = new LongAdder();
    private final LongAdder inTime = new LongAdder();
    private final LongAdder late = new LongAdder();
    private final LongAdder refused = new LongAdder();
    private final LongAdder broken = new LongAdder();
    private final LongAdder reconnects = new LongAdder();
    private final AtomicInteger numbers = new AtomicInteger();
    private final List<Gatherer> gatherers = new ArrayList<>();

    private RestartStorm() {}

    /** One of them, over its restarts. */
    private final class Gatherer implements AutoCloseable {
        final int place;
        final int port = Ports.free();
        final Path config = Files.createTempFile("storm", ".json");
        final ConcurrentLinkedDeque<Client> kept = new ConcurrentLinkedDeque<>();
        final Process busy;
        final String command;
        final Path root;
        final Map<String, Long> threads = new TreeMap<>();
        volatile Process process;
        volatile boolean up;
        double cpu;

        Gatherer(int place, int discovery, String members, Path root) throws IOException {
            this.place = place;
            this.root = root;
            Files.writeString(config, Program.config("g" + place, Program.SEED + place, port, discovery, members, 384)
                    .replace("\"sockets\":384", "\"sockets\":384,\"memory_mb\":144")
                    .replace("\"Instances\":1,\"Position\":0", "\"Instances\":2,\"Position\":" + place));
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(l -> l.startsWith("run"))
                    .findFirst().orElseThrow();
            command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
            busy = new ProcessBuilder("taskset", "-c", core(), "sh", "-c", "while :; do :; done").start();
        }

        private String core() {
            return "" + (Runtime.getRuntime().availableProcessors() - 1 - place);
        }

        void start() throws Exception {
            var builder = new ProcessBuilder("taskset", "-c", core(), "sh", "-c", command).directory(root.toFile());
            builder.environment().put("ROUTER_CONFIG", config.toString());
            long begun = System.nanoTime();
            process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
            cpu = 0;
            threads.clear();
            while (!ready()) {
                Thread.sleep(10);
            }
            up = true;
            System.out.printf("g%d ready after %d ms, %.2f s of processor%n", place,
                    (System.nanoTime() - begun) / 1_000_000,
                    cpu(process.pid()));
        }

        void restart() throws Exception {
            up = false;
            Program.signal(process, "TERM");
            Thread.sleep(LEAVING_MILLIS);
            process.destroyForcibly().onExit().join();
            kept.clear();
            start();
        }

        private boolean ready() {
            try {
                return Client.get(port, "/-/ready").status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        String second() throws IOException {
            long pid = process.pid();
            double now = cpu(pid);
            var was = Map.copyOf(threads);
            threads.clear();
            threads(pid, threads);
            var top = new ArrayList<String>();
            threads.entrySet().stream().map(e -> Map.entry(e.getKey(), e.getValue() - was.getOrDefault(e.getKey(), 0L)))
                    .sorted((a, b) -> Long.compare(b.getValue(), a.getValue())).limit(8)
                    .forEach(e -> top.add(e.getKey() + "=" + e.getValue() / 1_000_000));
            String line = String.format("   g%d cpu %.2f %s", place, now - cpu, top);
            cpu = now;
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

    /** Runs it. */
    public static void main(String[] args) throws Exception {
        new RestartStorm().play(Integer.parseInt(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]),
                Integer.parseInt(args[3]), Path.of(args.length > 4 ? args[4] : "."));
        System.exit(0);
    }

    private void play(int silent, int rate, int restartAt, int seconds, Path root) throws Exception {
        var members = new ArrayList<String>();
        for (int i = 0; i < NODES; i++) {
            members.add(new StandIn.Worker(id -> "ok").member("n" + i, i % 2, "SERVING"));
        }
        try (var discovery = new StandIn.Discovery()) {
            for (int i = 0; i < GATHERERS; i++) {
                gatherers.add(new Gatherer(i, discovery.port(), String.join(",", members), root));
            }
            for (Gatherer g : gatherers) {
                daemon("start", () -> started(g));
            }
            while (!gatherers.stream().allMatch(g -> g.up)) {
                Thread.sleep(10);
            }
            for (int i = 0; i < silent; i++) {
                daemon("silent", this::silent);
            }
            if (restartAt > 0) {
                daemon("restarts", () -> restarts(restartAt * 1000L));
            }
            load(rate, seconds);
        } finally {
            gatherers.forEach(Gatherer::close);
        }
    }

    private static void started(Gatherer g) {
        try {
            g.start();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void restarts(long after) {
        try {
            Thread.sleep(after);
            for (Gatherer g : gatherers) {
                long begun = System.nanoTime();
                g.restart();
                Thread.sleep(Math.max(0, APART_MILLIS - (System.nanoTime() - begun) / 1_000_000));
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static void daemon(String name, Runnable work) {
        var thread = new Thread(null, work, name, 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** Connects, says nothing, and connects again once it is closed. */
    private void silent() {
        while (true) {
            Gatherer g = any();
            try (var socket = new Socket("127.0.0.1", g.port)) {
                socket.getInputStream().read();
            } catch (IOException e) {
                // closed by a reset, or not let in
            }
            reconnects.increment();
            try {
                Thread.sleep(5); // a refused connect must not spin
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private Gatherer any() {
        Gatherer g = gatherers.get(ThreadLocalRandom.current().nextInt(GATHERERS));
        return g.up ? g : gatherers.get(GATHERERS - 1 - g.place);
    }

    private void load(int rate, int seconds) throws Exception {
        ScheduledExecutorService clock = Executors.newScheduledThreadPool(2);
        var clients = Executors.newFixedThreadPool(800);
        for (int s = 0; s < seconds; s++) {
            for (int i = 0; i < rate; i++) {
                clock.schedule(() -> clients.execute(this::ask), 1_000_000L * i / rate, TimeUnit.MICROSECONDS);
            }
            Thread.sleep(1_000);
            System.out.printf("%2d s asked %d in time %d late %d refused %d broken %d; connects of silent %d%n", s,
                    asked.sumThenReset(), inTime.sumThenReset(), late.sumThenReset(), refused.sumThenReset(),
                    broken.sumThenReset(), reconnects.sumThenReset());
            for (Gatherer g : gatherers) {
                try {
                    System.out.println(g.second());
                } catch (IOException e) {
                    System.out.println("   g" + g.place + " is away");
                }
            }
        }
    }

    private void ask() {
        String id = "s" + numbers.incrementAndGet();
        long begun = System.nanoTime();
        asked.increment();
        Gatherer g = any();
        Client client = g.kept.pollLast();
        try {
            if (client == null) {
                client = new Client(g.port);
                client.socket.setSoTimeout(2_500);
            }
            var answer = client.send(Client.query(id, "all", 1900, 0, 1, 2, 3)).answer();
            long millis = (System.nanoTime() - begun) / 1_000_000;
            (answer.status != 200 ? refused : millis <= AIM_MILLIS ? inTime : late).increment();
            if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                client.close();
            } else {
                g.kept.add(client);
            }
        } catch (IOException e) {
            broken.increment();
        }
    }

    /** Processor seconds of a process so far. */
    private static double cpu(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] after = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(after[11]) + Long.parseLong(after[12])) / 100.0;
    }

    /** Processor nanoseconds by kind of thread; of threads that have ended nothing is known. */
    private static void threads(long pid, Map<String, Long> to) throws IOException {
        try (var all = Files.list(Path.of("/proc/" + pid + "/task"))) {
            for (Path task : all.toList()) {
                try {
                    String kind = Files.readString(task.resolve("comm")).strip().replaceAll("[-#0-9]+$", "");
                    to.merge(kind, Long.parseLong(Files.readString(task.resolve("schedstat")).split(" ")[0]),
                            Long::sum);
                } catch (IOException e) {
                    // it has ended
                }
            }
        }
    }
}
