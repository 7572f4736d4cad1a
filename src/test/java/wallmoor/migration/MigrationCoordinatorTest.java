package wallmoor.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import wallmoor.placement.BlockReplicas;
import wallmoor.placement.FailureDomain;
import wallmoor.placement.PlacementProblem;
import wallmoor.placement.StorageNode;

/**
 * Guards against migrations that lose a replica, run a part twice or never end after a fault. Simulates small placement
 * problems with one or two faults at given steps, or random faults, and checks them by {@link MigrationInvariants}.
 */
class MigrationCoordinatorTest {
    /** A fault or an event that is injected at one step. Every run also opens non-idempotent parts. */
    enum Fault {
        LOSE_REQUESTS((w, r) -> w.loseRequestsUntil = w.now + 50_000),
        LOSE_RESPONSES((w, r) -> w.loseResponsesUntil = w.now + 50_000),
        DUPLICATE_REQUEST((w, r) -> w.duplicateNextRequest = true),
        DELAY_REQUEST((w, r) -> w.delayNextRequest = true),
        CORRUPT_CHUNK((w, r) -> w.corruptNextChunk = true),
        OPEN_NON_IDEMPOTENT((w, r) -> w.problem.blocks().forEach(b -> w.openQuery(b.id(), true))),
        CRASH_LEADER((w, r) -> w.crashLeader()),
        PAUSE_LEADER((w, r) -> w.pauseLeader(400_000)),
        CRASH_SOURCE((w, r) -> w.stopNode(w.problem.nodes().get(0).id(), 300_000)),
        CRASH_TARGET((w, r) -> w.stopNode(w.problem.nodes().get(1).id(), 300_000)),
        CONCURRENT_VERSION((w, r) -> w.acceptConcurrentVersion()),
        PAUSE((w, r) -> w.sendCommand(MigrationCoordinator.OperatorCommand.PAUSE)),
        STOP((w, r) -> w.sendCommand(MigrationCoordinator.OperatorCommand.STOP)),
        FILL_TARGET_DISK((w, r) -> w.nodes.get(w.problem.nodes().get(1).id()).otherMb = 60),
        LONG_OUTAGE((w, r) -> w.stopNode(w.problem.nodes().get(r.nextInt(w.problem.nodes().size())).id(), 3_000_000)),
        CORRUPT_CHUNKS((w, r) -> w.corruptChunksUntil = w.now + 2_000_000),
        QUERY_LOAD((w, r) -> w.nodes.values().forEach(n -> n.load = r.nextDouble()));

        @SuppressWarnings("ImmutableEnumChecker") // a lambda without state
        final BiConsumer<MigrationSimulation, Random> injection;

        Fault(BiConsumer<MigrationSimulation, Random> injection) {
            this.injection = injection;
        }
    }

    private static final PlacementProblem ONE_MIGRATION = new PlacementProblem(100_000, FailureDomain.NODE,
            PlacementProblem.NO_LEVEL,
            List.of(new StorageNode("a", "", 100, true), new StorageNode("b", "", 100, false)),
            List.of(new BlockReplicas("x", 60, List.of("a"))));
    private static final PlacementProblem TWO_MIGRATIONS = new PlacementProblem(100_000, FailureDomain.CELL,
            PlacementProblem.NO_LEVEL,
            List.of(new StorageNode("a", "p", 100, true),
                    new StorageNode("b", "q", 100, false), new StorageNode("c", "r", 100, false)),
            List.of(new BlockReplicas("x", 40, List.of("a", "c")), new BlockReplicas("y", 50, List.of("a"))));

    /**
     * To meet the level, x must move to b and y to a. Neither node has space for the other's block, and c has space for
     * only one of them meanwhile.
     */
    private static final PlacementProblem SWAP_ON_FULL_DISKS = new PlacementProblem(0, FailureDomain.NODE, 0,
            List.of(new StorageNode("a", "", 100, false), new StorageNode("b", "", 150, false),
                    new StorageNode("c", "", 250, false)),
            List.of(new BlockReplicas("x", 60, List.of("a")), new BlockReplicas("f", 40, List.of("a")),
                    new BlockReplicas("y", 40, List.of("b")),
                    new BlockReplicas("g", 60, List.of("b")), new BlockReplicas("z", 200, List.of("c"))));

