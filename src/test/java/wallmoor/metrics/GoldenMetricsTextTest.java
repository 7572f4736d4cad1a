package wallmoor.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import wallmoor.metrics.GathererMetrics.QueryEnd;

/** The metrics text equals byte for byte that of version 990cf03, because operators' scrapers parse it. */
class GoldenMetricsTextTest {

    @Test
    void rendersTheGoldenText() throws IOException {
        var metrics = new GathererMetrics();
        countQuery(metrics, "hold-car", QueryEnd.SERVED, 2);
        countQuery(metrics, "hold-car", QueryEnd.SERVED, 1);
        countQuery(metrics, "hold-car", QueryEnd.REFUSED, 2);
        countQuery(metrics, "before", QueryEnd.CLIENT_GONE, 0);
        countQuery(metrics, "after", QueryEnd.FAILED, 3);
        metrics.queryStarted("full-search"); // still in flight
        metrics.configReloaded(true);
        metrics.configReloaded(true);
        metrics.configReloaded(false);
        assertEquals(golden("operators.txt"), metrics.render(List.of("hold-car", "full-search"), 40, 3));
    }

    private static void countQuery(GathererMetrics metrics, String queryClass, QueryEnd end, int attempts) {
        metrics.queryStarted(queryClass);
        metrics.addAttempts(queryClass, attempts);
        metrics.queryEnded(queryClass, end);
    }

    private static String golden(String name) throws IOException {
        try (InputStream in = GoldenMetricsTextTest.class.getResourceAsStream("/golden/metrics/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
