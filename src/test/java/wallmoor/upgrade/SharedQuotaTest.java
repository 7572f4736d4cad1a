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

/** What two processes may hold together of one bound, whenever each of them signs and looks. */
public class SharedQuotaTest {
    private static final int ALL = 60;

    /** A process as it runs: it signs what it claimed at its last look, then looks at what the other has signed. */
    private static final class Model {
        final SharedQuota part = new SharedQuota();
        int held;
        boolean leaving;
        boolean signing = true;
        ProcessHeartbeat signed;

        /** The one or the other, in turn. */
        void signOrLook(Model other) {
            if (signing) {
                sign();
            } else {
                look(other);
            }
            signing = !signing;
        }

        void sign() {
            signed = new ProcessHeartbeat(toString(), 0, part.claim(), leaving);
        }

        void look(Model other) {
            part.update(ALL, held, leaving, other == null || other.signed == null ? List.of() : List.of(other.signed));
        }

        void take(int some) {
            held = Math.max(held, Math.min(held + some, part.quota()));
        }
    }

    /**
     * Whatever they take and end in between, the old one alone at first and leaving at last: never more than the bound.
     */
    @Property
    void twoNeverHoldMoreThanTheBound(@ForAll @Size(max = 60) List<@IntRange(max = 5 * ALL - 1) Integer> steps,
            @ForAll @IntRange(max = 60) int begins, @ForAll @IntRange(max = 60) int leaves) {
        var old = new Model();
        var fresh = new Model();
        alone(old);
        for (int i = 0; i < steps.size(); i++) {
            old.leaving = i > begins && i > leaves;
            Model one = steps.get(i) % 2 == 0 || i < begins ? old : fresh;
            int amount = steps.get(i) / 5;
            switch (steps.get(i) % 5) {
                case 0, 1 -> one.take(amount);
                case 2 -> one.held = Math.max(0, one.held - amount);
                default -> one.signOrLook(one == old ? fresh : old);
            }
            assertTrue(old.held + " and " + fresh.held, old.held + fresh.held <= ALL);
        }
    }

    @Test
    public void bothComeToTheHalfAndWhatTheOneThatLeavesDoesNotNeedIsTheOthers() {
        var old = new Model();
        var fresh = new Model();
        alone(old);
        old.take(50);
        fresh.sign();
        fresh.look(old);
        assertEquals(0, fresh.part.quota());
        assertFalse(fresh.part.isEnoughToStart(ALL, List.of(old.signed)));
        both(old, fresh);
        assertEquals("50 are held until they end", 10, fresh.part.quota());
        old.held = 4;
        both(old, fresh);
        assertEquals(List.of(30, 30), List.of(old.part.quota(), fresh.part.quota()));
        assertTrue(fresh.part.isEnoughToStart(ALL, List.of(old.signed)));
        old.leaving = true;
        both(old, fresh);
        assertEquals(List.of(8, 52), List.of(old.part.quota(), fresh.part.quota()));
        alone(fresh);
        old.leaving = false;
        both(old, fresh);
        fresh.look(null);
        fresh.sign();
        fresh.look(null);
        assertEquals("it stood still, and counted as gone", ALL, fresh.part.quota());
        old.look(fresh);
        assertTrue("and wakes", old.part.quota() > 0);
        both(old, fresh);
        assertTrue(old.part.quota() + fresh.part.quota() <= ALL);
        var earlier = new ArrayList<>(
                List.of(new ProcessHeartbeat("of before", 0, ProcessHeartbeat.UNKNOWN_CLAIM, false)));
        alone(fresh);
        fresh.part.update(ALL, 0, false, earlier);
        assertEquals("one that tells nothing is owed its half", 30, fresh.part.quota());
    }

    private static void alone(Model one) {
        one.look(null);
        one.sign();
        one.look(null);
        one.sign();
        assertEquals(ALL, one.part.quota());
    }

    private static void both(Model old, Model fresh) {
        for (int i = 0; i < 40; i++) {
            old.sign();
            old.look(fresh);
            fresh.sign();
            fresh.look(old);
        }
    }
}
