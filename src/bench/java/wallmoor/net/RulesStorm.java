package wallmoor.net;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import wallmoor.cli.Console;
import wallmoor.lab.Network;
import wallmoor.lab.Script;

/**
 * Five real gatherers, three of them voters, and five processes that agree on nothing ({@link StormMember}), struck
 * alike by {@link Script}; then two of three voters are killed at once, or cut off from all. A line for each seed: how
 * long two of them contradicted each other at worst, each way, and how long after the last fault a proposal acted.
 * Arguments: first seed, last one, and voters: 3, or 5 of which three go at once.
 */
public final class RulesStorm {
    static final int FIVE = 5;
    private static final long TERM_MILLIS = 2_000;
    private static final int FAULTS = 8;
    private static final int MILLIS = 14_000;
    private static final int GONE_MILLIS = 3_000;
    private static final int WRITE_MILLIS = 800;
    private static final int WAIT = 30;
    private static final int REFUSED = 3;
    private static final int NOT_UP = 4;

    private RulesStorm() {}

    /** Prints seconds. */
    public static void main(String[] args) throws Exception {
        for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
            System.out.println(run(seed, args.length > 2 ? Integer.parseInt(args[2]) : 3));
        }
        System.exit(0); // proposals that nobody answers may wait still
    }

    private static String run(long seed, int voters) throws Exception {
        Path folder = Files.createTempDirectory("storm");
        ExecutorService proposing = Executors.newCachedThreadPool();
        var random = new Random(seed);
        try (var group = new RulesGroup(folder, FIVE, voters, TERM_MILLIS);
                var baseline = new StormBaseline(folder, FIVE)) {
            Console first = group.all.get(3).propose(1, WAIT);
            baseline.write(0, 1);
            if (first.code() != 0) {
                return "seed " + seed + " FAILED at its first proposal: " + first + group.describe();
            }
            var written = new AtomicLong(1);
            var writing = new Thread(() -> write(group, baseline, proposing, written, new Random(~seed)), "writing");
            writing.start();
            var target = new Struck(group, baseline);
            new Script(FIVE, FAULTS, MILLIS, seed).play(target);
            halfOfTheVotersGo(target, voters, random.nextInt(voters), random.nextBoolean());
            writing.interrupt();
            writing.join();
            long healed = System.nanoTime();
            Console last = group.all.get(4).propose((int) written.incrementAndGet(), WAIT);
            while ((last.code() == REFUSED || last.code() == NOT_UP)
                    && System.nanoTime() - healed < WAIT * 1_000_000_000L) {
                Thread.sleep(100); // an earlier one came before it, or the one that is asked starts still
                last = group.all.get(4).propose((int) written.incrementAndGet(), WAIT);
            }
            double back = (System.nanoTime() - healed) / 1e9;
            group.await("all act wholly", l -> l.acts() && l.from() == l.to(), group.others());
            long worst = group.longestContradictionMicros();
            long beside = group.longestOverlapMicros();
            long[] others = baseline.worst();
            return String.format(Locale.ROOT,
                    "seed %d leases %.2f side by side %s versions %d of %d written, gossip %.2f files %.2f, "
                            + "a proposal acted after %s s%s",
                    seed, worst / 1e6, beside <= 0 ? "never" : beside / 1e6, group.all.get(4).lastObservation.to(),
                    written.get(), others[0] / 1e6, others[1] / 1e6,
                    last.code() == 0 ? String.format(Locale.ROOT, "%.1f", back) : "NONE",
                    last.code() == 0 ? "" : last + group.describe());
        } catch (AssertionError e) {
            return "seed " + seed + " FAILED: " + e.getMessage();
        } finally {
            proposing.shutdownNow();
        }
    }

    private static void write(RulesGroup group, StormBaseline baseline, ExecutorService proposing, AtomicLong written,
            Random random) {
        try {
            while (true) {
                Thread.sleep(WRITE_MILLIS);
                int number = (int) written.incrementAndGet();
                int at = random.nextInt(FIVE);
                proposing.execute(() -> group.all.get(at).proposeDirectly(number, 2));
                proposing.execute(() -> baseline.write(at, number));
            }
        } catch (InterruptedException e) {
            // the faults are over
        }
    }

    /** Two of three voters, three of five, from one on. */
    private static void halfOfTheVotersGo(Struck target, int voters, int first, boolean killed) throws Exception {
        for (boolean on : new boolean[] {true, false}) {
            for (int i = 0; i <= voters / 2; i++) {
                int v = (first + i) % voters;
                if (killed && on) {
                    target.kill(v);
                } else if (killed) {
                    target.start(v);
                } else {
                    for (int n = 0; n < FIVE; n++) {
                        if (n != v) {
                            target.cut(v, n, on);
                            target.cut(n, v, on);
                        }
                    }
                }
            }
            if (on) {
                Thread.sleep(GONE_MILLIS);
            }
        }
    }

    /** Both groups. */
    private static final class Struck implements Script.Target {
        private final RulesGroup group;
        private final StormBaseline baseline;
        private final Network links;
        private final Network itsLinks;

        Struck(RulesGroup group, StormBaseline baseline) {
            this.group = group;
            this.baseline = baseline;
            links = new Network(null, group.relay);
            itsLinks = new Network(null, baseline.relay);
        }

        @Override
        public void signal(int who, String name) throws Exception {
            Program.signal(group.all.get(who).process, name);
            baseline.signal(who, name);
        }

        @Override
        public void kill(int who) {
            group.all.get(who).kill();
            baseline.kill(who);
        }

        @Override
        public void start(int who) throws Exception {
            group.all.get(who).start();
            baseline.start(who);
        }

        @Override
        public void cut(int from, int to, boolean on) {
            links.cut(from, to, on);
            itsLinks.cut(from, to, on);
        }

        @Override
        public void degradeDatagrams(boolean on) {
            links.degradeDatagrams(on); // of connections: nothing
        }
    }
}
