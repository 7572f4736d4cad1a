package wallmoor.figures;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import wallmoor.figures.Figures.End;

/** The text on the operators' address, byte for byte as version 990cf03 wrote it: their scrapers read it. */
class GoldenTextTest {

    @Test
    void theOperatorsTextIsThatOfTheEarlierVersion() throws IOException {
        var figures = new Figures();
        play(figures, "hold-car", End.SERVED, 2);
        play(figures, "hold-car", End.SERVED, 1);
        play(figures, "hold-car", End.REFUSED, 2);
        play(figures, "before", End.LEFT, 0);
        play(figures, "after", End.FAILED, 3);
        figures.taken("full-search"); // still in flight
        figures.reloaded(true);
        figures.reloaded(true);
        figures.reloaded(false);
        assertEquals(golden("operators.txt"), figures.text(List.of("hold-car", "full-search"), 40, 3));
    }

    private static void play(Figures figures, String queryClass, End end, int attempts) {
        figures.taken(queryClass);
        figures.attempts(queryClass, attempts);
        figures.ended(queryClass, end);
    }

    private static String golden(String name) throws IOException {
        try (InputStream in = GoldenTextTest.class.getResourceAsStream("/golden/metrics/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
