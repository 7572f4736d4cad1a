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

/** The rules for sources that disagree, one by one, on a hand-turned clock. */
public class EndpointRegistryTest {
    static final long SECOND = 1_000_000;
    static final RegistryPolicy POLICY = RegistryPolicy
            .of(List.of(new SourcePolicy("list", true, 0, 1, 1000),
                    new SourcePolicy("dns", false, 60 * SECOND, 0.2, 1000)));

    private final EndpointRegistry registry = new EndpointRegistry(POLICY);
    private final Map<String, WorkerEndpoint> members = new TreeMap<>();
    private final Map<String, String> causes = new LinkedHashMap<>();
    private long now = 1_000 * SECOND;

    static SourceEndpoint entry(String id, EndpointState state, int tier) {
        return new SourceEndpoint(id, "127.0.0.1:" + (9000 + Integer.parseInt(id.replaceAll("\\D", ""))), 0, 0, 0,
                state, 1,
                SourceEndpoint.UNKNOWN_START, tier);
    }

    static List<SourceEndpoint> serving(String... ids) {
        return java.util.Arrays.stream(ids).map(id -> entry(id, EndpointState.SERVING, 0)).toList();
    }

    private void take(WatchEvent news) {
        applyChanges(registry.apply(now, news));
    }

    private void dns(String... ids) {
        take(new WatchEvent.EndpointSnapshot("dns", "look-up", serving(ids), false));
    }

    private void list(int revision, SourceEndpoint... entries) {
        take(new WatchEvent.EndpointDelta("list", "revision " + revision, List.of(entries)));
    }

    private void pass(long seconds) {
        long end = now + seconds * SECOND;
        while (registry.nextTickAt() <= end) {
            now = Math.max(now + 1, registry.nextTickAt());
            applyChanges(registry.tick(now));
        }
        now = end;
        applyChanges(registry.tick(now));
    }

    private void applyChanges(List<EndpointChange> changes) {
        for (EndpointChange c : changes) {
            causes.put(c.endpoint().id(), c.cause());
            if (c.endpoint().state() == EndpointState.GONE) {
                members.remove(c.endpoint().id());
            } else {
                members.put(c.endpoint().id(), c.endpoint());
            }
        }
    }

    private List<String> serve() {
        return members.values().stream().filter(m -> m.state() == EndpointState.SERVING).map(WorkerEndpoint::id)
                .toList();
    }

    private EndpointState state(String id) {
        return members.containsKey(id) ? members.get(id).state() : EndpointState.GONE;
    }

    @Test
    public void theListOutranksDnsOnLeavingUnderWhateverName() {
        dns("w1", "w2");
        list(43, entry("w1", EndpointState.DRAINING, 0));
        assertEquals(EndpointState.DRAINING, state("w1"));
        assertEquals("drained by list at revision 43", causes.get("w1"));
        dns("w1", "w2");
        pass(30);
        dns("w1", "w2");
        assertEquals("a living record does not bring it back", List.of("w2"), serve());
        // the same machine under a name that only DNS has: who claims its address is not believed either
        var alias = new SourceEndpoint("alias", entry("w1", EndpointState.SERVING, 0).address(), 0, 0, 0,
                EndpointState.SERVING, 1,
                SourceEndpoint.UNKNOWN_START, 0);
        take(new WatchEvent.EndpointSnapshot("dns", "look-up", List.of(alias, entry("w2", EndpointState.SERVING, 0)),
                false));
        assertEquals(List.of("w2"), serve());
        list(44, entry("w1", EndpointState.GONE, 0));
        for (int i = 0; i < 50; i++) {
            pass(20);
            dns("w1", "w2");
        }
        assertEquals("gone at revision 44, and named all the while", List.of("w2"), serve());
        list(45, entry("w1", EndpointState.SERVING, 0));
        assertEquals(List.of("w1", "w2"), serve());
        assertEquals("back by the list's word, cold from then", now, members.get("w1").upSince());
    }

