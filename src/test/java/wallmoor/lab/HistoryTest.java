package wallmoor.lab;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.Test;
import wallmoor.lab.History.Contradiction;

/** Tests the search for contradictions on known histories, and the bounds of {@link Script}. */
public class HistoryTest {
    private static List<Contradiction> contradictions(History history, long end) {
        return history.contradictions(end, (a, b) -> !a.value().equals(b.value()));
    }

    @Test
    public void findsTheLongestContradictionOfAPairInAnyOrderOfRecords() {
        var history = new History();
        history.add("b", "settings", 30, 2);
        history.add("a", "settings", 0, 1);
        history.add("b", "settings", 0, 1);
        history.add("a", "settings", 50, 2);
        history.add("b", "settings", 60, 1);
        history.add("b", "settings", 65, 2);
        assertEquals(List.of(new Contradiction("a", "b", "settings", 30, 20)), contradictions(history, 100));
    }

    @Test
    public void findsNoContradictionWithANullValueOrAnotherSubject() {
        var history = new History();
        history.add("a", "settings", 0, 1);
        history.add("b", "settings", 0, null);
        history.add("b", "list", 0, 2);
        assertTrue(contradictions(history, 100).isEmpty());
        history.add("b", "settings", 40, 2);
        history.add("a", "settings", 70, null);
        assertEquals(30, contradictions(history, 100).get(0).nanos());
        assertNull(history.at("a", "settings", 80));
        assertEquals(1, history.at("a", "settings", 69));
    }

    @Test
    public void endsAnOpenContradictionAtTheEnd() {
        var history = new History();
        history.add("a", "list", 10, 1);
        history.add("b", "list", 10, 2);
        assertEquals(90, contradictions(history, 100).get(0).nanos());
    }

    @Test
    public void drawsTheSameFaultsFromASeedAndAffectsAMinorityAtATime() {
        for (long seed = 0; seed < 50; seed++) {
            var script = new Script(5, 6, 15_000, seed);
            assertEquals(script.faults(), new Script(5, 6, 15_000, seed).faults());
            for (Script.Fault f : script.faults()) {
                Set<Integer> affected = script.faults().stream().filter(g -> g.atMillis() <= f.atMillis()
                        && f.atMillis() < g.atMillis() + g.forMillis()).map(Script.Fault::who)
                        .collect(Collectors.toSet());
                assertTrue(script.faults().toString(), 2 * affected.size() < 5);
            }
        }
    }
}
