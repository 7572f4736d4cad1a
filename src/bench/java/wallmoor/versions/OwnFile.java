package wallmoor.versions;

import wallmoor.model.Judge;
import wallmoor.model.World;

/**
 * A baseline, and what stands today: each gatherer reads a file of its own, every ten seconds. One place copies a new
 * file to all at once, and every ten seconds again to those that it has not reached.
 */
final class OwnFile implements World.Watcher {
    private static final long EVERY = 10_000_000;

    private final class Reader implements World.Node {
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
                readAt = now - world.random().nextLong(EVERY);
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
                        world.send(0, i, file[0]);
                    }
                }
            }
        }
    }

    final World world;
    final Judge judge = new Judge();
    private final long[] file;
    private final long[] acts;
    private boolean changed;

    OwnFile(int count, long tick, long seed) {
        file = new long[count];
        acts = new long[count];
        world = new World(count, tick, seed, this);
    }

    void start(int number) {
        world.start(number, life -> new Reader(number));
    }

    /** The next file is put where it is copied from. */
    void write() {
        if (world.runs(0)) {
            file[0]++;
            changed = true;
        }
    }

    @Override
    public void did(int node, long at) {
        judge.acts(node, at, acts[node], acts[node], Long.MAX_VALUE);
    }

    @Override
    public void stopped(int node, long at) {
        judge.ceases(node, at);
    }
}
