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
    void countersEqualThoseOfAModel(@ForAll List<@IntRange(max = 20) Integer> events) {
        var metrics = new GathererMetrics();
        var expected = new TreeMap<String, Long>();
        int[] open = new int[CLASSES.size()];
        for (int event : events) {
            int index = event % CLASSES.size();
            String name = CLASSES.get(index);
            int kind = event / CLASSES.size();
            if (kind < 4 && open[index] > 0) {
                open[index]--;
                metrics.queryEnded(name, ENDS.get(kind));
                expected.merge(ENDS.get(kind).toString().toLowerCase(Locale.ROOT) + "." + name, 1L, Long::sum);
            } else if (kind == 4) {
                metrics.addAttempts(name, event);
                expected.merge("attempts." + name, (long) event, Long::sum);
                expected.merge("attempts", (long) event, Long::sum);
            } else {
                open[index]++;
                metrics.queryStarted(name);
            }
            assertEquals(open[0] + open[1] + open[2], metrics.inFlight());
        }
        String text = metrics.render(CLASSES.subList(0, 2), 7, 2);
        for (String metric : List.of("served.hold-car", "refused.full-search", "failed.hold-car",
                "attempts.full-search",
                "attempts")) {
            long count = expected.getOrDefault(metric, 0L);
            assertTrue(text.contains("gatherer." + metric + "=" + count + "\n"), metric + text);
        }
        assertEquals(expected.getOrDefault("served.late", 0L) > 0, text.matches("(?s).*gatherer.served.late=[1-9].*"));
        assertTrue(text.endsWith("gatherer.in_flight=" + (open[0] + open[1] + open[2]) + "\ngatherer.workers_known=7\n"
                + "gatherer.workers_excluded=2\ngatherer.reloads_ok=0\ngatherer.reloads_failed=0\n"), text);
    }

    @Example
    void concurrentThreadsLoseAndDuplicateNoCount() throws Exception {
        var metrics = new GathererMetrics();
        int threads = 4;
        int queriesPerThread = 20_000;
        var done = new CountDownLatch(threads);
        for (int t = 0; t < threads; t++) {
            String queryClass = CLASSES.get(t % 3);
            new Thread(() -> {
                for (int i = 0; i < queriesPerThread; i++) {
                    metrics.queryStarted(queryClass);
                    metrics.addAttempts(queryClass, 2);
                    metrics.queryEnded(queryClass, QueryEnd.SERVED);
                }
                done.countDown();
            }).start();
        }
        long most = 0;
        while (!done.await(0, TimeUnit.MILLISECONDS)) {
            most = Math.max(most, metrics.inFlight());
            assertTrue(metrics.inFlight() >= 0);
        }
        assertEquals(0, metrics.inFlight());
        metrics.configReloaded(true);
        metrics.configReloaded(false);
        String text = metrics.render(List.of(), 0, 0);
        assertTrue(text.contains("gatherer.attempts=" + 2 * threads * queriesPerThread + "\n"), text);
        assertTrue(text.contains("gatherer.served.hold-car=" + 2 * queriesPerThread + "\n"), text);
        assertTrue(text.contains("reloads_ok=1\ngatherer.reloads_failed=1\n"), text);
    }
}
