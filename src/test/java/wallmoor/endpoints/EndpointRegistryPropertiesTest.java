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

/** Tests invariants of the registry over random sequences of the sources' events. */
class EndpointRegistryPropertiesTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int ENDPOINTS = 8;

    /**
     * An event and the pause that follows it.
     *
     * @param kind         which event, 0 to 9
     * @param endpoint     the number of the endpoint of an event with a single one
     * @param named        the numbers of the endpoints of a snapshot
     * @param pauseSeconds the time until the next event
     */
    private record Step(int kind, int endpoint, Set<Integer> named, int pauseSeconds) {}

    /** Applies events to a registry, and keeps the endpoints that a gatherer would know from the changes alone. */
    private static final class RegistryDriver {
        final EndpointRegistry registry = new EndpointRegistry(EndpointRegistryTest.POLICY);
        final Map<String, WorkerEndpoint> published = new TreeMap<>();
        /** The last state that the list reported of each endpoint. */
        final Map<String, EndpointState> claimedByList = new HashMap<>();
        long now = 1_000 * SECOND_MICROS;
        int changeCount;

        void applyChanges(List<EndpointChange> batch) {
            var changedIds = new HashSet<String>();
            for (EndpointChange change : batch) {
                changeCount++;
                assertTrue(changedIds.add(change.endpoint().id()), "each endpoint at most once");
                assertTrue(!change.cause().isEmpty(), "each change has a cause");
                if (change.endpoint().state() == EndpointState.GONE) {
                    assertTrue(published.remove(change.endpoint().id()) != null, "gone without having been published");
                } else {
                    published.put(change.endpoint().id(), change.endpoint());
                }
            }
            claimedByList.forEach((id, state) -> {
                if (state != EndpointState.SERVING) { // takes effect at once, and thus within the 2 s that are allowed
                    WorkerEndpoint endpoint = published.get(id);
                    assertTrue(endpoint == null || endpoint.state() != EndpointState.SERVING,
                            id + " serves although the list reports " + state);
                }
            });
            var addresses = new HashMap<String, String>();
            published.values().stream().filter(endpoint -> endpoint.state() == EndpointState.SERVING).forEach(
                    endpoint -> assertEquals(null, addresses.put(endpoint.address(), endpoint.id()),
                            "two endpoints serve at " + endpoint.address()));
        }

        void advance(long micros) {
            long end = now + micros;
            int changesBefore = changeCount;
            while (registry.nextTickAt() <= end) {
                now = Math.max(now + 1, registry.nextTickAt());
                applyChanges(registry.tick(now));
            }
            now = end;
            applyChanges(registry.tick(now));
            assertTrue(changeCount - changesBefore <= 4 * ENDPOINTS,
                    "no oscillation without events: " + (changeCount - changesBefore));
        }

        void run(Step step) {
            String id = "w" + step.endpoint;
            switch (step.kind) {
                case 0, 1, 2 -> reportFromDns(step.named);
                case 3 -> applyChanges(registry.apply(now, new WatchEvent.SourceFailure("dns", "SERVFAIL")));
                case 4 -> reportFromList(id, EndpointState.SERVING);
                case 5 -> reportFromList(id, EndpointState.DRAINING);
                case 6 -> reportFromList(id, EndpointState.GONE);
                case 7 -> {
                    claimedByList.keySet().forEach(k -> claimedByList.put(k, EndpointState.GONE));
                    step.named.forEach(n -> claimedByList.put("w" + n, EndpointState.SERVING));
                    applyChanges(registry.apply(now,
                            new WatchEvent.EndpointSnapshot("list", "whole", serving(step.named), true)));
                }
                case 8 -> applyChanges(registry.reportConnection(now, id, step.named.size() % 2 == 0));
                default -> reportFromDns(Set.of());
            }
            // a tombstone expires a while after the last DNS record; after that DNS may name the endpoint again
            advance(step.pauseSeconds * SECOND_MICROS);
        }

        private void reportFromList(String id, EndpointState state) {
            claimedByList.put(id, state);
            applyChanges(registry.apply(now,
                    new WatchEvent.EndpointDelta("list", "change", List.of(EndpointRegistryTest.entry(id, state, 0)))));
        }

        void reportFromDns(Set<Integer> named) {
            applyChanges(registry.apply(now, new WatchEvent.EndpointSnapshot("dns", "look-up", serving(named), false)));
        }
    }

    private static List<SourceEndpoint> serving(Set<Integer> named) {
        return named.stream().sorted().map(n -> EndpointRegistryTest.entry("w" + n, EndpointState.SERVING, 0)).toList();
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Set<Integer>> named = Arbitraries.integers().between(0, ENDPOINTS - 1).set().ofMaxSize(ENDPOINTS);
        return Combinators.combine(Arbitraries.integers().between(0, 9),
                Arbitraries.integers().between(0, ENDPOINTS - 1), named, Arbitraries.integers().between(0, 25))
                .as(Step::new).list().ofMaxSize(20);
    }

    /**
     * Guards against queries to an endpoint that the list drains or has removed, whatever DNS reports. No tombstone
     * expires within 20 steps of 25 s.
     */
    @Property(tries = 2000)
    void endpointDrainedByListNeverServes(@ForAll("steps") List<Step> steps) {
        var driver = new RegistryDriver();
        steps.forEach(driver::run);
    }

    /** Once the sources agree, the published endpoints depend only on that agreement, not on earlier events. */
    @Property(tries = 1000)
    void publishedEndpointsAreEqualOnceSourcesAgree(@ForAll("steps") List<Step> steps,
            @ForAll("steps") List<Step> otherSteps) {
        assertEquals(publishedAfterAgreement(steps), publishedAfterAgreement(otherSteps));
    }

    private static List<String> publishedAfterAgreement(List<Step> steps) {
        var driver = new RegistryDriver();
        steps.forEach(driver::run);
        Set<Integer> agreed = Set.of(0, 2, 3, 6);
        driver.claimedByList.keySet().forEach(k -> driver.claimedByList.put(k, EndpointState.GONE));
        agreed.forEach(n -> driver.claimedByList.put("w" + n, EndpointState.SERVING));
        for (int i = 0; i < 6; i++) {
            driver.applyChanges(driver.registry.apply(driver.now,
                    new WatchEvent.EndpointSnapshot("list", "whole", serving(agreed), true)));
            driver.reportFromDns(agreed);
            driver.advance(30 * SECOND_MICROS);
        }
        var ids = new ArrayList<String>();
        driver.published.values().forEach(endpoint -> ids.add(endpoint.id() + " " + endpoint.state()));
        return ids;
    }

    /** Guards against a leak: no state remains of endpoints that went long ago. */
    @Property(tries = 200)
    void noStateRemainsOfEndpointsGoneLongAgo(@ForAll("steps") List<Step> steps) {
        var driver = new RegistryDriver();
        steps.forEach(driver::run);
        driver.claimedByList.clear();
        for (int i = 0; i < 60; i++) {
            driver.applyChanges(
                    driver.registry.apply(driver.now,
                            new WatchEvent.EndpointSnapshot("list", "whole", List.of(), true)));
            driver.reportFromDns(Set.of());
            driver.advance(60 * SECOND_MICROS);
        }
        assertEquals(List.of(), driver.registry.endpointStatuses());
        assertEquals(0, driver.registry.retainedEndpoints());
    }
}
