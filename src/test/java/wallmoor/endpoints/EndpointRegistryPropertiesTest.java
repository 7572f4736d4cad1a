package wallmoor.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import wallmoor.core.WorkerEndpoint;
import wallmoor.core.WorkerEndpoint.EndpointState;

/** What holds whatever the sources say and in whatever order, over random interleavings of their news. */
class EndpointRegistryPropertiesTest {
    private static final long SECOND = 1_000_000;
    private static final int NODES = 8;

    /** Something that happens after a while. */
    private record Step(int kind, int node, Set<Integer> named, int after) {}

    /** What a gatherer would hold: it is told of changes only. */
    private static final class RegistryDriver {
        final EndpointRegistry registry = new EndpointRegistry(EndpointRegistryTest.POLICY);
        final Map<String, WorkerEndpoint> held = new TreeMap<>();
        /** What the list said last, for the nodes that it drains or has removed while a record may still live. */
        final Map<String, EndpointState> claimedByList = new HashMap<>();
        long now = 1_000 * SECOND;
        int changes;

        void applyChanges(List<EndpointChange> all) {
            var named = new HashSet<String>();
            for (EndpointChange c : all) {
                changes++;
                assertTrue(named.add(c.endpoint().id()), "each node once at most");
                assertTrue(!c.cause().isEmpty(), "each change with its cause");
                if (c.endpoint().state() == EndpointState.GONE) {
                    assertTrue(held.remove(c.endpoint().id()) != null, "gone that was never there");
                } else {
                    held.put(c.endpoint().id(), c.endpoint());
                }
            }
            claimedByList.forEach((id, state) -> {
                if (state != EndpointState.SERVING) { // at once, hence within 2 s
                    WorkerEndpoint m = held.get(id);
                    assertTrue(m == null || m.state() != EndpointState.SERVING,
                            id + " serves though the list says " + state);
                }
            });
            var addresses = new HashMap<String, String>();
            held.values().stream().filter(m -> m.state() == EndpointState.SERVING).forEach(
                    m -> assertEquals(null, addresses.put(m.address(), m.id()), "two serve at " + m.address()));
        }

        void pass(long micros) {
            long end = now + micros;
            int before = changes;
            while (registry.nextTickAt() <= end) {
                now = Math.max(now + 1, registry.nextTickAt());
                applyChanges(registry.tick(now));
            }
            now = end;
            applyChanges(registry.tick(now));
            assertTrue(changes - before <= 4 * NODES, "no oscillation without news: " + (changes - before));
        }

        void run(Step h) {
            String id = "w" + h.node;
            switch (h.kind) {
                case 0, 1, 2 -> dns(h.named);
                case 3 -> applyChanges(registry.apply(now, new WatchEvent.SourceFailure("dns", "SERVFAIL")));
                case 4 -> list(id, EndpointState.SERVING);
                case 5 -> list(id, EndpointState.DRAINING);
                case 6 -> list(id, EndpointState.GONE);
                case 7 -> {
                    claimedByList.keySet().forEach(k -> claimedByList.put(k, EndpointState.GONE));
                    h.named.forEach(n -> claimedByList.put("w" + n, EndpointState.SERVING));
                    applyChanges(registry.apply(now,
                            new WatchEvent.EndpointSnapshot("list", "whole", entries(h.named), true)));
                }
                case 8 -> applyChanges(registry.reportConnection(now, id, h.named.size() % 2 == 0));
                default -> dns(Set.of());
            }
            // a tomb is forgotten a while after its last record: from then on DNS may speak again
            pass(h.after * SECOND);
        }

        private void list(String id, EndpointState state) {
            claimedByList.put(id, state);
            applyChanges(registry.apply(now,
                    new WatchEvent.EndpointDelta("list", "change", List.of(EndpointRegistryTest.entry(id, state, 0)))));
        }

        void dns(Set<Integer> named) {
            applyChanges(registry.apply(now, new WatchEvent.EndpointSnapshot("dns", "look-up", entries(named), false)));
        }
    }

    private static List<SourceEndpoint> entries(Set<Integer> named) {
        return named.stream().sorted().map(n -> EndpointRegistryTest.entry("w" + n, EndpointState.SERVING, 0)).toList();
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Set<Integer>> named = Arbitraries.integers().between(0, NODES - 1).set().ofMaxSize(NODES);
        return Combinators.combine(Arbitraries.integers().between(0, 9), Arbitraries.integers().between(0, NODES - 1),
                named, Arbitraries.integers().between(0, 25)).as(Step::new).list().ofMaxSize(20);
    }

    /** No work for a node that the list drains, whatever DNS says; within 20 steps of 25 s no tomb runs out. */
    @Property(tries = 2000)
    void whatTheListDrainsServesAtNoMoment(@ForAll("steps") List<Step> all) {
        var driver = new RegistryDriver();
        all.forEach(driver::run);
    }

    /** Once the sources agree, the members are those they agree on, whatever went before. */
    @Property(tries = 1000)
    void membershipEndsEqualOnceSourcesAgree(@ForAll("steps") List<Step> all,
            @ForAll("steps") List<Step> other) {
        assertEquals(ending(all), ending(other));
    }

    private static List<String> ending(List<Step> all) {
        var driver = new RegistryDriver();
        all.forEach(driver::run);
        Set<Integer> agreed = Set.of(0, 2, 3, 6);
        driver.claimedByList.keySet().forEach(k -> driver.claimedByList.put(k, EndpointState.GONE));
        agreed.forEach(n -> driver.claimedByList.put("w" + n, EndpointState.SERVING));
        for (int i = 0; i < 6; i++) {
            driver.applyChanges(driver.registry.apply(driver.now,
                    new WatchEvent.EndpointSnapshot("list", "whole", entries(agreed), true)));
            driver.dns(agreed);
            driver.pass(30 * SECOND);
        }
        var ids = new ArrayList<String>();
        driver.held.values().forEach(m -> ids.add(m.id() + " " + m.state()));
        return ids;
    }

    /** Nothing is kept for nodes that went long ago. */
    @Property(tries = 200)
    void whatIsGoneIsForgotten(@ForAll("steps") List<Step> all) {
        var driver = new RegistryDriver();
        all.forEach(driver::run);
        driver.claimedByList.clear();
        for (int i = 0; i < 60; i++) {
            driver.applyChanges(
                    driver.registry.apply(driver.now,
                            new WatchEvent.EndpointSnapshot("list", "whole", List.of(), true)));
            driver.dns(Set.of());
            driver.pass(60 * SECOND);
        }
        assertEquals(List.of(), driver.registry.endpointStatuses());
        assertEquals(0, driver.registry.retainedEndpoints());
    }
}
