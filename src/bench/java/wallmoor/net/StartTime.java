package wallmoor.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import wallmoor.standin.Ports;

/**
 * Measures the cost of a start: runs the exact {@code run} line of {@code deploy/balancer.toml} against a stand-in
 * discovery and stand-in nodes, until the front reports ready and until it has answered 100 queries. Each given
 * directory is a built repository; their starts alternate, so that a slow period of the machine affects all of them.
 *
 * <p>Arguments: {@code [--half CPU] STARTS DIRECTORY...}. With {@code --half} each start shares that one CPU with a
 * busy process of equal priority, which leaves it half a core.
 */
public final class StartTime {
    /** The number of queries that a burst of clients waits for right after the start. */
    private static final int FIRST_QUERIES = 100;
    /** The number of further queries, about a few seconds of work. */
    private static final int FURTHER_QUERIES = 1500;
    private static final int NODES = 8;
    private static final int CELLS = 4;
    private static final long MAX_WAIT_SECONDS = 20;
    /** The length of a clock tick of the kernel in milliseconds. */
    private static final int CLOCK_TICK_MILLIS = 10;

    /** The figures of one start: times in milliseconds of wall clock or processor time, memory in MB. */
    private record Start(double ready, double readyCpu, double answers, double answersCpu, double moreCpu,
            double resident, double anonymous) {
        static final String[] NAMES = {"ready ms", "ready cpu ms", "100 answers ms", "100 answers cpu ms",
            "1600 answers cpu ms", "resident MB", "of it its own MB"};

        double[] values() {
            return new double[] {ready, readyCpu, answers, answersCpu, moreCpu, resident, anonymous};
        }
    }

    private StartTime() {}

    /** Runs all starts and prints the medians with the quartiles. */
    public static void main(String[] args) throws Exception {
        String cpuNumber = args[0].equals("--half") ? args[1] : null;
        int first = cpuNumber == null ? 0 : 2;
        int starts = Integer.parseInt(args[first]);
        List<Path> repositories = Stream.of(args).skip(first + 1).map(Path::of).toList();
        Map<Path, List<Start>> all = new LinkedHashMap<>();
        Process busy = cpuNumber == null ? null
                : new ProcessBuilder("taskset", "-c", cpuNumber, "sh", "-c", "while :; do :; done").start();
        try (var testBed = new TestBed()) {
            for (Path repository : repositories) { // puts its files into the kernel's cache
                testBed.start(repository, cpuNumber);
            }
            for (int i = 0; i < starts; i++) {
                for (Path repository : repositories) {
                    all.computeIfAbsent(repository, w -> new ArrayList<>()).add(testBed.start(repository, cpuNumber));
                }
            }
            for (Path repository : repositories) {
                System.out.println(repository + (cpuNumber == null ? "" : " on half of a core") + ", " + starts
                        + " starts, "
                        + testBed.classes(repository));
                for (int figure = 0; figure < Start.NAMES.length; figure++) {
                    int index = figure;
                    double[] sorted = all.get(repository).stream().mapToDouble(start -> start.values()[index]).sorted()
                            .toArray();
                    System.out.printf("  %-20s %8.1f   (%.1f to %.1f, least %.1f, mean %.1f)%n", Start.NAMES[figure],
                            sorted[starts / 2], sorted[starts / 4], sorted[starts * 3 / 4], sorted[0],
                            Arrays.stream(sorted).average().orElse(0));
                }
            }
        } finally {
            if (busy != null) {
                busy.destroyForcibly();
            }
        }
    }

    /** The stand-in discovery and nodes that every start connects to. */
    private static final class TestBed implements AutoCloseable {
        private final StandIn.Discovery discovery = new StandIn.Discovery();
        private final List<StandIn.Worker> nodes = new ArrayList<>();
        private final String members;

        TestBed() throws IOException {
            var all = new StringBuilder();
            for (int i = 0; i < NODES; i++) {
                var node = new StandIn.Worker(id -> "ok");
                nodes.add(node);
                all.append(i == 0 ? "" : ",").append(node.member("n" + i, i % CELLS, "SERVING"));
            }
            members = all.toString();
            discovery.list = "{\"revision\":41,\"complete\":true,\"members\":[" + members + "]}";
        }

