package wallmoor.simulation;

import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Injects faults drawn from a seed, as Jepsen's nemesis: network partitions of some nodes from the others, one way or
 * both, message loss, pauses, crashes with restarts, elections, and clocks at the ends of their bounds. It knows
 * nothing of what it strikes, so that protocols compared in one run meet the same faults. Times are microseconds.
 */
public final class FaultInjector {
    private static final long SECOND = 1_000_000;
    /** Twice what any process waits for. */
    private static final long MAX_PAUSE = 12 * SECOND;
    private static final long MAX_LOSSY_DELAY = SECOND;
    private static final double LOSS_RATE = 0.4;
    private static final int FAULT_KINDS = 9;
    /** One in so many nodes is cut off in one direction. */
    private static final int ONE_WAY_SIDES = 4;

    private final SimulatedCluster cluster;
    private final int voters;
    private final int nodes;
    private final RandomGenerator random;
    private final IntConsumer startNode;
    private final IntConsumer electVoter;

    /**
     * Creates an injector; half of its faults strike one of the voters.
     *
     * @param voters     the first so many nodes
     * @param nodes      all nodes
     * @param startNode  starts a node again
     * @param electVoter has a voter stand for election
     */
    public FaultInjector(SimulatedCluster cluster, int voters, int nodes, long seed, IntConsumer startNode,
            IntConsumer electVoter) {
        this.cluster = cluster;
        this.voters = voters;
        this.nodes = nodes;
        this.startNode = startNode;
        this.electVoter = electVoter;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    /** Sets each clock too fast or too slow by the whole of the drift, or right, and starts it anywhere. */
    public void skewClocks(double drift) {
        for (int node = 0; node < nodes; node++) {
            cluster.setClock(node, 1 + drift * (random.nextInt(3) - 1), random.nextLong(1L << 40));
        }
    }

    /** Injects one fault, which may last while others begin; two of the kinds heal instead. */
    public void injectFault() {
        int node = random.nextBoolean() ? random.nextInt(voters) : random.nextInt(nodes);
        switch (random.nextInt(FAULT_KINDS)) {
            case 0 -> cluster.setLink(GroupSimulation.RELIABLE);
            case 1 -> partition(random.nextInt(), 2 + random.nextInt(2));
            case 2 -> partitionOneWay(random.nextInt());
            case 3 -> cluster.setLink((from, to, now, r) -> r.nextDouble() < LOSS_RATE ? -1
                    : 1 + r.nextLong(MAX_LOSSY_DELAY));
            case 4, 5 -> cluster.pause(node, random.nextLong(MAX_PAUSE));
            case 6 -> crash(node);
            case 7 -> restartAll();
            default -> electVoter.accept(random.nextInt(voters));
        }
    }

    private void partition(int salt, int sides) {
        cluster.setLink((from, to, now, r) -> side(from, salt, sides) != side(to, salt, sides) ? -1
                : GroupSimulation.RELIABLE.delay(from, to, now, r));
    }

    private void partitionOneWay(int salt) {
        cluster.setLink((from, to, now, r) -> side(from, salt, ONE_WAY_SIDES) == 0
                && side(to, salt, ONE_WAY_SIDES) != 0 ? -1 : GroupSimulation.RELIABLE.delay(from, to, now, r));
    }

    private void crash(int node) {
        cluster.kill(node);
        if (random.nextBoolean()) {
            startNode.accept(node);
        }
    }

    private void restartAll() {
        for (int node = 0; node < nodes; node++) {
            if (!cluster.isUp(node)) {
                startNode.accept(node);
            }
        }
    }

    /** Returns the time until the next fault. */
    public long nextFaultDelay() {
        return random.nextLong(random.nextBoolean() ? SECOND : 6 * SECOND);
    }

    /** Returns on which side of a partition a node is: a hash of it, so that the sides differ from fault to fault. */
    private static int side(int node, int salt, int sides) {
        return Math.floorMod(((node * 0x9E3779B9 ^ salt) * 0x85EBCA6B) >>> 8, sides);
    }
}
