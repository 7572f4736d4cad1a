package wallmoor.rules;

import wallmoor.simulation.InvariantChecker;
import wallmoor.simulation.SimulatedCluster;

/** A baseline: the last that was written anywhere wins, acts wherever it is heard of, and is passed on at random. */
final class LastWriterWinsBaseline implements SimulatedCluster.ProcessListener {
    private static final int FAN_OUT = 3;
    private static final int TICKS = 10;

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
            for (int i = 0; ticks % TICKS == 0 && i < FAN_OUT; i++) {
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

    /** Somebody writes the next after what is known there. */
    void write() {
        int at = cluster.random().nextInt(newest.length);
        if (cluster.isRunning(at)) {
            newest[at] = (newest[at] / newest.length + 1) * newest.length + at;
            onStep(at, cluster.now());
        }
    }

    @Override
    public void onStep(int node, long at) {
        checker.startedActing(node, at, newest[node], newest[node], Long.MAX_VALUE);
    }

    @Override
    public void onStopped(int node, long at) {
        checker.stoppedActing(node, at);
    }
}
