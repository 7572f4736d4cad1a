package wallmoor.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Rings kept up with each change are those made anew; gossip tells everything often enough, the new first. */
class ObserverRingsTest {
    @Property(tries = 50, seed = "2")
    void whoStandsOnThemIsAllThatCounts(@ForAll long seed) {
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
                changed.subjects(name); // puts them in their places now
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
        List<String> some = changed.sample(3, Set.of("m0"), random);
        assertEquals(Math.min(3, names.size() - (names.contains("m0") ? 1 : 0)), Set.copyOf(some).size());
        assertTrue(names.containsAll(some) && !some.contains("m0"));
    }

    @Example
    void eachPieceIsToldSoOftenAndNewerOnesFirst() {
        var gossip = new DisseminationQueue();
        for (int i = 0; i < 10; i++) {
            gossip.enqueue(new DisseminationQueue.Topic("m" + i, false));
        }
        var told = new ArrayList<MembershipUpdate>();
        for (int i = 0; i < 10; i++) { // room for three at a time
            var message = new ArrayList<MembershipUpdate>();
            gossip.appendTo(90, 2, p -> List.of(new MembershipUpdate.Announcement(p.name(), "a", 1, 1, false)),
                    message);
            assertTrue(message.size() <= 3);
            told.addAll(message);
            if (i == 1) {
                gossip.enqueue(new DisseminationQueue.Topic("m0", false));
                gossip.appendTo(30, 2, p -> List.of(new MembershipUpdate.Announcement(p.name(), "a", 1, 1, false)),
                        message);
                assertEquals("m6", message.get(message.size() - 1).name(), "what waits longest unsent");
                told.add(message.get(message.size() - 1));
            }
        }
        assertTrue(gossip.isEmpty());
        assertEquals(3, told.stream().filter(n -> n.name().equals("m0")).count());
        assertEquals(21, told.size());
    }
}
