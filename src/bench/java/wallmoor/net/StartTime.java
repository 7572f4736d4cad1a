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
 * What a start costs: the exact {@code run} line of {@code deploy/balancer.toml}, beside a stand-in discovery and
 * stand-in nodes, until the front says ready and until it has answered 100 queries. Each directory given is a built
 * repository of its own, and their starts are taken in turn, so that a slow minute of the machine falls on all.
 *
 * <p>Arguments: {@code [--half CPU] STARTS DIRECTORY...}. With {@code --half} each start shares that one CPU with a
 * busy process of equal priority, which leaves it half a core.
 */
public final class StartTime {
    /** First what a crowd waits for, then what a few seconds at work come to. */
    private static final int FIRST = 100;
    private static final int MORE = 1500;
    private static final int NODES = 8;
    private static final int CELLS = 4;
    private static final long MOST_SECONDS = 20;
    /** Of a figure that the kernel gives in clock ticks, milliseconds a tick. */
    private static final int TICK_MILLIS = 10;

    /** What one start came to: times in milliseconds of the wall or of the processor, memory in KiB. */
    private record Start(double ready, double readyCpu, double answers, double answersCpu, double moreCpu,
            double resident, double own) {
        static final String[] NAMES = {"ready ms", "ready cpu ms", "100 answers ms", "100 answers cpu ms",
            "1600 answers cpu ms", "resident MB", "of it its own MB"};

        double[] figures() {
            return new double[] {ready, readyCpu, answers, answersCpu, moreCpu, resident, own};
        }
    }

    private StartTime() {}

    /** Runs all and prints medians, with the quartiles beside them. */
    public static void main(String[] args) throws Exception {
        String cpu = args[0].equals("--half") ? args[1] : null;
        int first = cpu == null ? 0 : 2;
        int starts = Integer.parseInt(args[first]);
        List<Path> ways = Stream.of(args).skip(first + 1).map(Path::of).toList();
        Map<Path, List<Start>> all = new LinkedHashMap<>();
        Process busy = cpu == null ? null
                : new ProcessBuilder("taskset", "-c", cpu, "sh", "-c", "while :; do :; done").start();
        try (var bed = new Bed()) {
            for (Path way : ways) { // from here on its files are in the kernel's cache
                bed.start(way, cpu);
            }
            for (int i = 0; i < starts; i++) {
                for (Path way : ways) {
                    all.computeIfAbsent(way, w -> new ArrayList<>()).add(bed.start(way, cpu));
                }
            }
            for (Path way : ways) {
                System.out.println(way + (cpu == null ? "" : " on half of a core") + ", " + starts + " starts, "
                        + bed.classes(way));
                for (int f = 0; f < Start.NAMES.length; f++) {
                    int at = f;
                    double[] sorted = all.get(way).stream().mapToDouble(s -> s.figures()[at]).sorted().toArray();
                    System.out.printf("  %-20s %8.1f   (%.1f to %.1f, least %.1f, mean %.1f)%n", Start.NAMES[f],
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

    /** Discovery and nodes that the starts find. */
    private static final class Bed implements AutoCloseable {
        private final StandIn.Discovery discovery = new StandIn.Discovery();
        private final List<StandIn.Worker> nodes = new ArrayList<>();
        private final String members;

        Bed() throws IOException {
            var all = new StringBuilder();
            for (int i = 0; i < NODES; i++) {
                var node = new StandIn.Worker(id -> "ok");
                nodes.add(node);
                all.append(i == 0 ? "" : ",").append(node.member("n" + i, i % CELLS, "SERVING"));
            }
            members = all.toString();
            discovery.list = "{\"revision\":41,\"complete\":true,\"members\":[" + members + "]}";
        }

        private Process launch(Path way, String cpu, int port, Path file, String options) throws IOException {
            Files.writeString(file, Program.config("t", Program.SEED, port, discovery.port(), members, 1024));
            String run = Files.readAllLines(way.resolve("deploy/balancer.toml")).stream()
                    .filter(l -> l.startsWith("run =")).map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')))
                    .findFirst().orElseThrow();
            var command = new ArrayList<>(cpu == null ? List.of() : List.of("taskset", "-c", cpu));
            command.addAll(List.of("/bin/sh", "-c", run));
            var builder = new ProcessBuilder(command).directory(way.toFile()).redirectErrorStream(true);
            builder.environment().put("ROUTER_CONFIG", file.toString());
            if (options != null) {
                builder.environment().put("_JAVA_OPTIONS", options); // the only ones that come after those of the line
            }
            return builder.start();
        }

        /** One start, to the end. */
        Start start(Path way, String cpu) throws Exception {
            int port = Ports.free();
            Path file = Files.createTempFile("wallmoor", ".json");
            long from = System.nanoTime();
            Process process = launch(way, cpu, port, file, null);
            try {
                Program.read(process, new ArrayList<>());
                awaitReady(port, process);
                double ready = (System.nanoTime() - from) / 1e6;
                double readyCpu = processor(process);
                ask(port, FIRST);
                double answers = (System.nanoTime() - from) / 1e6;
                double answersCpu = processor(process);
                ask(port, MORE);
                return new Start(ready, readyCpu, answers, answersCpu, processor(process), memory(process, "VmRSS:"),
                        memory(process, "RssAnon:"));
            } finally {
                process.destroyForcibly().onExit().join();
                Files.delete(file);
            }
        }

        /** How many classes a start loads until it has answered, and how many of them from no archive. */
        String classes(Path way) throws Exception {
            int port = Ports.free();
            Path file = Files.createTempFile("wallmoor", ".json");
            Path log = Files.createTempFile("wallmoor", ".classes");
            Process process = launch(way, null, port, file, "-Xlog:class+load:file=" + log);
            try {
                Program.read(process, new ArrayList<>());
                awaitReady(port, process);
                List<String> ready = Files.readAllLines(log);
                ask(port, FIRST);
                List<String> answered = Files.readAllLines(log);
                answered.stream().filter(l -> !l.contains("source: shared objects file")).forEach(System.out::println);
                return ready.size() + " classes to ready (" + outside(ready) + " from no archive), " + answered.size()
                        + " to 100 answers (" + outside(answered) + ")";
            } finally {
                process.destroyForcibly().onExit().join();
                Files.delete(file);
                Files.delete(log);
            }
        }

        private static long outside(List<String> lines) {
            return lines.stream().filter(l -> !l.contains("source: shared objects file")).count();
        }

        private static void awaitReady(int port, Process process) throws Exception {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_SECONDS);
            while (true) {
                try {
                    if (Client.get(port, "/-/ready").status == 200) {
                        return;
                    }
                } catch (IOException e) {
                    // not yet
                }
                if (!process.isAlive() || System.nanoTime() > until) {
                    throw new IllegalStateException("did not become ready");
                }
                Thread.sleep(1);
            }
        }

        private static void ask(int port, int queries) throws IOException {
            String[] classes = {"any", "all", "once"};
            try (var client = new Client(port)) {
                for (int i = 0; i < queries; i++) {
                    String query = Client.query("s" + queries + "-" + i, classes[i % 3], 1900, 0, 1, 2, 3);
                    int status = client.send(query).answer().status;
                    if (status != 200) {
                        throw new IllegalStateException("query " + i + " was answered by " + status);
                    }
                }
            }
        }

        /** Milliseconds of the processor that it has had, threads that ended included. */
        private static double processor(Process process) throws IOException {
            String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
            String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return TICK_MILLIS * (Long.parseLong(words[11]) + Long.parseLong(words[12]));
        }

        /** A line of the process' status, in MB. */
        private static double memory(Process process, String line) throws IOException {
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
