package wallmoor.endpoints;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.Test;
import wallmoor.core.WorkerEndpoint;
import wallmoor.core.WorkerEndpoint.EndpointState;

/** Tests each rule for sources that disagree, with a clock that the test advances. */
public class EndpointRegistryTest {
    static final long SECOND_MICROS = 1_000_000;
    static final RegistryPolicy POLICY = RegistryPolicy
            .of(List.of(new SourcePolicy("list", true, 0, 1, 1000),
                    new SourcePolicy("dns", false, 60 * SECOND_MICROS, 0.2, 1000)));

    private final EndpointRegistry registry = new EndpointRegistry(POLICY);
    private final Map<String, WorkerEndpoint> published = new TreeMap<>();
    private final Map<String, String> causes = new LinkedHashMap<>();
    private long now = 1_000 * SECOND_MICROS;

    static SourceEndpoint entry(String id, EndpointState state, int tier) {
        return new SourceEndpoint(id, "127.0.0.1:" + (9000 + Integer.parseInt(id.replaceAll("\\D", ""))), 0, 0, 0,
                state, 1,
                SourceEndpoint.UNKNOWN_START, tier);
    }

    static List<SourceEndpoint> serving(String... ids) {
        return java.util.Arrays.stream(ids).map(id -> entry(id, EndpointState.SERVING, 0)).toList();
    }

    private void applyEvent(WatchEvent event) {
        applyChanges(registry.apply(now, event));
    }

    private void reportFromDns(String... ids) {
        applyEvent(new WatchEvent.EndpointSnapshot("dns", "look-up", serving(ids), false));
    }

    private void reportFromList(int revision, SourceEndpoint... entries) {
        applyEvent(new WatchEvent.EndpointDelta("list", "revision " + revision, List.of(entries)));
    }

    private void advanceSeconds(long seconds) {
        long end = now + seconds * SECOND_MICROS;
        while (registry.nextTickAt() <= end) {
            now = Math.max(now + 1, registry.nextTickAt());
            applyChanges(registry.tick(now));
        }
        now = end;
        applyChanges(registry.tick(now));
    }

    private void applyChanges(List<EndpointChange> changes) {
        for (EndpointChange change : changes) {
            causes.put(change.endpoint().id(), change.cause());
            if (change.endpoint().state() == EndpointState.GONE) {
                published.remove(change.endpoint().id());
            } else {
                published.put(change.endpoint().id(), change.endpoint());
            }
        }
    }

    private List<String> servingIds() {
        return published.values().stream().filter(endpoint -> endpoint.state() == EndpointState.SERVING)
                .map(WorkerEndpoint::id).toList();
    }

    private EndpointState state(String id) {
        return published.containsKey(id) ? published.get(id).state() : EndpointState.GONE;
    }

    @Test
    public void listDrainAndRemovalOverrideDnsUnderAnyId() {
        reportFromDns("w1", "w2");
        reportFromList(43, entry("w1", EndpointState.DRAINING, 0));
        assertEquals(EndpointState.DRAINING, state("w1"));
        assertEquals("drained by list at revision 43", causes.get("w1"));
        reportFromDns("w1", "w2");
        advanceSeconds(30);
        reportFromDns("w1", "w2");
        assertEquals("a DNS record does not bring it back", List.of("w2"), servingIds());
        // the same machine under an id that only DNS has: its address is drained, too
        var alias = new SourceEndpoint("alias", entry("w1", EndpointState.SERVING, 0).address(), 0, 0, 0,
                EndpointState.SERVING, 1,
                SourceEndpoint.UNKNOWN_START, 0);
        applyEvent(new WatchEvent.EndpointSnapshot("dns", "look-up",
                List.of(alias, entry("w2", EndpointState.SERVING, 0)), false));
        assertEquals(List.of("w2"), servingIds());
        reportFromList(44, entry("w1", EndpointState.GONE, 0));
        for (int i = 0; i < 50; i++) {
            advanceSeconds(20);
            reportFromDns("w1", "w2");
        }
        assertEquals("gone at revision 44, although DNS still names it", List.of("w2"), servingIds());
        reportFromList(45, entry("w1", EndpointState.SERVING, 0));
        assertEquals(List.of("w1", "w2"), servingIds());
        assertEquals("started now, as the list names it again", now, published.get("w1").upSince());
    }

