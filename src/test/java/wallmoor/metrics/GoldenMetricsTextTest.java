package wallmoor.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import wallmoor.metrics.GathererMetrics.QueryEnd;

/** The text on the operators' address, byte for byte as version 990cf03 wrote it: their scrapers read it. */
class GoldenMetricsTextTest {

    @Test
    void theOperatorsTextIsThatOfTheEarlierVersion() throws IOException {
        var figures = new GathererMetrics();
        play(figures, "hold-car", QueryEnd.SERVED, 2);
        play(figures, "hold-car", QueryEnd.SERVED, 1);
        play(figures, "hold-car", QueryEnd.REFUSED, 2);
        play(figures, "before", QueryEnd.CLIENT_GONE, 0);
        play(figures, "after", QueryEnd.FAILED, 3);
        figures.queryStarted("full-search"); // still in flight
        figures.configReloaded(true);
        figures.configReloaded(true);
        figures.configReloaded(false);
        assertEquals(golden("operators.txt"), figures.render(List.of("hold-car", "full-search"), 40, 3));
    }

    private static void play(GathererMetrics figures, String queryClass, QueryEnd end, int attempts) {
        figures.queryStarted(queryClass);
        figures.addAttempts(queryClass, attempts);
        figures.queryEnded(queryClass, end);
    }

    private static String golden(String name) throws IOException {
        try (InputStream in = GoldenMetricsTextTest.class.getResourceAsStream("/golden/metrics/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
