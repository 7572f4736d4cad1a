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

/** What the program before 3 December 2026 had gatherers agree on is read, and written again with the same bytes. */
public class MaintenanceGoldenFilesTest {
    private static List<String> lines(String name) throws IOException {
        try (InputStream in = MaintenanceGoldenFilesTest.class.getResourceAsStream("/golden/maintenance/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    @Test
    public void theDocumentsBodyAndFallbackAreReadAndWrittenAlike() throws Exception {
        List<String> lines = lines("documents.jsonl");
        var steps = new TreeSet<MaintenanceStage>();
        var rules = new TreeSet<MaintenanceRule>();
        for (int i = 0; i < lines.size(); i += 2) {
            MaintenanceState state = MaintenanceCodec.decode(DocumentSchemas.MAINTENANCE.parse(lines.get(i)));
            assertEquals(lines.get(i), MaintenanceCodec.body(state));
            assertEquals(lines.get(i + 1), MaintenanceCodec.fallback(state));
            DocumentSchemas.MAINTENANCE.parse(lines.get(i + 1));
            state.requests().values().forEach(s -> {
                steps.add(s.stage());
                s.reasons().forEach(r -> rules.add(r.rule()));
            });
        }
        assertEquals("every step has a wish", Set.of(MaintenanceStage.values()), steps);
        assertEquals("every rule has a reason", Set.of(MaintenanceRule.values()), rules);
    }
}
