package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Many modules side by side on one clock, as gatherers that share nothing but discovery and the workers. */
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

    /** Discovery takes four calls a second and rejects the rest, after all gatherers have started at once. */
    @Test
    void gatherersThatDiscoveryRejectsBackOffAndAllGetThrough() {
        var site = new PolicyHarness.SiteSettings();
        site.watchOnRequest = true;
        List<PolicyHarness> harnesses = gatherers(site);
        Map<PolicyHarness, Long> askAt = new HashMap<>();
        harnesses.forEach(r -> askAt.put(r, 0L));
        int calls = 0;
        int most = 0;
        int served = 0;
        for (long at = 0; at < 20_000 * MS && !askAt.isEmpty(); at += 250 * MS) {
            boolean free = true;
            int now = 0;
            for (PolicyHarness harness : harnesses) {
                if (askAt.getOrDefault(harness, Long.MAX_VALUE) > at) {
                    continue;
                }
                calls++;
                now++;
                harness.now = 1_000_000 + at;
                if (at > 0) {
                    harness.actions.clear();
                    harness.policy.onTimer(harness.now, "ask");
                }
                assertTrue(harness.actions.contains("watchWorkerList now"));
                String[] timer = harness.actions("scheduleTimer").stream().filter(l -> l.endsWith(" ask")).findFirst()
                        .orElseThrow()
                        .split(" ");
                if (free) {
                    free = false;
                    served++;
                    harness.policy.onWorkerList(harness.now, WorkerListKind.COMPLETE,
                            List.of(PolicyHarness.worker(0, WorkerStatus.UP, Absent.VALUE)));
                    askAt.remove(harness);
                } else {
                    harness.policy.onWorkerList(harness.now, WorkerListKind.WATCH_FAILED, List.of());
                    askAt.put(harness, at + Long.parseLong(timer[1]));
                }
            }
            most = Math.max(most, at >= 2_000 * MS ? now : 0);
        }
        assertEquals(GATHERERS, served, "all have the list within 20 s");
        assertTrue(calls <= 5 * GATHERERS, "calls: " + calls);
        assertTrue(most <= GATHERERS / 3, "after 2 s no longer in step: " + most);
    }
}
