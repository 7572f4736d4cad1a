package wallmoor.rules;

import wallmoor.simulation.InvariantChecker;
import wallmoor.simulation.SimulatedCluster;

/**
 * A baseline without consensus: the last version written anywhere wins, becomes active wherever it is received, and is
 * sent on to random members.
 */
final class LastWriterWinsBaseline implements SimulatedCluster.ProcessListener {
    private static final int FAN_OUT = 3;
    private static final int GOSSIP_INTERVAL_TICKS = 10;

    private final class Gossiper implements SimulatedCluster.SimulatedProcess {
        final int number;
        long ticks;

        Gossiper(int number) {
            this.number = number;
        }

        @Override
        public void onMessage(long now, int from, Object message) {
            newest[number] = Math.max(newest[number], (Long) message);
        }

        @Override
        public void onTick(long now) {
            for (int i = 0; ticks % GOSSIP_INTERVAL_TICKS == 0 && i < FAN_OUT; i++) {
                cluster.send(number, cluster.random().nextInt(newest.length), newest[number]);
            }
            ticks++;
        }
    }

    final SimulatedCluster cluster;
    final InvariantChecker checker = new InvariantChecker();
    private final long[] newest;

    LastWriterWinsBaseline(int count, long tick, long seed) {
        newest = new long[count];
        cluster = new SimulatedCluster(count, tick, seed, this);
    }

    void start(int number) {
        cluster.start(number, incarnation -> new Gossiper(number));
    }

    /** Writes the next version at a random member, following the newest version known there. */
    void write() {
        int writer = cluster.random().nextInt(newest.length);
        if (cluster.isRunning(writer)) {
            newest[writer] = (newest[writer] / newest.length + 1) * newest.length + writer;
            onStep(writer, cluster.now());
        }
    }

    @Override
    public void onStep(int node, long now) {
        checker.startedActing(node, now, newest[node], newest[node], Long.MAX_VALUE);
    }

    @Override
    public void onStopped(int node, long now) {
        checker.stoppedActing(node, now);
    }
}