    @Test
    public void tombstoneExpiresAWhileAfterLastDnsRecord() {
        reportFromDns("w1", "w2");
        reportFromList(1, entry("w1", EndpointState.SERVING, 0), entry("w2", EndpointState.SERVING, 0));
        reportFromList(2, entry("w1", EndpointState.GONE, 0));
        for (int i = 0; i < 5; i++) { // one of two DNS servers is stale, so that the record comes and goes
            reportFromDns("w2");
            advanceSeconds(20);
            reportFromDns("w1", "w2");
            advanceSeconds(20);
        }
        assertEquals(List.of("w2"), servingIds());
        for (int i = 0; i < 60; i++) {
            reportFromDns("w2");
            advanceSeconds(20);
        }
        reportFromDns("w1", "w2");
        advanceSeconds(400);
        reportFromDns("w1", "w2");
        assertEquals("accepted again after the tombstone expired", List.of("w1", "w2"), servingIds());
    }

    @Test
    public void endpointsDrainGraduallyAfterSourceFailsForMaxStaleness() {
        String[] tenIds = IntStream.range(0, 10).mapToObj(i -> "w" + i).toArray(String[]::new);
        reportFromDns(tenIds);
        applyEvent(new WatchEvent.SourceFailure("dns", "SERVFAIL"));
        advanceSeconds(59);
        assertEquals(10, servingIds().size());
        advanceSeconds(2);
        assertEquals("a fifth at a time", 8, servingIds().size());
        assertEquals("draining, not gone", EndpointState.DRAINING, state("w0"));
        assertTrue(causes.get("w0"), causes.get("w0").contains("no report from dns for more than 60 s"));
        advanceSeconds(10);
        assertEquals(7, servingIds().size());
        reportFromDns(tenIds);
        assertEquals("all serve again with the source", 10, servingIds().size());
        assertEquals("started now", now, published.get("w0").upSince());
        assertEquals("the others never stopped serving", 0, published.get("w9").upSince());
        advanceSeconds(200);
        assertEquals(0, published.size());
    }

    @Test
    public void emptyOrMuchSmallerSnapshotNeedsConfirmation() {
        String[] tenIds = IntStream.range(0, 10).mapToObj(i -> "w" + i).toArray(String[]::new);
        reportFromDns(tenIds);
        reportFromDns();
        advanceSeconds(20);
        assertEquals("one empty snapshot removes nothing", 10, servingIds().size());
        reportFromDns(tenIds);
        reportFromDns("w0", "w1", "w2");
        assertEquals("two may be removed at once", 8, servingIds().size());
        advanceSeconds(30);
        assertEquals("the others wait for confirmation", 8, servingIds().size());
        reportFromDns("w0", "w1", "w2");
        reportFromDns("w0", "w1", "w2");
        advanceSeconds(45);
        assertEquals("confirmed, and removed in steps", 3, servingIds().size());
        reportFromDns(tenIds);
        applyEvent(new WatchEvent.EndpointSnapshot("dns", "not offered", List.of(), true));
        assertEquals("an authoritative snapshot needs no confirmation", 0, servingIds().size());
    }

    @Test
    public void listRemovalConfirmsMissingDnsRecordsAtOnce() {
        reportFromDns("w0", "w1", "w2", "w3", "w4");
        applyEvent(new WatchEvent.EndpointSnapshot("list", "revision 1", fiveServing(), true));
        reportFromDns();
        applyEvent(new WatchEvent.EndpointSnapshot("list", "revision 2", List.of(), true));
        assertEquals(0, servingIds().size());
    }

    private static List<SourceEndpoint> fiveServing() {
        return serving("w0", "w1", "w2", "w3", "w4");
    }

    @Test
    public void addressBelongsToLastClaimant() {
        reportFromDns("w1", "w2");
        var successor = new SourceEndpoint("w7", entry("w1", EndpointState.SERVING, 0).address(), 0, 0, 1,
                EndpointState.SERVING, 1, SourceEndpoint.UNKNOWN_START,
                0);
        advanceSeconds(5);
        applyEvent(new WatchEvent.EndpointSnapshot("dns", "look-up",
                List.of(entry("w1", EndpointState.SERVING, 0), entry("w2", EndpointState.SERVING, 0),
                        successor),
                false));
        assertEquals("the outdated record does not serve", List.of("w2", "w7"), servingIds());
        assertTrue(causes.get("w1"), causes.get("w1").contains("w7's"));
        // two claims in one snapshot contradict each other: neither serves
        SourceEndpoint first = new SourceEndpoint("a8", "127.0.0.1:8", 0, 0, 0, EndpointState.SERVING, 1,
                SourceEndpoint.UNKNOWN_START, 0);
        SourceEndpoint second = new SourceEndpoint("b8", "127.0.0.1:8", 0, 0, 1, EndpointState.SERVING, 1,
                SourceEndpoint.UNKNOWN_START, 0);
        applyEvent(new WatchEvent.EndpointSnapshot("dns", "look-up",
                List.of(entry("w2", EndpointState.SERVING, 0), successor, first, second), false));
        assertEquals(List.of("w2", "w7"), servingIds());
    }

