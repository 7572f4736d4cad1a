package wallmoor.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Rings after any sequence of changes equal newly created rings with the same members. */
class ObserverRingsTest {
    @Property(tries = 50, seed = "2")
    void observersDependOnlyOnCurrentMembers(@ForAll long seed) {
        var random = new Random(seed);
        var changed = new ObserverRings(8);
        var names = new TreeSet<String>();
        for (int i = 0; i < 80; i++) {
            String name = "m" + random.nextInt(40);
            if (random.nextInt(3) > 0) {
                names.add(name);
                changed.add(name);
            } else if (names.remove(name)) {
                changed.remove(name);
            }
            if (random.nextBoolean()) {
                changed.subjects(name); // applies the pending changes now
            }
        }
        var fresh = new ObserverRings(8);
        names.forEach(fresh::add);
        for (String name : names) {
            assertEquals(fresh.observers(name), changed.observers(name));
            assertTrue(fresh.observers(name).stream().allMatch(o -> fresh.subjects(o).contains(name)));
            assertEquals(names, changed.reachableFrom(name, (o, s) -> false, s -> 0));
            assertEquals(Set.of(name), changed.reachableFrom(name, (o, s) -> o.equals(name), s -> 0));
        }
        List<String> sample = changed.sample(3, Set.of("m0"), random);
        assertEquals(Math.min(3, names.size() - (names.contains("m0") ? 1 : 0)), Set.copyOf(sample).size());
        assertTrue(names.containsAll(sample) && !sample.contains("m0"));
    }
}
