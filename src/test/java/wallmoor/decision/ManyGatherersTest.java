package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Several policies on one clock, as gatherers that share only discovery and the workers. */
class ManyGatherersTest {
    private static final long MS = PolicyHarness.MS;
    private static final int GATHERERS = 14;

    private static List<PolicyHarness> gatherers(PolicyHarness.SiteSettings site) {
        var harnesses = new ArrayList<PolicyHarness>();
        for (int i = 0; i < GATHERERS; i++) {
            site.gatherers = GATHERERS;
            site.position = i;
            harnesses.add(new PolicyHarness(site, 100 + i));
        }
        return harnesses;
    }

    /** Discovery accepts four requests a second and rejects the others, after all gatherers have started at once. */
    @Test
    void backsOffFromDiscoveryUntilAllGatherersHaveTheList() {
        var site = new PolicyHarness.SiteSettings();
        site.watchOnRequest = true;
        List<PolicyHarness> harnesses = gatherers(site);
        Map<PolicyHarness, Long> nextRequestAt = new HashMap<>();
        harnesses.forEach(r -> nextRequestAt.put(r, 0L));
        int requests = 0;
        int maxSimultaneous = 0;
        int served = 0;
        for (long at = 0; at < 20_000 * MS && !nextRequestAt.isEmpty(); at += 250 * MS) {
            boolean isDiscoveryFree = true;
            int simultaneous = 0;
            for (PolicyHarness harness : harnesses) {
                if (nextRequestAt.getOrDefault(harness, Long.MAX_VALUE) > at) {
                    continue;
                }
                requests++;
                simultaneous++;
                harness.now = 1_000_000 + at;
                if (at > 0) {
                    harness.actions.clear();
                    harness.policy.onTimer(harness.now, "ask");
                }
                assertTrue(harness.actions.contains("watchWorkerList now"));
                String[] timer = harness.actions("scheduleTimer").stream().filter(l -> l.endsWith(" ask")).findFirst()
                        .orElseThrow()
                        .split(" ");
                if (isDiscoveryFree) {
                    isDiscoveryFree = false;
                    served++;
                    harness.policy.onWorkerList(harness.now, WorkerListKind.COMPLETE,
                            List.of(PolicyHarness.worker(0, WorkerStatus.UP, Absent.VALUE)));
                    nextRequestAt.remove(harness);
                } else {
                    harness.policy.onWorkerList(harness.now, WorkerListKind.WATCH_FAILED, List.of());
                    nextRequestAt.put(harness, at + Long.parseLong(timer[1]));
                }
            }
            maxSimultaneous = Math.max(maxSimultaneous, at >= 2_000 * MS ? simultaneous : 0);
        }
        assertEquals(GATHERERS, served, "all gatherers have the list within 20 s");
        assertTrue(requests <= 5 * GATHERERS, "requests: " + requests);
        assertTrue(maxSimultaneous <= GATHERERS / 3, "simultaneous requests after 2 s: " + maxSimultaneous);
    }
}
