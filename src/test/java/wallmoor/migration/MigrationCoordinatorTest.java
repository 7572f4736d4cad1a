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

/** Small cases with each one or two faults at every step, and faults by seed, before a judge that knows the truth. */
class MigrationCoordinatorTest {
    /** What can go wrong in a step. A part that may not repeat is asked for in every run. */
    enum Fault {
        LOSE_REQUESTS((w, r) -> w.loseRequestsUntil = w.now + 50_000),
        LOSE_ANSWERS((w, r) -> w.loseAnswersUntil = w.now + 50_000),
        REPEAT((w, r) -> w.repeatNext = true),
        LATE((w, r) -> w.lateNext = true),
        FLIP((w, r) -> w.flipNext = true),
        WRITE((w, r) -> w.fleet.blocks().forEach(b -> w.open(b.id(), true))),
        CRASH_LEADER((w, r) -> w.crash()),
        PAUSE_LEADER((w, r) -> w.pauseLeader(400_000)),
        CRASH_SOURCE((w, r) -> w.down(w.fleet.nodes().get(0).id(), 300_000)),
        CRASH_TARGET((w, r) -> w.down(w.fleet.nodes().get(1).id(), 300_000)),
        RIVAL((w, r) -> w.rival()),
        PAUSE((w, r) -> w.wish(MigrationCoordinator.OperatorCommand.PAUSE)),
        STOP((w, r) -> w.wish(MigrationCoordinator.OperatorCommand.STOP)),
        FILL((w, r) -> w.nodes.get(w.fleet.nodes().get(1).id()).otherMb = 60),
        LONG_AWAY((w, r) -> w.down(w.fleet.nodes().get(r.nextInt(w.fleet.nodes().size())).id(), 3_000_000)),
        SPOILS((w, r) -> w.spoilsUntil = w.now + 2_000_000),
        LOAD((w, r) -> w.nodes.values().forEach(n -> n.load = r.nextDouble()));

        @SuppressWarnings("ImmutableEnumChecker") // a lambda without state
        final BiConsumer<MigrationSimulation, Random> does;

        Fault(BiConsumer<MigrationSimulation, Random> does) {
            this.does = does;
        }
    }

    private static final PlacementProblem ONE = new PlacementProblem(100_000, FailureDomain.NODE,
            PlacementProblem.NO_LEVEL,
            List.of(new StorageNode("a", "", 100, true), new StorageNode("b", "", 100, false)),
            List.of(new BlockReplicas("x", 60, List.of("a"))));
    private static final PlacementProblem TWO = new PlacementProblem(100_000, FailureDomain.CELL,
            PlacementProblem.NO_LEVEL,
            List.of(new StorageNode("a", "p", 100, true),
                    new StorageNode("b", "q", 100, false), new StorageNode("c", "r", 100, false)),
            List.of(new BlockReplicas("x", 40, List.of("a", "c")), new BlockReplicas("y", 50, List.of("a"))));

    /**
     * x must come to b and y to a, for the level; neither has room for the other's, and c for one alone, for a while.
     */
    private static final PlacementProblem SWAP = new PlacementProblem(0, FailureDomain.NODE, 0,
            List.of(new StorageNode("a", "", 100, false), new StorageNode("b", "", 150, false),
                    new StorageNode("c", "", 250, false)),
            List.of(new BlockReplicas("x", 60, List.of("a")), new BlockReplicas("f", 40, List.of("a")),
                    new BlockReplicas("y", 40, List.of("b")),
                    new BlockReplicas("g", 60, List.of("b")), new BlockReplicas("z", 200, List.of("c"))));

    /** Runs with faults at given steps, to the end; returns how many steps it took. */
    private static int run(PlacementProblem fleet, long seed, int[] at, Fault[] faults) {
        var world = new MigrationSimulation(fleet, seed);
        int steps = 0;
        for (; steps < 400; steps++) {
            for (int i = 0; i < at.length; i++) {
                if (at[i] == steps) {
                    faults[i].does.accept(world, world.random);
                }
            }
            if (steps % 5 == 0) {
                fleet.blocks().forEach(b -> world.open(b.id(), world.random.nextInt(3) == 0));
            }
            world.step();
            if (world.leaders.get(0).mover.status().phase() == MigrationStatus.MigrationPhase.FINISHED
                    && at.length == 0) {
                break;
            }
            if (steps > 150 && at.length > 0) {
                break;
            }
        }
        assertTrue(world.ends(), () -> "does not end: " + world.leaders.get(0).mover.status());
        ended(world);
        return steps;
    }

