package wallmoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import wallmoor.cli.Console;
import wallmoor.migration.MigrationPlan;
import wallmoor.migration.ReplicaRecord;
import wallmoor.migration.http.DirectoryPlanStore;
import wallmoor.migration.http.PlanDocuments;
import wallmoor.migration.http.PlanStoreException;
import wallmoor.standin.DiskNode;
import wallmoor.standin.Ports;
import wallmoor.standin.TcpRelay;

/**
 * Three nodes with disks and a migration coordinator as processes, and clients as threads of a test. Checks that no
 * block is lost or served wrongly while blocks move.
 */
final class DiskFleet implements AutoCloseable {
    /** The size of a block at scale 1. */
    private static final int BLOCK_MB = 3;
    /** The size of a node's disk at scale 1. */
    private static final int DISK_MB = 20;
    /** The part of a node's disk that blocks may fill at scale 1; the rest is headroom. */
    private static final int USABLE_MB = 18;
    private static final Map<String, List<String>> INITIAL_BLOCKS = new TreeMap<>(
            Map.of("a", List.of("x", "y", "z"), "b", List.of("w"),
                    "c", List.of("x", "v")));
    private static final long QUERY_MILLIS = 200;

    /**
     * A plan that a client follows.
     *
     * @param number the version of the plan
     * @param sure   false if the plan may be out of date, so that a node may refuse a read
     */
    record KnownPlan(long number, MigrationPlan state, boolean sure) {}

    /** Where a client gets its plan from. */
    interface PlanSource {
        /** Returns the plan, or null if there is none yet. */
        KnownPlan read(Random random) throws IOException, PlanStoreException;
    }

    /** Carries the connections among the nodes and from the coordinator to them. Clients connect to nodes directly. */
    final TcpRelay relay;
    /** The index of the coordinator at the relay. */
    static final int COORDINATOR_INDEX = 3;
    private final int scale;
    private final int bytes;
    final Path dir;
    final Path file;
    final Path plan;
    final List<String> log = Collections.synchronizedList(new ArrayList<>());
    final Map<String, Integer> ports = new TreeMap<>();
    final AtomicInteger completedReads = new AtomicInteger();
    final AtomicLong lateReads = new AtomicLong();
    private final Map<String, Process> nodes = new ConcurrentHashMap<>();
    private final List<String> faults = Collections.synchronizedList(new ArrayList<>());
    /** Parts that may run only once and whose run a node has confirmed: the part's id and the node. */
    private final Map<Long, String> confirmed = new ConcurrentHashMap<>();
    private final AtomicLong ids = new AtomicLong(1_000);
    private final HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();
    Process coordinator;
    PlanSource planSource = this::byDirectory;
    /** How long an old owner keeps its copy after a move. */
    long settleMillis = 2 * QUERY_MILLIS;
    private volatile boolean stopped;
    private final List<Thread> clients = new ArrayList<>();

    /**
     * Prepares the directories and the relay; starts nothing.
     *
     * @param scale the factor by which blocks and disks are larger than at scale 1
     */
    DiskFleet(Path dir, int scale) throws IOException {
        this.dir = dir;
        this.scale = scale;
        bytes = BLOCK_MB * scale * 1_000_000;
        plan = dir.resolve("plan-dir");
        file = dir.resolve("fleet.yaml");
        for (String id : INITIAL_BLOCKS.keySet()) {
            ports.put(id, Ports.free());
        }
        var all = new ArrayList<>(ports.values());
        all.add(Ports.free()); // the coordinator, which nobody connects to
        relay = new TcpRelay(all);
        for (String id : INITIAL_BLOCKS.keySet()) {
            var peers = new StringBuilder();
            INITIAL_BLOCKS.keySet().stream().filter(to -> !to.equals(id)).forEach(
                    to -> peers.append(to).append(' ').append(relay.address(relayIndex(id), relayIndex(to)))
                            .append('\n'));
            Files.writeString(Files.createDirectories(dir.resolve(id)).resolve("peers"), peers);
        }
    }

    /** Returns the index of a node at the relay. */
    static int relayIndex(String id) {
        return "abc".indexOf(id);
    }