    @Test
    public void unreachableAddressIsSuppressedForGrowingBoundedTime() {
        reportFromDns("w1", "w2", "w3", "w4");
        reportFromList(1, entry("w2", EndpointState.SERVING, 0));
        for (int i = 0; i < 4; i++) {
            advanceSeconds(1);
            applyChanges(registry.reportConnection(now, "w1", false));
            applyChanges(registry.reportConnection(now, "w2", false));
        }
        assertEquals("endpoints of the list are left to the decision module", List.of("w2", "w3", "w4"), servingIds());
        advanceSeconds(6);
        assertEquals(List.of("w1", "w2", "w3", "w4"), servingIds());
        assertEquals("started at its return", (float) now - SECOND_MICROS, (float) published.get("w1").upSince(),
                (float) SECOND_MICROS);
        applyChanges(registry.reportConnection(now, "w1", false));
        advanceSeconds(8);
        assertEquals("suppressed for twice as long", 3, servingIds().size());
        advanceSeconds(3);
        applyChanges(registry.reportConnection(now, "w1", true));
        assertEquals(4, servingIds().size());
        for (String id : List.of("w1", "w3", "w4")) { // all at once: the fault is likely on this side
            for (int i = 0; i < 4; i++) {
                advanceSeconds(1);
                applyChanges(registry.reportConnection(now, id, false));
            }
        }
        assertTrue(servingIds().toString(), servingIds().size() >= 2);
    }

    @Test
    public void flappingEndpointIsSuppressedForGrowingTime() {
        String[] otherIds = {"w2", "w3", "w4", "w5", "w6", "w7"};
        reportFromDns("w1", "w2", "w3", "w4", "w5", "w6", "w7");
        var suppressedSeconds = new ArrayList<Long>();
        for (int i = 0; i < 8; i++) {
            advanceSeconds(11);
            reportFromDns(otherIds);
            advanceSeconds(1);
            reportFromDns("w1", "w2", "w3", "w4", "w5", "w6", "w7");
            long returnedAt = now;
            while (state("w1") != EndpointState.SERVING) {
                advanceSeconds(1);
                reportFromDns("w1", "w2", "w3", "w4", "w5", "w6", "w7"); // the source keeps reporting
            }
            suppressedSeconds.add((now - returnedAt) / SECOND_MICROS);
        }
        assertEquals(List.of(0L, 5L, 10L, 20L, 40L, 80L, 160L, 300L), suppressedSeconds);
    }

    @Test
    public void higherTierServesOnlyWithoutLowerTier() {
        applyEvent(new WatchEvent.EndpointSnapshot("dns", "look-up",
                List.of(entry("w1", EndpointState.SERVING, 10), entry("w2", EndpointState.SERVING, 10),
                        entry("w3", EndpointState.SERVING, 20)),
                false));
        assertEquals(List.of("w1", "w2"), servingIds());
        reportFromList(1, entry("w1", EndpointState.DRAINING, 0));
        assertEquals(List.of("w2"), servingIds());
        reportFromList(2, entry("w2", EndpointState.DRAINING, 0));
        assertEquals(List.of("w3"), servingIds());
        reportFromList(3, entry("w2", EndpointState.SERVING, 0));
        assertEquals(List.of("w2"), servingIds());
        assertEquals(EndpointState.DRAINING, state("w3"));
    }

    @Test
    public void rejectedEventChangesNothing() {
        reportFromDns("w1");
        assertThrows(RejectedWatchEventException.class,
                () -> applyEvent(new WatchEvent.EndpointSnapshot("dns", "x", serving("w2", "w2"), false)));
        assertThrows(RejectedWatchEventException.class, () -> applyEvent(new WatchEvent.EndpointsUnchanged("nobody")));
        String[] tooManyIds = IntStream.range(0, 1001).mapToObj(i -> "w" + i).toArray(String[]::new);
        assertThrows(RejectedWatchEventException.class, () -> reportFromDns(tooManyIds));
        assertEquals(List.of("w1"), servingIds());
        assertEquals("not counted as started at the first report", 0, published.get("w1").upSince());
    }
}
