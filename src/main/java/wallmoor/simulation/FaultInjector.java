package wallmoor.simulation;

import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Faults drawn from a seed: cuts of some from the others, one way or both, loss, pauses, crashes with restarts, changes
 * of leader, clocks at the ends of their bounds. It knows nothing of what it strikes, so that ways are struck alike.
 */
public final class FaultInjector {
    private static final long SECOND = 1_000_000;
    /** The longest fault: twice what anybody waits for. */
    private static final long LONGEST = 12 * SECOND;

    private final SimulatedCluster world;
    private final int voters;
    private final int count;
    private final RandomGenerator random;
    private final IntConsumer start;
    private final IntConsumer elect;

    /**
     * Strikes so many nodes, one time in two one of the first few.
     *
     * @param start starts a node again
     * @param elect has one of the first few try to lead
     */
    public FaultInjector(SimulatedCluster world, int few, int count, long seed, IntConsumer start, IntConsumer elect) {
        this.world = world;
        this.voters = few;
        this.count = count;
        this.start = start;
        this.elect = elect;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    /** Sets clocks apart: each runs too fast or too slow by the whole of this, or true. */
    public void skewClocks(double drift) {
        for (int i = 0; i < count; i++) {
            world.setClock(i, 1 + drift * (random.nextInt(3) - 1), random.nextLong(1L << 40));
        }
    }

    /** One fault, which may last while others begin. */
    public void injectFault() {
        int one = random.nextBoolean() ? random.nextInt(voters) : random.nextInt(count);
        switch (random.nextInt(9)) {
            case 0 -> world.setLink(GroupSimulation.RELIABLE);
            case 1 -> {
                int salt = random.nextInt();
                int sides = 2 + random.nextInt(2);
                world.setLink((from, to, now, r) -> side(from, salt, sides) != side(to, salt, sides) ? -1
                        : GroupSimulation.RELIABLE.delay(from, to, now, r));
            }
            case 2 -> {
                int salt = random.nextInt();
                world.setLink((from, to, now, r) -> side(from, salt, 4) == 0 && side(to, salt, 4) != 0 ? -1
                        : GroupSimulation.RELIABLE.delay(from, to, now, r));
            }
            case 3 -> world.setLink((from, to, now, r) -> r.nextDouble() < 0.4 ? -1 : 1 + r.nextLong(SECOND));
            case 4, 5 -> world.pause(one, random.nextLong(LONGEST));
            case 6 -> {
                world.kill(one);
                if (random.nextBoolean()) {
                    start.accept(one);
                }
            }
            case 7 -> {
                for (int i = 0; i < count; i++) {
                    if (!world.isUp(i)) {
                        start.accept(i);
                    }
                }
            }
            default -> elect.accept(random.nextInt(voters));
        }
    }

    /** Time to the next fault. */
    public long nextPause() {
        return random.nextLong(random.nextBoolean() ? SECOND : 6 * SECOND);
    }

    private static int side(int node, int salt, int sides) {
        return Math.floorMod((node * 0x9E3779B9 ^ salt) * 0x85EBCA6B >>> 8, sides);
    }
}
