package wallmoor.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import wallmoor.metrics.GathererMetrics.QueryEnd;

class GathererMetricsTest {
    private static final List<QueryEnd> ENDS = List.of(QueryEnd.values());
    private static final List<String> CLASSES = List.of("hold-car", "full-search", "late");

    @Property(tries = 300)
    void figuresAreThoseOfAPlainCount(@ForAll List<@IntRange(max = 20) Integer> happenings) {
        var figures = new GathererMetrics();
        var plain = new TreeMap<String, Long>();
        int[] open = new int[CLASSES.size()];
        for (int what : happenings) {
            int of = what % CLASSES.size();
            String name = CLASSES.get(of);
            int kind = what / CLASSES.size();
            if (kind < 4 && open[of] > 0) {
                open[of]--;
                figures.queryEnded(name, ENDS.get(kind));
                plain.merge(ENDS.get(kind).toString().toLowerCase(Locale.ROOT) + "." + name, 1L, Long::sum);
            } else if (kind == 4) {
                figures.addAttempts(name, what);
                plain.merge("attempts." + name, (long) what, Long::sum);
                plain.merge("attempts", (long) what, Long::sum);
            } else {
                open[of]++;
                figures.queryStarted(name);
            }
            assertEquals(open[0] + open[1] + open[2], figures.inFlight());
        }
        String text = figures.render(CLASSES.subList(0, 2), 7, 2);
        for (String figure : List.of("served.hold-car", "refused.full-search", "failed.hold-car",
                "attempts.full-search",
                "attempts")) {
            long count = plain.getOrDefault(figure, 0L);
            assertTrue(text.contains("gatherer." + figure + "=" + count + "\n"), figure + text);
        }
        assertEquals(plain.getOrDefault("served.late", 0L) > 0, text.matches("(?s).*gatherer.served.late=[1-9].*"));
        assertTrue(text.endsWith("gatherer.in_flight=" + (open[0] + open[1] + open[2]) + "\ngatherer.workers_known=7\n"
                + "gatherer.workers_excluded=2\ngatherer.reloads_ok=0\ngatherer.reloads_failed=0\n"), text);
    }

    @Example
    void manyCountAtOnceAndNoneIsMissedOrCountedTwice() throws Exception {
        var figures = new GathererMetrics();
        int threads = 4;
        int each = 20_000;
        var done = new CountDownLatch(threads);
        for (int t = 0; t < threads; t++) {
            String own = CLASSES.get(t % 3);
            new Thread(() -> {
                for (int i = 0; i < each; i++) {
                    figures.queryStarted(own);
                    figures.addAttempts(own, 2);
                    figures.queryEnded(own, QueryEnd.SERVED);
                }
                done.countDown();
            }).start();
        }
        long most = 0;
        while (!done.await(0, TimeUnit.MILLISECONDS)) {
            most = Math.max(most, figures.inFlight());
            assertTrue(figures.inFlight() >= 0);
        }
        assertEquals(0, figures.inFlight());
        figures.configReloaded(true);
        figures.configReloaded(false);
        String text = figures.render(List.of(), 0, 0);
        assertTrue(text.contains("gatherer.attempts=" + 2 * threads * each + "\n"), text);
        assertTrue(text.contains("gatherer.served.hold-car=" + 2 * each + "\n"), text);
        assertTrue(text.contains("reloads_ok=1\ngatherer.reloads_failed=1\n"), text);
    }
}
