package wallmoor.maintenance;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.Test;
import wallmoor.rules.DocumentSchemas;

/**
 * Guards against changes of the stored form: documents written by versions before 3 December 2026 are decoded, and
 * encoded again with the same bytes.
 */
public class MaintenanceGoldenFilesTest {
    private static List<String> lines(String name) throws IOException {
        try (InputStream in = MaintenanceGoldenFilesTest.class.getResourceAsStream("/golden/maintenance/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    @Test
    public void readsAndWritesStoredDocumentsByteForByte() throws Exception {
        List<String> lines = lines("documents.jsonl");
        var stages = new TreeSet<MaintenanceStage>();
        var rules = new TreeSet<MaintenanceRule>();
        for (int i = 0; i < lines.size(); i += 2) {
            MaintenanceState state = MaintenanceCodec.decode(DocumentSchemas.MAINTENANCE.parse(lines.get(i)));
            assertEquals(lines.get(i), MaintenanceCodec.body(state));
            assertEquals(lines.get(i + 1), MaintenanceCodec.fallback(state));
            DocumentSchemas.MAINTENANCE.parse(lines.get(i + 1));
            state.requests().values().forEach(s -> {
                stages.add(s.stage());
                s.reasons().forEach(r -> rules.add(r.rule()));
            });
        }
        assertEquals("the golden file covers every stage", Set.of(MaintenanceStage.values()), stages);
        assertEquals("the golden file covers every rule", Set.of(MaintenanceRule.values()), rules);
    }
}
