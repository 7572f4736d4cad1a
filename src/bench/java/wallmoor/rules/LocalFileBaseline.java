package wallmoor.rules;

import wallmoor.simulation.InvariantChecker;
import wallmoor.simulation.SimulatedCluster;

/**
 * A baseline, and what stands today: each gatherer reads a file of its own, every ten seconds. One place copies a new
 * file to all at once, and every ten seconds again to those that it has not reached.
 */
final class LocalFileBaseline implements SimulatedCluster.ProcessListener {
    private static final long EVERY = 10_000_000;

    private final class Reader implements SimulatedCluster.SimulatedProcess {
        final int number;
        long readAt = Long.MIN_VALUE;
        long copiedAt = Long.MIN_VALUE;

        Reader(int number) {
            this.number = number;
        }

        @Override
        public void onMessage(long now, int from, Object message) {
            file[number] = Math.max(file[number], (Long) message);
        }

        @Override
        public void onTick(long now) {
            if (readAt == Long.MIN_VALUE) {
                readAt = now - cluster.random().nextLong(EVERY);
                acts[number] = file[number]; // a start reads it too
            }
            if (now - readAt >= EVERY) {
                readAt = now;
                acts[number] = file[number];
            }
            if (number == 0 && (copiedAt == Long.MIN_VALUE || now - copiedAt >= EVERY || changed)) {
                copiedAt = now;
                changed = false;
                for (int i = 1; i < file.length; i++) {
                    if (file[i] < file[0]) {
                        cluster.send(0, i, file[0]);
                    }
                }
            }
        }
    }

    final SimulatedCluster cluster;
    final InvariantChecker checker = new InvariantChecker();
    private final long[] file;
    private final long[] acts;
    private boolean changed;

    LocalFileBaseline(int count, long tick, long seed) {
        file = new long[count];
        acts = new long[count];
        cluster = new SimulatedCluster(count, tick, seed, this);
    }

    void start(int number) {
        cluster.start(number, incarnation -> new Reader(number));
    }

    /** The next file is put where it is copied from. */
    void write() {
        if (cluster.isRunning(0)) {
            file[0]++;
            changed = true;
        }
    }

    @Override
    public void onStep(int node, long at) {
        checker.startedActing(node, at, acts[node], acts[node], Long.MAX_VALUE);
    }

    @Override
    public void onStopped(int node, long at) {
        checker.stoppedActing(node, at);
    }
}