    /** Simulates to the end with faults at the given steps; returns the number of steps before recovery. */
    private static int run(PlacementProblem problem, long seed, int[] faultSteps, Fault[] faults) {
        var simulation = new MigrationSimulation(problem, seed);
        int steps = 0;
        for (; steps < 400; steps++) {
            for (int i = 0; i < faultSteps.length; i++) {
                if (faultSteps[i] == steps) {
                    faults[i].injection.accept(simulation, simulation.random);
                }
            }
            if (steps % 5 == 0) {
                problem.blocks().forEach(b -> simulation.openQuery(b.id(), simulation.random.nextInt(3) == 0));
            }
            simulation.step();
            if (simulation.leaders.get(0).coordinator.status().phase() == MigrationStatus.MigrationPhase.FINISHED
                    && faultSteps.length == 0) {
                break;
            }
            if (steps > 150 && faultSteps.length > 0) {
                break;
            }
        }
        assertTrue(simulation.recoverAndFinish(), () -> "migrations do not finish: "
                + simulation.leaders.get(0).coordinator.status());
        assertFinalState(simulation);
        return steps;
    }

    private static void assertFinalState(MigrationSimulation simulation) {
        for (StorageNode n : simulation.problem.nodes()) {
            if (n.draining()) {
                assertEquals(0, simulation.nodes.get(n.id()).diskSpace().replicasMb(), n.id());
            }
        }
        for (BlockReplicas b : simulation.problem.blocks()) {
            assertEquals(b.holders().size(), simulation.plan.owners().get(b.id()).size());
            assertEquals(simulation.plan.owners().get(b.id()),
                    new java.util.TreeSet<>(simulation.nodes.values().stream()
                            .filter(n -> n.replica(b.id()).state() == ReplicaRecord.ReplicaState.OWNER).map(n -> n.id)
                            .toList()));
        }
        if (simulation.problem.level() == 0) {
            simulation.nodes.values().forEach(n -> assertEquals(n.diskMb * 4 / 5, n.diskSpace().replicasMb(), n.id));
        }
        for (int i = 0; i < 200; i++) { // deliver the messages that are still in the network
            simulation.step();
        }
    }

    @Example
    void completesWithAnyFaultAtEverySecondStepAndARandomFaultAfterIt() {
        int steps = run(ONE_MIGRATION, 1, new int[0], new Fault[0]);
        assertTrue(steps > 20 && steps < 90, "" + steps);
        var random = new Random(7);
        for (int i = 0; i < steps; i += 2) {
            for (Fault f : Fault.values()) { // a random second fault for each: all pairs take an hour
                runWithTwoFaults(i, f, i + random.nextInt(20), Fault.values()[random.nextInt(Fault.values().length)]);
            }
        }
    }

    /**
     * Runs all pairs of faults, the second one every {@code stride} steps after the first; returns the number of runs.
     * It takes many minutes, and is meant for the profile bench.
     */
    static int allPairs(int stride) {
        int steps = run(ONE_MIGRATION, 1, new int[0], new Fault[0]);
        int runs = 0;
        for (int i = 0; i < steps; i++) {
            for (int j = i; j < steps; j += stride) {
                for (Fault f : Fault.values()) {
                    for (Fault g : Fault.values()) {
                        runWithTwoFaults(i, f, j, g);
                        runs++;
                    }
                }
            }
        }
        return runs;
    }

    private static void runWithTwoFaults(int firstStep, Fault firstFault, int secondStep, Fault secondFault) {
        try {
            run(ONE_MIGRATION, 1, new int[] {firstStep, secondStep}, new Fault[] {firstFault, secondFault});
        } catch (AssertionError e) {
            throw new AssertionError(firstFault + " at " + firstStep + ", " + secondFault + " at " + secondStep + ": "
                    + e.getMessage(), e);
        }
    }

    @Example
    void completesTwoMigrationsWithAnyFaultAtEveryThirdStep() {
        int steps = run(TWO_MIGRATIONS, 1, new int[0], new Fault[0]);
        for (int i = 0; i < steps; i += 3) {
            for (Fault f : Fault.values()) {
                run(TWO_MIGRATIONS, 1, new int[] {i}, new Fault[] {f});
            }
        }
    }

