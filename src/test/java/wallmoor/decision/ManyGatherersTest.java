package wallmoor.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Many modules side by side on one clock, as gatherers that share nothing but discovery and the leaves. */
class ManyGatherersTest {
    private static final long MS = PolicyHarness.MS;
    private static final int GATHERERS = 14;

    private static List<PolicyHarness> gatherers(PolicyHarness.SiteSettings site) {
        var rigs = new ArrayList<PolicyHarness>();
        for (int i = 0; i < GATHERERS; i++) {
            site.gatherers = GATHERERS;
            site.position = i;
            rigs.add(new PolicyHarness(site, 100 + i));
        }
        return rigs;
    }

    /** Discovery takes four calls a second and refuses the rest, after all roots have started at once. */
    @Test
    void gatherersThatDiscoveryRejectsBackOffAndAllGetThrough() {
        var site = new PolicyHarness.SiteSettings();
        site.watchOnRequest = true;
        List<PolicyHarness> rigs = gatherers(site);
        Map<PolicyHarness, Long> askAt = new HashMap<>();
        rigs.forEach(r -> askAt.put(r, 0L));
        int calls = 0;
        int most = 0;
        int served = 0;
        for (long at = 0; at < 20_000 * MS && !askAt.isEmpty(); at += 250 * MS) {
            boolean free = true;
            int now = 0;
            for (PolicyHarness rig : rigs) {
                if (askAt.getOrDefault(rig, Long.MAX_VALUE) > at) {
                    continue;
                }
                calls++;
                now++;
                rig.now = 1_000_000 + at;
                if (at > 0) {
                    rig.actions.clear();
                    rig.policy.onTimer(rig.now, "ask");
                }
                assertTrue(rig.actions.contains("subscribe now"));
                String[] timer = rig.actions("timer").stream().filter(l -> l.endsWith(" ask")).findFirst().orElseThrow()
                        .split(" ");
                if (free) {
                    free = false;
                    served++;
                    rig.policy.onWorkerList(rig.now, WorkerListKind.COMPLETE,
                            List.of(PolicyHarness.worker(0, WorkerStatus.UP, Absent.VALUE)));
                    askAt.remove(rig);
                } else {
                    rig.policy.onWorkerList(rig.now, WorkerListKind.WATCH_FAILED, List.of());
                    askAt.put(rig, at + Long.parseLong(timer[1]));
                }
            }
            most = Math.max(most, at >= 2_000 * MS ? now : 0);
        }
        assertEquals(GATHERERS, served, "all have the list within 20 s");
        assertTrue(calls <= 5 * GATHERERS, "calls: " + calls);
        assertTrue(most <= GATHERERS / 3, "after 2 s no longer in step: " + most);
    }
}
