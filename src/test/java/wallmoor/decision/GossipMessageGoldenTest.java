package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import wallmoor.decision.GossipMessage.QuarantineNotice;
import wallmoor.decision.GossipMessage.WorkerReport;

/**
 * Messages between gatherers, as version 990cf03 wrote them. Processes of two versions run side by side during an
 * upgrade, so each version must read and write the same bytes.
 */
class GossipMessageGoldenTest {
    private static final String GOLDEN_DIRECTORY = "/golden/decision/";

    @Test
    void readsAndWritesQuarantineNotices() throws IOException {
        assertSameNotice("ban", new QuarantineNotice(0x7a3b19c5, 4_000_000));
        assertSameNotice("ban-negative-signature", new QuarantineNotice(-77, 250_000));
    }

    @Test
    void readsAndWritesEjectionReport() throws IOException {
        assertSameReports("entry-ill", List.of(WorkerReport.ejected("khi-07")));
        assertTrue(GossipMessage.readReports(golden("entry-ill")).get(0).isEjected());
    }

    @Test
    void readsAndWritesPartsInFlight() throws IOException {
        assertSameReports("entries-parts", List.of(WorkerReport.inFlight("khi-00", 0),
                WorkerReport.inFlight("khi-01", 1), WorkerReport.inFlight("khi-02", 5),
                WorkerReport.inFlight("khi-03", 6),
                WorkerReport.inFlight("khi-04", 200)));
        List<Integer> codes = GossipMessage.readReports(golden("entries-parts")).stream().map(WorkerReport::code)
                .toList();
        assertEquals(List.of(0, 1, 5, 6, 6), codes, "a code represents at most six parts");
    }

    @Test
    void readsAndWritesLatencies() throws IOException {
        assertSameReports("entries-answer", List.of(WorkerReport.latency("khi-00", 0.01),
                WorkerReport.latency("khi-01", 0.5),
                WorkerReport.latency("khi-02", 1), WorkerReport.latency("khi-03", 1.5),
                WorkerReport.latency("khi-04", 4),
                WorkerReport.latency("khi-05", 100)));
        List<Double> ratios = GossipMessage.readReports(golden("entries-answer")).stream()
                .map(WorkerReport::latencyRatio).toList();
        assertEquals(List.of(0.5, 0.5, 1.0, Math.sqrt(2), 4.0, Math.pow(2, 2.5)), ratios,
                "two steps double the ratio");
    }

    @Test
    void readsAndWritesMixedAndEmptyReports() throws IOException {
        assertSameReports("entries-mixed",
                List.of(WorkerReport.latency("leaf3", 2), WorkerReport.ejected("leaf11"),
                        WorkerReport.inFlight("leaf0", 3),
                        WorkerReport.inFlight("", 2)));
        assertSameReports("entries-none", List.of());
    }

    @Test
    void truncatesReportsAtMessageLimit() throws IOException {
        var tooManyReports = new ArrayList<WorkerReport>();
        for (int i = 0; i < 140; i++) {
            tooManyReports.add(WorkerReport.inFlight("w" + i, i % 8));
        }
        byte[] bytes = golden("entries-most");
        assertEquals(255, bytes.length);
        assertArrayEquals(bytes, GossipMessage.write(tooManyReports));
        assertEquals(tooManyReports.subList(0, 127), GossipMessage.readReports(bytes));
    }

    private static void assertSameNotice(String file, QuarantineNotice notice) throws IOException {
        byte[] bytes = golden(file);
        assertEquals(notice, GossipMessage.readQuarantine(bytes));
        assertTrue(GossipMessage.readReports(bytes).isEmpty());
        assertArrayEquals(bytes, GossipMessage.write(GossipMessage.readQuarantine(bytes)));
    }

    private static void assertSameReports(String file, List<WorkerReport> reports) throws IOException {
        byte[] bytes = golden(file);
        assertEquals(reports, GossipMessage.readReports(bytes));
        assertNull(GossipMessage.readQuarantine(bytes));
        assertArrayEquals(bytes, GossipMessage.write(GossipMessage.readReports(bytes)));
    }

    private static byte[] golden(String name) throws IOException {
        try (var file = GossipMessageGoldenTest.class.getResourceAsStream(GOLDEN_DIRECTORY + name + ".hex")) {
            return HexFormat.of().parseHex(new String(file.readAllBytes(), StandardCharsets.US_ASCII).strip());
        }
    }
}
