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
 * Compares five real gatherers, three of them voters, with five processes without consensus ({@link StormMember}). Both
 * groups suffer the same faults from {@link Script}; then a majority of the voters (two of three, or three of five) is
 * killed at once or cut off from all. Prints a line for each seed: the longest contradiction between two members for
 * each way, and the time from the last fault until a proposal was active. Arguments: first seed, last seed, and
 * optionally the number of voters, 3 or 5.
 */
public final class RulesStorm {
    static final int GATHERERS = 5;
    private static final long TERM_MILLIS = 2_000;
    private static final int FAULTS = 8;
    private static final int FAULT_PERIOD_MILLIS = 14_000;
    private static final int OUTAGE_MILLIS = 3_000;
    private static final int WRITE_INTERVAL_MILLIS = 800;
    private static final int WAIT_SECONDS = 30;
    private static final int REFUSED_CODE = 3;
    private static final int UNREACHABLE_CODE = 4;

    private RulesStorm() {}

    /** Prints a line for each seed; times are in seconds. */
    public static void main(String[] args) throws Exception {
        for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
            System.out.println(run(seed, args.length > 2 ? Integer.parseInt(args[2]) : 3));
        }
        System.exit(0); // threads of unanswered proposals may still be waiting
    }

    private static String run(long seed, int voters) throws Exception {
        Path folder = Files.createTempDirectory("storm");
        ExecutorService proposing = Executors.newCachedThreadPool();
        var random = new Random(seed);
        try (var group = new RulesGroup(folder, GATHERERS, voters, TERM_MILLIS);
                var baseline = new StormBaseline(folder, GATHERERS)) {
            Console first = group.all.get(3).propose(1, WAIT_SECONDS);
            baseline.write(0, 1);
            if (first.code() != 0) {
                return "seed " + seed + " FAILED at its first proposal: " + first + group.describe();
            }
            var lastWritten = new AtomicLong(1);
            var writing = new Thread(() -> writeVersions(group, baseline, proposing, lastWritten, new Random(~seed)),
                    "writing");
            writing.start();
            var target = new BothGroups(group, baseline);
            new Script(GATHERERS, FAULTS, FAULT_PERIOD_MILLIS, seed).play(target);
            removeVoterMajority(target, voters, random.nextInt(voters), random.nextBoolean());
            writing.interrupt();
            writing.join();
            long healedNanos = System.nanoTime();
            Console last = group.all.get(4).propose((int) lastWritten.incrementAndGet(), WAIT_SECONDS);
            while ((last.code() == REFUSED_CODE || last.code() == UNREACHABLE_CODE)
                    && System.nanoTime() - healedNanos < WAIT_SECONDS * 1_000_000_000L) {
                Thread.sleep(100); // another proposal was accepted first, or the gatherer is still starting
                last = group.all.get(4).propose((int) lastWritten.incrementAndGet(), WAIT_SECONDS);
            }
            double recoverySeconds = (System.nanoTime() - healedNanos) / 1e9;
            group.await("all gatherers to act on one version", observation -> observation.acts()
                    && observation.from() == observation.to(), group.others());
            long contradictionMicros = group.longestContradictionMicros();
            long overlapMicros = group.longestOverlapMicros();
            long[] baselineMicros = baseline.longestContradictions();
            return String.format(Locale.ROOT,
                    "seed %d leases %.2f side by side %s versions %d of %d written, gossip %.2f files %.2f, "
                            + "a proposal acted after %s s%s",
                    seed, contradictionMicros / 1e6, overlapMicros <= 0 ? "never" : overlapMicros / 1e6,
                    group.all.get(4).lastObservation.to(),
                    lastWritten.get(), baselineMicros[0] / 1e6, baselineMicros[1] / 1e6,
                    last.code() == 0 ? String.format(Locale.ROOT, "%.1f", recoverySeconds) : "NONE",
                    last.code() == 0 ? "" : last + group.describe());
        } catch (AssertionError e) {
            return "seed " + seed + " FAILED: " + e.getMessage();
        } finally {
            proposing.shutdownNow();
        }
    }

    private static void writeVersions(RulesGroup group, StormBaseline baseline, ExecutorService proposing,
            AtomicLong lastWritten,
            Random random) {
        try {
            while (true) {
                Thread.sleep(WRITE_INTERVAL_MILLIS);
                int number = (int) lastWritten.incrementAndGet();
                int writer = random.nextInt(GATHERERS);
                proposing.execute(() -> group.all.get(writer).proposeDirectly(number, 2));
                proposing.execute(() -> baseline.write(writer, number));
            }
        } catch (InterruptedException e) {
            // the faults are over
        }
    }

    /**
     * Kills or cuts off a majority of the voters, two of three or three of five, beginning with the given one, and
     * brings them back.
     */
    private static void removeVoterMajority(BothGroups target, int voters, int first, boolean killed) throws Exception {
        for (boolean isFaultActive : new boolean[] {true, false}) {
            for (int i = 0; i <= voters / 2; i++) {
                int voter = (first + i) % voters;
                if (killed && isFaultActive) {
                    target.kill(voter);
                } else if (killed) {
                    target.start(voter);
                } else {
                    for (int other = 0; other < GATHERERS; other++) {
                        if (other != voter) {
                            target.cut(voter, other, isFaultActive);
                            target.cut(other, voter, isFaultActive);
                        }
                    }
                }
            }
            if (isFaultActive) {
                Thread.sleep(OUTAGE_MILLIS);
            }
        }
    }

    /** The gatherers and the baseline as one target of faults. */
    private static final class BothGroups implements Script.Target {
        private final RulesGroup group;
        private final StormBaseline baseline;
        private final Network links;
        private final Network baselineLinks;

        BothGroups(RulesGroup group, StormBaseline baseline) {
            this.group = group;
            this.baseline = baseline;
            links = new Network(null, group.relay);
            baselineLinks = new Network(null, baseline.relay);
        }

        @Override
        public void signal(int member, String name) throws Exception {
            Program.signal(group.all.get(member).process, name);
            baseline.signal(member, name);
        }

        @Override
        public void kill(int member) {
            group.all.get(member).kill();
            baseline.kill(member);
        }

        @Override
        public void start(int member) throws Exception {
            group.all.get(member).start();
            baseline.start(member);
        }

        @Override
        public void cut(int from, int to, boolean isFaultActive) {
            links.cut(from, to, isFaultActive);
            baselineLinks.cut(from, to, isFaultActive);
        }

        @Override
        public void degradeDatagrams(boolean isFaultActive) {
            links.degradeDatagrams(isFaultActive); // has no effect on connections
        }
    }
}
