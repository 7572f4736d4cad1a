package wallmoor.simulation;

import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Injects random faults from a seed, as Jepsen's nemesis does: partitions of the network in one or both directions,
 * message loss, pauses, crashes with restarts, elections, and clocks at the limits of their drift. It does not depend
 * on the protocol under test, so that protocols compared in one run meet the same faults. Times are microseconds.
 */
public final class FaultInjector {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Twice the longest timeout of a process. */
    private static final long MAX_PAUSE_MICROS = 12 * MICROS_PER_SECOND;
    private static final long MAX_LOSSY_DELAY_MICROS = MICROS_PER_SECOND;
    private static final double LOSS_RATE = 0.4;
    private static final int FAULT_KINDS = 9;
    /** On average one of this many nodes is cut off in one direction. */
    private static final int ONE_WAY_SIDE_COUNT = 4;

    private final SimulatedCluster cluster;
    private final int voterCount;
    private final int nodeCount;
    private final RandomGenerator random;
    private final IntConsumer startNode;
    private final IntConsumer electVoter;

    /**
     * Creates an injector. Half of the faults that affect one node choose it among the voters.
     *
     * @param voterCount the number of voters, which are the first nodes
     * @param nodeCount  the number of all nodes
     * @param startNode  restarts a node
     * @param electVoter makes a voter stand for election
     */
    public FaultInjector(SimulatedCluster cluster, int voterCount, int nodeCount, long seed, IntConsumer startNode,
            IntConsumer electVoter) {
        this.cluster = cluster;
        this.voterCount = voterCount;
        this.nodeCount = nodeCount;
        this.startNode = startNode;
        this.electVoter = electVoter;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    /** Sets each clock to a random offset and makes it fast by the drift, slow by the drift, or exact. */
    public void skewClocks(double drift) {
        for (int node = 0; node < nodeCount; node++) {
            cluster.setClock(node, 1 + drift * (random.nextInt(3) - 1), random.nextLong(1L << 40));
        }
    }

    /** Injects one fault, which may last while others begin. Two of the kinds heal the network or restart nodes. */
    public void injectFault() {
        int node = random.nextBoolean() ? random.nextInt(voterCount) : random.nextInt(nodeCount);
        switch (random.nextInt(FAULT_KINDS)) {
            case 0 -> cluster.setLink(GroupSimulation.RELIABLE);
            case 1 -> partition(random.nextInt(), 2 + random.nextInt(2));
            case 2 -> partitionOneWay(random.nextInt());
            case 3 -> cluster.setLink((from, to, now, r) -> r.nextDouble() < LOSS_RATE ? -1
                    : 1 + r.nextLong(MAX_LOSSY_DELAY_MICROS));
            case 4, 5 -> cluster.pause(node, random.nextLong(MAX_PAUSE_MICROS));
            case 6 -> crash(node);
            case 7 -> restartAll();
            default -> electVoter.accept(random.nextInt(voterCount));
        }
    }

    private void partition(int salt, int sides) {
        cluster.setLink((from, to, now, r) -> side(from, salt, sides) != side(to, salt, sides) ? -1
                : GroupSimulation.RELIABLE.delay(from, to, now, r));
    }

    private void partitionOneWay(int salt) {
        cluster.setLink((from, to, now, r) -> side(from, salt, ONE_WAY_SIDE_COUNT) == 0
                && side(to, salt, ONE_WAY_SIDE_COUNT) != 0 ? -1 : GroupSimulation.RELIABLE.delay(from, to, now, r));
    }

    private void crash(int node) {
        cluster.kill(node);
        if (random.nextBoolean()) {
            startNode.accept(node);
        }
    }

    private void restartAll() {
        for (int node = 0; node < nodeCount; node++) {
            if (!cluster.isUp(node)) {
                startNode.accept(node);
            }
        }
    }

    /** Returns the time until the next fault. */
    public long nextFaultDelay() {
        return random.nextLong(random.nextBoolean() ? MICROS_PER_SECOND : 6 * MICROS_PER_SECOND);
    }

    /** Returns the side of a partition that a node is on: a hash of its number with a salt that differs by fault. */
    private static int side(int node, int salt, int sides) {
        return Math.floorMod(((node * 0x9E3779B9 ^ salt) * 0x85EBCA6B) >>> 8, sides);
    }
}