    private static void ended(MigrationSimulation world) {
        for (StorageNode n : world.fleet.nodes()) {
            if (n.draining()) {
                assertEquals(0, world.nodes.get(n.id()).room().replicasMb(), n.id());
            }
        }
        for (BlockReplicas b : world.fleet.blocks()) {
            assertEquals(b.holders().size(), world.state.owners().get(b.id()).size());
            assertEquals(world.state.owners().get(b.id()), new java.util.TreeSet<>(world.nodes.values().stream()
                    .filter(n -> n.of(b.id()).state() == ReplicaRecord.ReplicaState.OWNER).map(n -> n.id).toList()));
        }
        if (world.fleet.level() == 0) {
            world.nodes.values().forEach(n -> assertEquals(n.diskMb * 4 / 5, n.room().replicasMb(), n.id));
        }
        for (int i = 0; i < 200; i++) { // what is still on its way comes
            world.step();
        }
    }

    @Example
    void everyFaultAtEveryStepAndAnotherAfterIt() {
        int steps = run(ONE, 1, new int[0], new Fault[0]);
        assertTrue(steps > 20 && steps < 90, "" + steps);
        var random = new Random(7);
        for (int i = 0; i < steps; i += 2) {
            for (Fault f : Fault.values()) { // some second one after each: all pairs take an hour
                two(i, f, i + random.nextInt(20), Fault.values()[random.nextInt(Fault.values().length)]);
            }
        }
    }

    /** All pairs of faults at all pairs of steps so far apart; many minutes: for the profile bench. */
    static int allPairs(int stride) {
        int steps = run(ONE, 1, new int[0], new Fault[0]);
        int runs = 0;
        for (int i = 0; i < steps; i++) {
            for (int j = i; j < steps; j += stride) {
                for (Fault f : Fault.values()) {
                    for (Fault g : Fault.values()) {
                        two(i, f, j, g);
                        runs++;
                    }
                }
            }
        }
        return runs;
    }

    private static void two(int i, Fault f, int j, Fault g) {
        try {
            run(ONE, 1, new int[] {i, j}, new Fault[] {f, g});
        } catch (AssertionError e) {
            throw new AssertionError(f + " at " + i + ", " + g + " at " + j + ": " + e.getMessage(), e);
        }
    }

    @Example
    void everyFaultAtEveryThirdStepOfTwoMoves() {
        int steps = run(TWO, 1, new int[0], new Fault[0]);
        for (int i = 0; i < steps; i += 3) {
            for (Fault f : Fault.values()) {
                run(TWO, 1, new int[] {i}, new Fault[] {f});
            }
        }
    }

    @Example
    void copyingKeepsItsBoundAndGivesWayToQueries() {
        var pace = new CopyRateLimiter(1_000_000);
        long bytes = 0;
        for (long now = 0; now <= 10_000_000; now += 10_000) {
            bytes += pace.tryAcquire(now, 100_000) ? 100_000 : 0;
        }
        assertTrue(bytes > 9_500_000 && bytes <= 10_300_000, "" + bytes);
        for (long now = 10_000_000; now < 12_000_000; now += 50_000) {
            pace.onLoad(now, 0.9);
        }
        assertEquals(1_000_000 / 64, pace.bytesPerSecond());
        for (long now = 12_000_000; now < 19_000_000; now += 50_000) {
            pace.onLoad(now, 0.1);
        }
        assertEquals(1_000_000, pace.bytesPerSecond());
    }

    @Example
    void twoBlocksSwapOnFullDisks() {
        int steps = run(SWAP, 1, new int[0], new Fault[0]);
        for (int i = 0; i < steps; i += 40) {
            for (Fault f : Fault.values()) {
                run(SWAP, 1, new int[] {i}, new Fault[] {f});
            }
        }
    }

    @Property(tries = 100)
    void faultsBySeed(@ForAll long seed) {
        var random = new Random(seed);
        PlacementProblem fleet = random.nextInt(3) == 0 ? ONE : random.nextBoolean() ? TWO : drawn(random);
        var world = new MigrationSimulation(fleet, seed);
        world.jitter = 1 + random.nextInt(8);
        int every = 2 + random.nextInt(40);
        for (int i = 0; i < 600; i++) {
            if (random.nextInt(every) == 0) {
                Fault.values()[random.nextInt(Fault.values().length)].does.accept(world, random);
            }
            if (random.nextInt(20) == 0) {
                world.wish(MigrationCoordinator.OperatorCommand.RESUME);
                world.nodes.values().forEach(n -> n.otherMb = 0);
            }
            fleet.blocks().forEach(b -> world.open(b.id(), random.nextInt(4) == 0));
            world.step();
        }
        assertTrue(world.ends(), () -> "does not end: " + world.leaders.get(0).mover.status());
        ended(world);
        assertTrue(world.judge.reads > 0);
    }

    /** A fleet that has a plan: some blocks on nodes that are drained or stand together. */
    private static PlacementProblem drawn(Random random) {
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
                var fleet = new PlacementProblem(100_000, FailureDomain.CELL, PlacementProblem.NO_LEVEL, nodes, blocks);
                if (wallmoor.placement.PlacementPlanner
                        .plan(fleet) instanceof wallmoor.placement.PlacementResult.Plan) {
                    return fleet;
                }
            }
        }
    }
}
