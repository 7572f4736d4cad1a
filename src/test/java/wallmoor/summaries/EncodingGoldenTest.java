package wallmoor.summaries;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against changes of the encoding: summaries encoded by an earlier version are decoded with the same contents
 * and encoded to the same bytes. Each {@code .hex} file in {@code golden/summaries} is a summary in hexadecimal; the
 * {@code .txt} file of the same name is its description.
 */
class EncodingGoldenTest {
    private static final SummaryLimits DEFAULTS = SummaryLimits.defaults();
    /** So few listed values that a fourth one makes a filter. */
    private static final SummaryLimits FEW_VALUES = new SummaryLimits(16 * 1024, 32, 3, 8, 256, 12, 8);
    /** Fewer properties than the rows have. */
    private static final SummaryLimits FEW_PROPERTIES = new SummaryLimits(16 * 1024, 2, 64, 64, 1 << 16, 2, 2);
    /** So few bytes that filters replace values and are halved. */
    private static final SummaryLimits FEW_BYTES = new SummaryLimits(SummaryLimits.MIN_BYTES, 32, 64, 64, 1 << 12, 4,
            4);

    /** Returns the summaries, built from rows, by the name of their file. */
    private static Map<String, Summary> summaries() {
        var all = new HashMap<String, Summary>();
        all.put("no-rows", summarize(DEFAULTS, List.of()));
        all.put("texts",
                summarize(DEFAULTS,
                        column("city", "Karachi", "lahore", "Multan", "zhob-a-text-of-more-than-24-characters")));
        all.put("numbers", summarize(DEFAULTS, column("price", 12L, -0.5, 1.5f, 1e300)));
        all.put("numbers-and-texts", summarize(DEFAULTS, column("seats", 4L, "5", "many")));
        all.put("odd-values", summarize(DEFAULTS, column("note", true, Double.NaN, "\u00e9\u0661", "x_y", "Multan ")));
        var withoutCity = new HashMap<String, Object>(Map.of("id", "k1"));
        withoutCity.put("city", null);
        Row van = new Row(Map.of("id", "k2", "class", "van"), null, null);
        all.put("missing-values", summarize(DEFAULTS, List.of(new Row(withoutCity, null, null), van)));
        all.put("blank-texts",
                summarize(DEFAULTS, List.of(new Row(Map.of("id", "k1", "city", ""), null, null), van)));
        all.put("filter-by-count", summarize(FEW_VALUES, column("id", "k1", "k2", "k3", "k4", "k5")));
        all.put("filter-by-length", summarize(FEW_VALUES, column("id", "longer than eight bytes")));
        all.put("properties-left-out", summarize(FEW_PROPERTIES,
                List.of(new Row(new TreeMap<>(Map.of("a", 1L, "b", 2L, "c", 3L, "d", 4L)), null, null))));
        all.put("made-to-fit", summarize(FEW_BYTES, IntStream.range(0, 60)
                .mapToObj(i -> new Row(Map.of("id", "number-" + i, "half", "half-" + i / 2, "third", i / 3), null,
                        null))
                .collect(Collectors.toList())));
        all.put("boxes", summarize(DEFAULTS,
                List.of(at(67.01, 24.86), at(179.9, -17), at(-179.9, -17.5), at(12.5, 90))));
        all.put("spans", summarize(DEFAULTS, List.of(during("2026-01-05T06:07:08Z"), during("2026-02-01"),
                during("../2020-01-01T00:00:00.000001Z"), during("2030-05-06T00:00:00+05:00/.."))));
        all.put("boxes-and-spans-joined", summarize(FEW_PROPERTIES, IntStream.range(0, 9)
                .mapToObj(i -> new Row(Map.of(), Row.Coordinates.of(60 + i * i, 20 + i),
                        new TimeSpan(1_000_000L * i * i, 1_000_000L * (i * i + 1))))
                .collect(Collectors.toList())));
        return all;
    }

    private static Summary summarize(SummaryLimits limits, List<Row> rows) {
        var builder = new SummaryBuilder(limits, "khi-1", "kar\u0101chi", 1_767_225_600_000_001L);
        rows.forEach(builder::add);
        return builder.build(7);
    }

    private static List<Row> column(String property, Object... values) {
        return List.of(values).stream().map(v -> new Row(Map.of(property, v), null, null)).toList();
    }

    private static Row at(double longitude, double latitude) {
        return new Row(Map.of(), Row.Coordinates.of(longitude, latitude), null);
    }

    private static Row during(String time) {
        return new Row(Map.of(), null, TimeSpan.parse(time));
    }

    static List<String> names() {
        return summaries().keySet().stream().sorted().toList();
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = EncodingGoldenTest.class.getResourceAsStream("/golden/summaries/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static byte[] golden(String name) throws IOException {
        return HexFormat.of().parseHex(resource(name + ".hex").replaceAll("\\s", ""));
    }

    @ParameterizedTest
    @MethodSource("names")
    void encodesRowsToGoldenBytes(String name) throws Exception {
        assertArrayEquals(golden(name), Encoding.encode(summaries().get(name)));
    }

    @ParameterizedTest
    @MethodSource("names")
    void decodesGoldenBytesAndEncodesThemAgain(String name) throws Exception {
        Summary decoded = Encoding.decode(golden(name));
        assertArrayEquals(golden(name), Encoding.encode(decoded));
        assertEquals(resource(name + ".txt"), String.join("\n", decoded.lines()) + "\n");
    }
}
