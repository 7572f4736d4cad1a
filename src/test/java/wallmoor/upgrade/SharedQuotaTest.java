package wallmoor.upgrade;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.Test;

/** The sum of two processes' use of a shared limit, whenever each of them publishes and updates. */
public class SharedQuotaTest {
    private static final int LIMIT = 60;

    /** A process that alternately publishes the claim of its last update, and updates with the other's heartbeat. */
    private static final class Model {
        final SharedQuota shared = new SharedQuota();
        int inUse;
        boolean draining;
        boolean publishesNext = true;
        ProcessHeartbeat published;

        /** Publishes or updates, in turn. */
        void publishOrUpdate(Model other) {
            if (publishesNext) {
                publish();
            } else {
                update(other);
            }
            publishesNext = !publishesNext;
        }

        void publish() {
            published = new ProcessHeartbeat(toString(), 0, shared.claim(), draining);
        }

        void update(Model other) {
            shared.update(LIMIT, inUse, draining,
                    other == null || other.published == null ? List.of() : List.of(other.published));
        }

        void use(int amount) {
            inUse = Math.max(inUse, Math.min(inUse + amount, shared.quota()));
        }
    }

    /**
     * Runs random steps of use, release, publication and update; the old process is alone first and drains at the end.
     */
    @Property
    void twoProcessesNeverExceedTheLimit(@ForAll @Size(max = 60) List<@IntRange(max = 5 * LIMIT - 1) Integer> steps,
            @ForAll @IntRange(max = 60) int newStartStep, @ForAll @IntRange(max = 60) int drainStep) {
        var old = new Model();
        var fresh = new Model();
        runAlone(old);
        for (int i = 0; i < steps.size(); i++) {
            old.draining = i > newStartStep && i > drainStep;
            Model process = steps.get(i) % 2 == 0 || i < newStartStep ? old : fresh;
            int amount = steps.get(i) / 5;
            switch (steps.get(i) % 5) {
                case 0, 1 -> process.use(amount);
                case 2 -> process.inUse = Math.max(0, process.inUse - amount);
                default -> process.publishOrUpdate(process == old ? fresh : old);
            }
            assertTrue(old.inUse + " and " + fresh.inUse, old.inUse + fresh.inUse <= LIMIT);
        }
    }

    @Test
    public void bothReachHalfAndTheServingOneTakesWhatTheDrainingOneReleases() {
        var old = new Model();
        var fresh = new Model();
        runAlone(old);
        old.use(50);
        fresh.publish();
        fresh.update(old);
        assertEquals(0, fresh.shared.quota());
        assertFalse(fresh.shared.isEnoughToStart(LIMIT, List.of(old.published)));
        runBoth(old, fresh);
        assertEquals("50 are in use until they end", 10, fresh.shared.quota());
        old.inUse = 4;
        runBoth(old, fresh);
        assertEquals(List.of(30, 30), List.of(old.shared.quota(), fresh.shared.quota()));
        assertTrue(fresh.shared.isEnoughToStart(LIMIT, List.of(old.published)));
        old.draining = true;
        runBoth(old, fresh);
        assertEquals(List.of(8, 52), List.of(old.shared.quota(), fresh.shared.quota()));
        runAlone(fresh);
        old.draining = false;
        runBoth(old, fresh);
        fresh.update(null);
        fresh.publish();
        fresh.update(null);
        assertEquals("the old one hung and was considered dead", LIMIT, fresh.shared.quota());
        old.update(fresh);
        assertTrue("the old one resumes", old.shared.quota() > 0);
        runBoth(old, fresh);
        assertTrue(old.shared.quota() + fresh.shared.quota() <= LIMIT);
        var earlierVersion = new ArrayList<>(
                List.of(new ProcessHeartbeat("of before", 0, ProcessHeartbeat.UNKNOWN_CLAIM, false)));
        runAlone(fresh);
        fresh.shared.update(LIMIT, 0, false, earlierVersion);
        assertEquals("half is reserved for a process of unknown claim", 30, fresh.shared.quota());
    }

    private static void runAlone(Model process) {
        process.update(null);
        process.publish();
        process.update(null);
        process.publish();
        assertEquals(LIMIT, process.shared.quota());
    }

    private static void runBoth(Model old, Model fresh) {
        for (int i = 0; i < 40; i++) {
            old.publish();
            old.update(fresh);
            fresh.publish();
            fresh.update(old);
        }
    }
}