    @Test
    public void aTombEndsOnlyAWhileAfterTheLastRecord() {
        dns("w1", "w2");
        list(1, entry("w1", EndpointState.SERVING, 0), entry("w2", EndpointState.SERVING, 0));
        list(2, entry("w1", EndpointState.GONE, 0));
        for (int i = 0; i < 5; i++) { // one server is stale, the other is not: it comes and goes
            dns("w2");
            pass(20);
            dns("w1", "w2");
            pass(20);
        }
        assertEquals(List.of("w2"), serve());
        for (int i = 0; i < 60; i++) {
            dns("w2");
            pass(20);
        }
        dns("w1", "w2");
        pass(400);
        dns("w1", "w2");
        assertEquals("another life, long after", List.of("w1", "w2"), serve());
    }

    @Test
    public void aSourceThatFailsSaysNothingUpToAnAgeThenItsNodesLeaveGently() {
        String[] ten = IntStream.range(0, 10).mapToObj(i -> "w" + i).toArray(String[]::new);
        dns(ten);
        take(new WatchEvent.SourceFailure("dns", "SERVFAIL"));
        pass(59);
        assertEquals(10, serve().size());
        pass(2);
        assertEquals("a fifth in a step", 8, serve().size());
        assertEquals("draining, not cut off", EndpointState.DRAINING, state("w0"));
        assertTrue(causes.get("w0"), causes.get("w0").contains("no report from dns for more than 60 s"));
        pass(10);
        assertEquals(7, serve().size());
        dns(ten);
        assertEquals("all back with the source", 10, serve().size());
        assertEquals("cold from then", now, members.get("w0").upSince());
        assertEquals("the others never left", 0, members.get("w9").upSince());
        pass(200);
        assertEquals(0, members.size());
    }

    @Test
    public void anEmptyOrMuchSmallerReplyIsConfirmedFirst() {
        String[] ten = IntStream.range(0, 10).mapToObj(i -> "w" + i).toArray(String[]::new);
        dns(ten);
        dns();
        pass(20);
        assertEquals("nothing leaves on one empty reply", 10, serve().size());
        dns(ten);
        dns("w0", "w1", "w2");
        assertEquals("two may leave at once", 8, serve().size());
        pass(30);
        assertEquals("the rest waits for confirmation", 8, serve().size());
        dns("w0", "w1", "w2");
        dns("w0", "w1", "w2");
        pass(45);
        assertEquals("confirmed: they leave in steps", 3, serve().size());
        dns(ten);
        take(new WatchEvent.EndpointSnapshot("dns", "not offered", List.of(), true));
        assertEquals("an explicit word needs no confirmation", 0, serve().size());
    }

    @Test
    public void theListConfirmsAtOnceWhatDnsDropped() {
        dns("w0", "w1", "w2", "w3", "w4");
        take(new WatchEvent.EndpointSnapshot("list", "revision 1", serve0(), true));
        dns();
        take(new WatchEvent.EndpointSnapshot("list", "revision 2", List.of(), true));
        assertEquals(0, serve().size());
    }

    private static List<SourceEndpoint> serve0() {
        return serving("w0", "w1", "w2", "w3", "w4");
    }

    @Test
    public void anAddressBelongsToWhoeverClaimedItLast() {
        dns("w1", "w2");
        var taken = new SourceEndpoint("w7", entry("w1", EndpointState.SERVING, 0).address(), 0, 0, 1,
                EndpointState.SERVING, 1, SourceEndpoint.UNKNOWN_START,
                0);
        pass(5);
        take(new WatchEvent.EndpointSnapshot("dns", "look-up",
                List.of(entry("w1", EndpointState.SERVING, 0), entry("w2", EndpointState.SERVING, 0),
                        taken),
                false));
        assertEquals("the record that outlives its node holds nothing", List.of("w2", "w7"), serve());
        assertTrue(causes.get("w1"), causes.get("w1").contains("w7's"));
        // two that come together contradict each other: neither is believed
        SourceEndpoint one = new SourceEndpoint("a8", "127.0.0.1:8", 0, 0, 0, EndpointState.SERVING, 1,
                SourceEndpoint.UNKNOWN_START, 0);
        SourceEndpoint two = new SourceEndpoint("b8", "127.0.0.1:8", 0, 0, 1, EndpointState.SERVING, 1,
                SourceEndpoint.UNKNOWN_START, 0);
        take(new WatchEvent.EndpointSnapshot("dns", "look-up",
                List.of(entry("w2", EndpointState.SERVING, 0), taken, one, two), false));
        assertEquals(List.of("w2", "w7"), serve());
    }