    private static List<String> java(String main) {
        return List.of(ProcessHandle.current().info().command().orElse("java"), "-Xmx96m", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), main);
    }

    /**
     * Starts all nodes and waits until they answer.
     *
     * @param careless true if nodes never report that queries are slowed down, which on a busy machine they would
     */
    void startAll(boolean careless) throws Exception {
        for (String id : INITIAL_BLOCKS.keySet()) {
            if (careless) {
                Files.writeString(dir.resolve(id).resolve("careless"), "");
            }
            launch(id);
        }
        for (String id : INITIAL_BLOCKS.keySet()) {
            awaitReady(id);
        }
    }

    void start(String id) throws Exception {
        launch(id);
        awaitReady(id);
    }

    private void launch(String id) throws IOException {
        var command = new ArrayList<>(java(DiskNode.class.getName()));
        command.addAll(List.of(dir.resolve(id).toString(), "" + ports.get(id), "" + DISK_MB * scale, "200"));
        INITIAL_BLOCKS.get(id).forEach(b -> command.add(b + ":" + bytes + ":" + BLOCK_MB * scale));
        nodes.put(id, new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(dir.resolve(id + ".out").toFile()).start());
    }

    private void awaitReady(String id) throws InterruptedException {
        Program.await("node " + id + " answers", () -> {
            try {
                return get(id, "/").statusCode() == 404;
            } catch (IOException | InterruptedException e) {
                return false;
            }
        });
    }

    void kill(String id) {
        nodes.remove(id).destroyForcibly().onExit().join();
    }

    /** Writes the fleet file and starts the coordinator, with the plan in the directory {@link #plan}. */
    void startCoordinator(double mbPerSecond) throws IOException {
        writeFleetFile(mbPerSecond);
        coordinator = startCoordinator(log, "--dir", plan.toString());
    }

    /**
     * Starts a coordinator on the fleet file that was written last.
     *
     * @param lines   receives the lines of its log
     * @param options where the plan is stored, as options of the command
     */
    Process startCoordinator(List<String> lines, String... options) throws IOException {
        var command = new ArrayList<>(java("wallmoor.Main"));
        command.addAll(List.of("rebalance", "start", file.toString()));
        command.addAll(List.of(options));
        Process started = new ProcessBuilder(command).start();
        Program.read(started, lines);
        return started;
    }

    /** Writes the file that describes the nodes and blocks to the coordinator. */
    void writeFleetFile(double mbPerSecond) throws IOException {
        var text = new StringBuilder("headroom: 0.1\nspread: node\ncarry: {mb_per_s: " + mbPerSecond
                + ", chunk_kb: 100, settle: "
                + settleMillis + "ms, longest_query: " + QUERY_MILLIS + "ms, patience: 800ms, again: 100ms}\nnodes:\n");
        ports.forEach((id, port) -> text.append("- {id: ").append(id).append(", disk_mb: ").append(DISK_MB * scale)
                .append(", drain: ").append(id.equals("a"))
                .append(", address: '").append(relay.address(COORDINATOR_INDEX, relayIndex(id))).append("'}\n"));
        text.append("blocks:\n");
        for (String b : "vwxyz".split("")) {
            text.append("- {id: ").append(b).append(", mb: " + BLOCK_MB * scale + ", on: ")
                    .append(INITIAL_BLOCKS.entrySet().stream()
                            .filter(e -> e.getValue().contains(b)).map(Map.Entry::getKey).toList())
                    .append("}\n");
        }
        Files.writeString(file, text);
    }

    void sendOperatorCommand(String command) {
        assertEquals(0, Console.run("rebalance", command, "--dir", plan.toString()).code());
    }

    /** Returns the progress that the coordinator wrote last, or an empty text if there is none. */
    String status() {
        String status = new DirectoryPlanStore(plan).readProgress();
        return status == null ? "" : status;
    }

    private HttpResponse<byte[]> get(String node, String target) throws IOException, InterruptedException {
        return client.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + ports.get(node) + target))
                .timeout(Duration.ofSeconds(2)).build(), HttpResponse.BodyHandlers.ofByteArray());
    }

    /** Starts clients that read blocks and send parts that may run only once, each query by the plan at its start. */
    void startClients(int count) {
        for (int i = 0; i < count; i++) {
            var random = new Random(i);
            Thread t = new Thread(() -> {
                while (!stopped) {
                    try {
                        query(random);
                        Thread.sleep(3);
                    } catch (IOException e) {
                        // the node is not reachable, so nothing is known about its blocks
                    } catch (InterruptedException | PlanStoreException e) {
                        faults.add("client: " + e);
                    }
                }
            }, "client-" + i);
            t.setDaemon(true);
            t.start();
            clients.add(t);
        }
    }

    private KnownPlan byDirectory(Random random) throws PlanStoreException {
        var document = new DirectoryPlanStore(plan).read();
        return document == null ? null : new KnownPlan(document.version(), PlanDocuments.decode(document), true);
    }

    private void query(Random random) throws IOException, InterruptedException, PlanStoreException {
        long startedNanos = System.nanoTime();
        KnownPlan known = planSource.read(random);
        String block = "" + "vwxyz".charAt(random.nextInt(5));
        if (known == null) {
            return;
        }
        var owners = new ArrayList<>(known.state().owners().get(block));
        Collections.shuffle(owners, random);
        if (random.nextInt(4) == 0) {
            long id = ids.incrementAndGet();
            for (String node : owners) { // a refusal proves that the part did not run, so the next owner is tried
                if (get(node, "/once?block=" + block + "&version=" + known.number() + "&id=" + id)
                        .statusCode() == 200) {
                    confirmed.put(id, node);
                    return;
                }
            }
        } else {
            Thread.sleep(random.nextInt((int) QUERY_MILLIS / 2));
            for (String node : owners) {
                long from = (long) DiskNode.HEAD_BYTES
                        + random.nextInt(bytes - DiskNode.HEAD_BYTES - DiskNode.PIECE_BYTES);
                var answer = get(node, "/read?block=" + block + "&from=" + from);
                if (System.nanoTime() - startedNanos > QUERY_MILLIS * 1_000_000) {
                    lateReads.incrementAndGet(); // past its deadline the query has its answer without this read
                    return;
                }
                if (answer.statusCode() != 200 && !known.sure()) {
                    continue;
                }
                if (answer.statusCode() != 200
                        || !Arrays.equals(answer.body(), DiskNode.content(block, from, DiskNode.PIECE_BYTES))) {
                    faults.add("node " + node + " does not serve block " + block + " as plan version " + known.number()
                            + " says: status " + answer.statusCode());
                }
                completedReads.incrementAndGet();
            }
        }
    }

    /**
     * Reads once from an owner of a random block in this plan. Returns the duration in nanoseconds, or -1 if the read
     * failed.
     */
    long read(Random random, MigrationPlan current) throws IOException, InterruptedException {
        String block = "" + "vwxyz".charAt(random.nextInt(5));
        var owners = new ArrayList<>(current.owners().get(block));
        long from = (long) DiskNode.HEAD_BYTES + random.nextInt(bytes - DiskNode.HEAD_BYTES - DiskNode.PIECE_BYTES);
        long startedNanos = System.nanoTime();
        var answer = get(owners.get(random.nextInt(owners.size())), "/read?block=" + block + "&from=" + from);
        return answer.statusCode() == 200 ? System.nanoTime() - startedNanos : -1;
    }

    /**
     * Stops the clients, checks the nodes' journals and data, and starts two clients again. No part may run twice, no
     * block may have more owners or fewer copies than at the start, no disk may be filled beyond its headroom, and no
     * write may be lost.
     */
    void verifyInvariants() throws Exception {
        stopped = true;
        for (Thread t : clients) {
            t.join(5_000);
        }
        clients.clear();
        stopped = false;
        assertEquals(List.of(), List.copyOf(faults));
        assertTrue("reads: " + completedReads, completedReads.get() > 20);
        record JournalLine(long at, String node, String event, String block, String details) {}
        var lines = new ArrayList<JournalLine>();
        for (String id : INITIAL_BLOCKS.keySet()) {
            for (String l : Files.readAllLines(dir.resolve(id).resolve("journal"))) {
                String[] fields = l.split(" ", 4);
                lines.add(new JournalLine(Long.parseLong(fields[0]), id, fields[1], fields[2], fields[3]));
            }
        }
        lines.sort(java.util.Comparator.comparingLong(JournalLine::at));
        var journal = new HashMap<Long, String>();
        var owners = new HashMap<String, Set<String>>();
        var copies = new HashMap<String, Set<String>>();
        for (JournalLine line : lines) {
            if (line.event().equals("ran")) {
                String nodeBefore = journal.put(Long.parseLong(line.details()), line.node());
                assertEquals("part " + line.details() + " ran twice", null, nodeBefore);
            } else if (line.event().equals("is")) {
                String[] details = line.details().split(" ");
                var ownersNow = owners.computeIfAbsent(line.block(), b -> new HashSet<>());
                if (details[0].equals("OWNER")) {
                    ownersNow.add(line.node());
                } else {
                    ownersNow.remove(line.node());
                }
                var copiesNow = copies.computeIfAbsent(line.block(), b -> new HashSet<>());
                boolean dropped = !Set.of("OWNER", "SEALED", "FENCED").contains(details[0]);
                if (dropped && copiesNow.remove(line.node())) {
                    assertTrue(line + " leaves copies only on " + copiesNow,
                            copiesNow.size() >= INITIAL_BLOCKS.values().stream().filter(h -> h.contains(line.block()))
                                    .count());
                } else if (!dropped) {
                    copiesNow.add(line.node());
                }
                long ownersAtStart = INITIAL_BLOCKS.values().stream().filter(h -> h.contains(line.block())).count();
                assertTrue(line + ": owners " + ownersNow, ownersNow.size() <= ownersAtStart);
                assertTrue(line.toString(), !details[0].equals("FILLING")
                        || Long.parseLong(details[1]) + Long.parseLong(details[2]) <= (long) USABLE_MB * scale);
            }
        }
        confirmed.forEach((id, node) -> assertEquals("node that ran part " + id, node, journal.get(id)));
        var completeCopies = new HashMap<String, Integer>();
        var writes = new HashMap<String, Set<Long>>();
        for (String id : INITIAL_BLOCKS.keySet()) {
            for (var e : DiskNode.readReplicas(dir.resolve(id)).entrySet()) {
                if (e.getValue().state() == ReplicaRecord.ReplicaState.OWNER) {
                    completeCopies.merge(e.getKey(), 1, Integer::sum);
                    byte[] data = Files.readAllBytes(dir.resolve(id).resolve(e.getKey() + ".data"));
                    byte[] expected = DiskNode.content(e.getKey(), 0, bytes);
                    assertTrue("content of block " + e.getKey() + " on node " + id,
                            Arrays.equals(data, DiskNode.HEAD_BYTES, bytes, expected, DiskNode.HEAD_BYTES, bytes));
                    var slots = java.nio.ByteBuffer.wrap(data, 0, DiskNode.HEAD_BYTES);
                    for (int i = 0; i < DiskNode.SLOTS; i++) {
                        writes.computeIfAbsent(e.getKey(), b -> new HashSet<>()).add(slots.getLong());
                    }
                }
            }
        }
        for (String b : "vwxyz".split("")) {
            assertEquals("copies of block " + b, INITIAL_BLOCKS.values().stream().filter(h -> h.contains(b)).count(),
                    (long) completeCopies.getOrDefault(b, 0));
        }
        // for blocks with one copy, the last part that ran in each slot must still be stored
        var last = new HashMap<String, Long>();
        lines.stream().filter(l -> l.event().equals("ran") && !l.block().equals("x"))
                .forEach(l -> last.put(l.block() + " " + Long.parseLong(l.details()) % DiskNode.SLOTS,
                        Long.parseLong(l.details())));
        last.forEach((slot, id) -> assertTrue("block and slot " + slot + " lost part " + id,
                writes.get(slot.split(" ")[0]).contains(id)));
        startClients(2);
    }

    @Override
    public void close() {
        stopped = true;
        if (coordinator != null) {
            coordinator.destroyForcibly().onExit().join();
        }
        nodes.values().forEach(p -> p.destroyForcibly().onExit().join());
        try {
            relay.close();
        } catch (IOException e) {
            log.add("cannot close the relay: " + e);
        }
    }
}