    @Example
    void limitsCopyRateAndReducesItUnderQueryLoad() {
        var limiter = new CopyRateLimiter(1_000_000);
        long bytes = 0;
        for (long now = 0; now <= 10_000_000; now += 10_000) {
            bytes += limiter.tryAcquire(now, 100_000) ? 100_000 : 0;
        }
        assertTrue(bytes > 9_500_000 && bytes <= 10_300_000, "" + bytes);
        for (long now = 10_000_000; now < 12_000_000; now += 50_000) {
            limiter.onLoad(now, 0.9);
        }
        assertEquals(1_000_000 / 64, limiter.bytesPerSecond());
        for (long now = 12_000_000; now < 19_000_000; now += 50_000) {
            limiter.onLoad(now, 0.1);
        }
        assertEquals(1_000_000, limiter.bytesPerSecond());
    }

    @Example
    void swapsTwoBlocksOnFullDisksWithAnyFault() {
        int steps = run(SWAP_ON_FULL_DISKS, 1, new int[0], new Fault[0]);
        for (int i = 0; i < steps; i += 40) {
            for (Fault f : Fault.values()) {
                run(SWAP_ON_FULL_DISKS, 1, new int[] {i}, new Fault[] {f});
            }
        }
    }

    @Property(tries = 100)
    void completesWithRandomFaults(@ForAll long seed) {
        var random = new Random(seed);
        PlacementProblem problem = random.nextInt(3) == 0 ? ONE_MIGRATION : random.nextBoolean() ? TWO_MIGRATIONS
                : randomProblem(random);
        var simulation = new MigrationSimulation(problem, seed);
        simulation.maxDelaySteps = 1 + random.nextInt(8);
        int faultInterval = 2 + random.nextInt(40);
        for (int i = 0; i < 600; i++) {
            if (random.nextInt(faultInterval) == 0) {
                Fault.values()[random.nextInt(Fault.values().length)].injection.accept(simulation, random);
            }
            if (random.nextInt(20) == 0) {
                simulation.sendCommand(MigrationCoordinator.OperatorCommand.RESUME);
                simulation.nodes.values().forEach(n -> n.otherMb = 0);
            }
            problem.blocks().forEach(b -> simulation.openQuery(b.id(), random.nextInt(4) == 0));
            simulation.step();
        }
        assertTrue(simulation.recoverAndFinish(), () -> "migrations do not finish: "
                + simulation.leaders.get(0).coordinator.status());
        assertFinalState(simulation);
        assertEveryOwnerServesReads(simulation);
    }

    /** Guards against a failure by chance: in these runs the only owner is down from the first steps to the last. */
    @Example
    void completesWhereTheOnlyOwnerIsDownThroughout() {
        completesWithRandomFaults(3491172496157747979L);
        completesWithRandomFaults(-370055865717494660L);
    }

    /** Checks that every owner of every block answers a read once all nodes run again. */
    private static void assertEveryOwnerServesReads(MigrationSimulation simulation) {
        simulation.stepUntilAllNodesRun();
        int readsBefore = simulation.invariants.readCount;
        int expectedReads = 0;
        for (BlockReplicas block : simulation.problem.blocks()) {
            expectedReads += simulation.plan.owners().get(block.id()).size();
            simulation.openQuery(block.id(), false);
        }
        simulation.runOpenQueries();
        assertEquals(expectedReads, simulation.invariants.readCount - readsBefore);
    }

    /** Returns a random problem that has a plan: some blocks are on draining nodes or share a cell. */
    private static PlacementProblem randomProblem(Random random) {
        while (true) {
            var nodes = new ArrayList<StorageNode>();
            for (int i = 0; i < 4; i++) {
                nodes.add(new StorageNode("n" + i, "c" + i % 3, 100 + random.nextInt(100), i == 0));
            }
            var blocks = new ArrayList<BlockReplicas>();
            long[] used = new long[4];
            for (int i = 0; i < 4; i++) {
                int first = random.nextInt(4);
                int second = (first + 1 + random.nextInt(3)) % 4;
                long mb = 20L + random.nextInt(40);
                if (used[first] + mb <= 90 && used[second] + mb <= 90) {
                    used[first] += mb;
                    used[second] += mb;
                    blocks.add(new BlockReplicas("b" + i, mb, List.of("n" + first, "n" + second)));
                }
            }
            if (!blocks.isEmpty()) {
                var problem = new PlacementProblem(100_000, FailureDomain.CELL, PlacementProblem.NO_LEVEL, nodes,
                        blocks);
                if (wallmoor.placement.PlacementPlanner
                        .plan(problem) instanceof wallmoor.placement.PlacementResult.Plan) {
                    return problem;
                }
            }
        }
    }
}
