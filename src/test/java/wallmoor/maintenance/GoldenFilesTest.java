package wallmoor.maintenance;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.Test;
import wallmoor.versions.Kinds;

/** What the program before 3 December 2026 had gatherers agree on is read, and written again with the same bytes. */
public class GoldenFilesTest {
    private static List<String> lines(String name) throws IOException {
        try (InputStream in = GoldenFilesTest.class.getResourceAsStream("/golden/maintenance/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    @Test
    public void theDocumentsBodyAndFallbackAreReadAndWrittenAlike() throws Exception {
        List<String> lines = lines("documents.jsonl");
        var steps = new TreeSet<Step>();
        var rules = new TreeSet<Rule>();
        for (int i = 0; i < lines.size(); i += 2) {
            State state = Texts.read(Kinds.MAINTENANCE.read(lines.get(i)));
            assertEquals(lines.get(i), Texts.body(state));
            assertEquals(lines.get(i + 1), Texts.fallback(state));
            Kinds.MAINTENANCE.read(lines.get(i + 1));
            state.wishes().values().forEach(s -> {
                steps.add(s.step());
                s.why().forEach(r -> rules.add(r.rule()));
            });
        }
        assertEquals("every step has a wish", Set.of(Step.values()), steps);
        assertEquals("every rule has a reason", Set.of(Rule.values()), rules);
    }
}