        private Process launch(Path repository, String cpuNumber, int port, Path configFile, String options)
                throws IOException {
            Files.writeString(configFile, Program.config("t", Program.SEED, port, discovery.port(), members, 1024));
            String run = Files.readAllLines(repository.resolve("deploy/balancer.toml")).stream()
                    .filter(l -> l.startsWith("run =")).map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')))
                    .findFirst().orElseThrow();
            var command = new ArrayList<>(cpuNumber == null ? List.of() : List.of("taskset", "-c", cpuNumber));
            command.addAll(List.of("/bin/sh", "-c", run));
            var builder = new ProcessBuilder(command).directory(repository.toFile()).redirectErrorStream(true);
            builder.environment().put("ROUTER_CONFIG", configFile.toString());
            if (options != null) {
                // the only options that come after those of the run line
                builder.environment().put("_JAVA_OPTIONS", options);
            }
            return builder.start();
        }

        /** Starts the program once, measures it and ends it. */
        Start start(Path repository, String cpuNumber) throws Exception {
            int port = Ports.free();
            Path configFile = Files.createTempFile("wallmoor", ".json");
            long startNanos = System.nanoTime();
            Process process = launch(repository, cpuNumber, port, configFile, null);
            try {
                Program.read(process, new ArrayList<>());
                awaitReady(port, process);
                double ready = (System.nanoTime() - startNanos) / 1e6;
                double readyCpu = processorMillis(process);
                sendQueries(port, FIRST_QUERIES);
                double answers = (System.nanoTime() - startNanos) / 1e6;
                double answersCpu = processorMillis(process);
                sendQueries(port, FURTHER_QUERIES);
                return new Start(ready, readyCpu, answers, answersCpu, processorMillis(process),
                        statusMegabytes(process, "VmRSS:"),
                        statusMegabytes(process, "RssAnon:"));
            } finally {
                process.destroyForcibly().onExit().join();
                Files.delete(configFile);
            }
        }

        /**
         * Describes how many classes a start loads until it is ready and until it has answered 100 queries, and how
         * many of them are in no class-data archive.
         */
        String classes(Path repository) throws Exception {
            int port = Ports.free();
            Path configFile = Files.createTempFile("wallmoor", ".json");
            Path log = Files.createTempFile("wallmoor", ".classes");
            Process process = launch(repository, null, port, configFile, "-Xlog:class+load:file=" + log);
            try {
                Program.read(process, new ArrayList<>());
                awaitReady(port, process);
                List<String> ready = Files.readAllLines(log);
                sendQueries(port, FIRST_QUERIES);
                List<String> answered = Files.readAllLines(log);
                answered.stream().filter(l -> !l.contains("source: shared objects file")).forEach(System.out::println);
                return ready.size() + " classes to ready (" + countUnarchived(ready) + " from no archive), "
                        + answered.size()
                        + " to 100 answers (" + countUnarchived(answered) + ")";
            } finally {
                process.destroyForcibly().onExit().join();
                Files.delete(configFile);
                Files.delete(log);
            }
        }

        private static long countUnarchived(List<String> lines) {
            return lines.stream().filter(l -> !l.contains("source: shared objects file")).count();
        }

        private static void awaitReady(int port, Process process) throws Exception {
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_SECONDS);
            while (true) {
                try {
                    if (Client.get(port, "/-/ready").status == 200) {
                        return;
                    }
                } catch (IOException e) {
                    // not listening yet
                }
                if (!process.isAlive() || System.nanoTime() > deadlineNanos) {
                    throw new IllegalStateException(process.isAlive() ? "process not ready after " + MAX_WAIT_SECONDS
                            + " s"
                            : "process ended before it was ready");
                }
                Thread.sleep(1);
            }
        }

        private static void sendQueries(int port, int queries) throws IOException {
            String[] classes = {"any", "all", "once"};
            try (var client = new Client(port)) {
                for (int i = 0; i < queries; i++) {
                    String query = Client.query("s" + queries + "-" + i, classes[i % 3], 1900, 0, 1, 2, 3);
                    int status = client.send(query).answer().status;
                    if (status != 200) {
                        throw new IllegalStateException("query " + i + ": HTTP status " + status + ", expected 200");
                    }
                }
            }
        }

        /** Returns the processor time of the process in milliseconds, including threads that have ended. */
        private static double processorMillis(Process process) throws IOException {
            String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return CLOCK_TICK_MILLIS * (Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
        }

        /** Returns the figure of a line of the process status in MB. */
        private static double statusMegabytes(Process process, String line) throws IOException {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(l -> l.startsWith(line))
                    .mapToDouble(l -> Double.parseDouble(l.replaceAll("[^0-9]", "")) / 1024).sum();
        }

        @Override
        public void close() throws IOException {
            discovery.close();
            for (StandIn.Worker node : nodes) {
                node.close();
            }
        }
    }
}
