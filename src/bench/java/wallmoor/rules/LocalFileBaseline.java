package wallmoor.rules;

import wallmoor.simulation.InvariantChecker;
import wallmoor.simulation.SimulatedCluster;

/**
 * A baseline that models current practice: each gatherer reads its own file every ten seconds. One process copies a new
 * file to all others at once, and every ten seconds again to those that do not have it yet.
 */
final class LocalFileBaseline implements SimulatedCluster.ProcessListener {
    private static final long READ_INTERVAL_MICROS = 10_000_000;

    private final class Reader implements SimulatedCluster.SimulatedProcess {
        final int number;
        long readAt = Long.MIN_VALUE;
        long copiedAt = Long.MIN_VALUE;

        Reader(int number) {
            this.number = number;
        }

        @Override
        public void onMessage(long now, int from, Object message) {
            fileVersion[number] = Math.max(fileVersion[number], (Long) message);
        }

        @Override
        public void onTick(long now) {
            if (readAt == Long.MIN_VALUE) {
                readAt = now - cluster.random().nextLong(READ_INTERVAL_MICROS);
                activeVersion[number] = fileVersion[number]; // the file is also read at the start
            }
            if (now - readAt >= READ_INTERVAL_MICROS) {
                readAt = now;
                activeVersion[number] = fileVersion[number];
            }
            if (number == 0 && (copiedAt == Long.MIN_VALUE || now - copiedAt >= READ_INTERVAL_MICROS || hasNewFile)) {
                copiedAt = now;
                hasNewFile = false;
                for (int i = 1; i < fileVersion.length; i++) {
                    if (fileVersion[i] < fileVersion[0]) {
                        cluster.send(0, i, fileVersion[0]);
                    }
                }
            }
        }
    }

    final SimulatedCluster cluster;
    final InvariantChecker checker = new InvariantChecker();
    private final long[] fileVersion;
    private final long[] activeVersion;
    private boolean hasNewFile;

    LocalFileBaseline(int count, long tick, long seed) {
        fileVersion = new long[count];
        activeVersion = new long[count];
        cluster = new SimulatedCluster(count, tick, seed, this);
    }

    void start(int number) {
        cluster.start(number, incarnation -> new Reader(number));
    }

    /** Puts the next version of the file where it is copied from. */
    void write() {
        if (cluster.isRunning(0)) {
            fileVersion[0]++;
            hasNewFile = true;
        }
    }

    @Override
    public void onStep(int node, long now) {
        checker.startedActing(node, now, activeVersion[node], activeVersion[node], Long.MAX_VALUE);
    }

    @Override
    public void onStopped(int node, long now) {
        checker.stoppedActing(node, now);
    }
}