    @Test
    public void aDeadAddressIsHeldOutForAGrowingBoundedTime() {
        dns("w1", "w2", "w3", "w4");
        list(1, entry("w2", EndpointState.SERVING, 0));
        for (int i = 0; i < 4; i++) {
            pass(1);
            applyChanges(registry.reportConnection(now, "w1", false));
            applyChanges(registry.reportConnection(now, "w2", false));
        }
        assertEquals("the list's nodes are the module's to judge", List.of("w2", "w3", "w4"), serve());
        pass(6);
        assertEquals(List.of("w1", "w2", "w3", "w4"), serve());
        assertEquals("tried again as a cold one", (float) now - SECOND, (float) members.get("w1").upSince(),
                (float) SECOND);
        applyChanges(registry.reportConnection(now, "w1", false));
        pass(8);
        assertEquals("twice as long", 3, serve().size());
        pass(3);
        applyChanges(registry.reportConnection(now, "w1", true));
        assertEquals(4, serve().size());
        for (String id : List.of("w1", "w3", "w4")) { // all at once: the fault is nearer than they are
            for (int i = 0; i < 4; i++) {
                pass(1);
                applyChanges(registry.reportConnection(now, id, false));
            }
        }
        assertTrue(serve().toString(), serve().size() >= 2);
    }

    @Test
    public void aFlappingNodeIsHeldDownForAGrowingTime() {
        String[] others = {"w2", "w3", "w4", "w5", "w6", "w7"};
        dns("w1", "w2", "w3", "w4", "w5", "w6", "w7");
        var held = new ArrayList<Long>();
        for (int i = 0; i < 8; i++) {
            pass(11);
            dns(others);
            pass(1);
            dns("w1", "w2", "w3", "w4", "w5", "w6", "w7");
            long from = now;
            while (state("w1") != EndpointState.SERVING) {
                pass(1);
                dns("w1", "w2", "w3", "w4", "w5", "w6", "w7"); // the source is heard all the while
            }
            held.add((now - from) / SECOND);
        }
        assertEquals(List.of(0L, 5L, 10L, 20L, 40L, 80L, 160L, 300L), held);
    }

    @Test
    public void tiersStandByForTheirCell() {
        take(new WatchEvent.EndpointSnapshot("dns", "look-up",
                List.of(entry("w1", EndpointState.SERVING, 10), entry("w2", EndpointState.SERVING, 10),
                        entry("w3", EndpointState.SERVING, 20)),
                false));
        assertEquals(List.of("w1", "w2"), serve());
        list(1, entry("w1", EndpointState.DRAINING, 0));
        assertEquals(List.of("w2"), serve());
        list(2, entry("w2", EndpointState.DRAINING, 0));
        assertEquals(List.of("w3"), serve());
        list(3, entry("w2", EndpointState.SERVING, 0));
        assertEquals(List.of("w2"), serve());
        assertEquals(EndpointState.DRAINING, state("w3"));
    }

    @Test
    public void newsThatCannotBeTakenChangesNothing() {
        dns("w1");
        assertThrows(RejectedWatchEventException.class,
                () -> take(new WatchEvent.EndpointSnapshot("dns", "x", serving("w2", "w2"), false)));
        assertThrows(RejectedWatchEventException.class, () -> take(new WatchEvent.EndpointsUnchanged("nobody")));
        String[] many = IntStream.range(0, 1001).mapToObj(i -> "w" + i).toArray(String[]::new);
        assertThrows(RejectedWatchEventException.class, () -> dns(many));
        assertEquals(List.of("w1"), serve());
        assertEquals("not cold at first load", 0, members.get("w1").upSince());
    }
}
