package wallmoor.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import wallmoor.model.GroupModel;

/**
 * The group's decider on the model, beside a plain heartbeat in the same run: every member tells all others each second
 * that it is there, and who was not heard for five seconds is removed. Rows are printed as CSV. Arguments: the sizes.
 */
public final class GroupFigures {
    private static final long SECOND = 1_000_000;
    private static final int SEEDS = 20;

    private GroupFigures() {
    }

    public static void main(String[] args) {
        List<Integer> sizes = args.length == 0 ? List.of(16, 100) : IntStream.range(0, args.length)
                .mapToObj(i -> Integer.parseInt(args[i])).toList();
        System.out.println("figure,members,seeds,value");
        for (int n : sizes) {
            killed(n);
            healthy(n);
        }
    }

    /** From a kill until the last view lacks the member; what a member sends; views changed by a tenth killed at once. */
    private static void killed(int n) {
        var removed = new Histogram(3);
        var messages = new AtomicLong();
        var changes = new AtomicLong();
        int seeds = n > 500 ? 3 : SEEDS;
        IntStream.range(0, seeds).parallel().forEach(seed -> {
            GroupModel group = started(n, seed);
            long sent = group.sent();
            group.run(10 * SECOND);
            messages.addAndGet((group.sent() - sent) / 10 / n);
            group.kill(n - 1);
            long took = group.untilAgreed(60 * SECOND);
            long before = group.changes(0);
            int many = Math.max(1, n / 10);
            IntStream.range(n - 1 - many, n - 1).forEach(group::kill);
            long tookMany = group.untilAgreed(60 * SECOND);
            synchronized (removed) {
                removed.recordValue(Math.max(0, took) / 1000);
                removed.recordValue(Math.max(0, tookMany) / 1000);
            }
            long cuts = Math.max(0, group.changes(0) - before);
            changes.accumulateAndGet(cuts, Math::max);
        });
        row("kill to removed in all views p50 ms", n, seeds, removed.getValueAtPercentile(50));
        row("kill to removed in all views worst ms", n, seeds, removed.getMaxValue());
        row("messages a member and second", n, seeds, (double) messages.get() / seeds);
        row("changes told for a tenth killed at once, most", n, seeds, changes.get());
    }

    /** Healthy members removed in a minute, by this and by the heartbeat, under four faults of one in a hundred. */
    private static void healthy(int n) {
        String[] faults = {"80 % lost from 1 %", "80 % lost to 1 %", "links of 1 % flap", "a tenth paused 10 s"};
        int seeds = n > 500 ? 2 : SEEDS;
        for (int fault = 0; fault < faults.length; fault++) {
            var ours = new AtomicInteger();
            var theirs = new AtomicInteger();
            int kind = fault;
            IntStream.range(0, seeds).parallel().forEach(seed -> {
                int bad = Math.max(1, n / 100);
                GroupModel.Link link = (from, to, now, r) -> switch (kind) {
                    case 0 -> from < bad && r.nextDouble() < 0.8 ? -1 : 2_000;
                    case 1 -> to < bad && r.nextDouble() < 0.8 ? -1 : 2_000;
                    case 2 -> (from < bad || to < bad) && now / SECOND % 2 == 0 ? -1 : 2_000;
                    default -> 2_000;
                };
                GroupModel group = started(n, seed);
                group.link(link);
                int paused = kind == 3 ? Math.max(1, n / 10) : 0;
                IntStream.range(0, paused).forEach(i -> group.pause(i, 10 * SECOND));
                var gone = new java.util.TreeSet<String>();
                for (int s = 0; s < 60; s++) {
                    group.run(SECOND);
                    for (int i = 0; i < n; i += Math.max(1, n / 50)) {
                        gone.addAll(group.in(i, View.State.REMOVED));
                    }
                }
                int sick = Math.max(kind < 3 ? bad : 0, paused);
                gone.removeIf(name -> Integer.parseInt(name.substring(1)) < sick);
                ours.addAndGet(gone.size());
                theirs.addAndGet(heartbeat(n, link, sick, paused, seed));
            });
            row("healthy removed, " + faults[fault], n, seeds, ours.get());
            row("healthy removed by a heartbeat, " + faults[fault], n, seeds, theirs.get());
        }
    }

    /** Healthy members that some member holds removed at some time within a minute. */
    private static int heartbeat(int n, GroupModel.Link link, int sick, int paused, long seed) {
        var random = java.util.random.RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        long[][] heard = new long[n][n];
        var gone = new java.util.TreeSet<Integer>();
        for (long now = SECOND; now < 60 * SECOND; now += SECOND) {
            boolean asleep = now < 10 * SECOND;
            for (int from = 0; from < n; from++) {
                for (int to = 0; to < n && !(asleep && from < paused); to++) {
                    if (link.delay(from, to, now, random) >= 0 && !(asleep && to < paused)) {
                        heard[to][from] = now;
                    }
                }
            }
            for (int at = 0; at < n; at++) {
                for (int of = sick; of < n && !(asleep && at < paused); of++) {
                    if (of != at && now - heard[at][of] > 5 * SECOND) {
                        gone.add(of);
                    }
                }
            }
        }
        return gone.size();
    }

    private static GroupModel started(int n, long seed) {
        var group = new GroupModel(n, Rules.of(n), seed);
        group.startAll();
        if (group.untilAgreed(300 * SECOND) < 0) {
            throw new IllegalStateException("a group of " + n + " did not find itself");
        }
        return group;
    }

    private static void row(String figure, int members, int seeds, double value) {
        System.out.println(String.format(Locale.ROOT, "%s,%d,%d,%.1f", figure, members, seeds, value));
    }
}
