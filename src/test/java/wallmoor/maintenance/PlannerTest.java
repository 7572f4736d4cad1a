package wallmoor.maintenance;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static wallmoor.maintenance.Fleets.block;
import static wallmoor.maintenance.Fleets.budgets;
import static wallmoor.maintenance.Fleets.fleet;
import static wallmoor.maintenance.Fleets.node;
import static wallmoor.maintenance.Fleets.phase;
import static wallmoor.maintenance.Fleets.wish;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.Test;
import wallmoor.maintenance.Answer.Order;
import wallmoor.maintenance.Answer.Refused;
import wallmoor.maintenance.Answer.Slot;
import wallmoor.maintenance.Answer.Waits;

/** Orders, and the fewest reasons against one. A wish of 20 s has the machine out for 48. */
public class PlannerTest {
    private static final long EACH = 48_000;
    private static final Fleet TWINS = fleet(List.of(node("a"), node("b"), node("c")), block("x", "a", "b"),
            block("y", "b", "c"));

    private static Answer plan(Fleet f, Budgets b, Wish... wishes) {
        return Planner.plan(0, List.of(wishes), f, b);
    }

    private static List<String> starts(Answer a) {
        return ((Order) a).slots().stream().map(s -> s.wish().machine() + " " + s.starts() / 1_000).toList();
    }

    private static Refused refused(Answer a, Reason... because) {
        Refused r = (Refused) a;
        assertEquals(Set.of(because), Set.copyOf(r.because()));
        assertTrue(r.proven());
        return r;
    }

    @Test
    public void anOrderHasItsTimesWhatIsLeftAndWhoMustStay() {
        Order order = (Order) plan(TWINS, budgets(2), wish("a"), wish("b"), wish("c"));
        assertEquals(List.of("b 0", "a 48", "c 48"), starts(order));
        assertEquals(2 * EACH, order.ends());
        assertEquals(2 * EACH, order.bound());
        Slot first = order.slots().get(0);
        assertEquals(List.of(5_000L, 25_000L, EACH), List.of(first.free(), first.back(), first.done()));
        assertEquals(666_666, first.capacity());
        assertEquals(List.of("a", "c"), first.needs());
    }

    @Test
    public void timesAndPinsSetTheOrder() {
        assertEquals(List.of("c 0", "b 48", "a 96"),
                starts(plan(TWINS, budgets(1), wish("a"), wish("b", 20_000, 2 * EACH),
                        wish("c", 20_000, EACH))));
        assertEquals(List.of("c 0", "a 48"), starts(plan(TWINS, budgets(3), wish("a", "c"), wish("c"))));
        Budgets night = Fleets.hours(budgets(1), new Budgets.Hours(List.of(new Budgets.Hours.Window(0, 1)), 0));
        assertEquals("one a night", List.of("a 0", "c 86400"), starts(plan(TWINS, night, wish("a"), wish("c"))));
    }

    @Test
    public void whatIsImpossibleIsRefusedWithTheFewestReasons() {
        Fleet alone = fleet(List.of(node("a"), node("b")), block("x", "a"));
        assertTrue(
                refused(plan(alone, budgets(2), wish("a"), wish("b")), OutageLedger.cover(block("x", "a"))).smallest());
        refused(plan(TWINS, budgets(0), wish("a")), Reason.budget(Rule.AT_ONCE, "at_once"));
        refused(plan(TWINS, Fleets.centres(budgets(3), Map.of("a", 0)), wish("a")),
                Reason.budget(Rule.CENTRE, "centres.a"));
        refused(plan(TWINS, Fleets.kept(budgets(3), 700_000, 0), wish("a")),
                Reason.budget(Rule.CAPACITY, "capacity_kept"));
        refused(plan(TWINS, budgets(1), wish("a", "c"), wish("b", "a"), wish("c", "b")), Reason.of(Rule.PIN, "c", "a"),
                Reason.of(Rule.PIN, "a", "b"), Reason.of(Rule.PIN, "b", "c"));
        Budgets minute = Fleets.hours(budgets(1), new Budgets.Hours(List.of(new Budgets.Hours.Window(0, 1)), 0));
        refused(plan(TWINS, minute, wish("a", 60_000, Wish.ANY_TIME)), Reason.budget(Rule.HOURS, "hours"));
        refused(plan(TWINS, budgets(1), wish("a", 20_000, EACH - 1)), Reason.of(Rule.BY, "a"));
        Budgets later = Fleets.hours(budgets(1), new Budgets.Hours(List.of(new Budgets.Hours.Window(60, 120)), 0));
        refused(plan(TWINS, later, wish("a", 20_000, 3_600_000)), Reason.of(Rule.BY, "a"),
                Reason.budget(Rule.HOURS, "hours"));
    }

    @Test
    public void twoForOneBlockByOneTimeNameTheBlockAndBoth() {
        assertTrue(refused(plan(TWINS, budgets(3), wish("a", 20_000, 90_000), wish("b", 20_000, 90_000), wish("c")),
                OutageLedger.cover(block("x", "a", "b")), Reason.of(Rule.BY, "a"), Reason.of(Rule.BY, "b")).smallest());
        refused(plan(TWINS, budgets(1), wish("a", 20_000, 90_000), wish("c", 20_000, 90_000)),
                Reason.budget(Rule.AT_ONCE, "at_once"), Reason.of(Rule.BY, "a"), Reason.of(Rule.BY, "c"));
    }

    @Test
    public void whatWaitsForAMachineIsNotRefused() {
        Waits w = (Waits) plan(phase(TWINS, "b", Machine.Phase.AWAY), budgets(3), wish("a"));
        assertEquals(List.of(OutageLedger.cover(block("x", "a", "b"))), w.because());
        assertEquals(Step.HELD, Fleets.step(Steps.next(0, Fleets.ask(State.EMPTY, 0, wish("a")),
                phase(TWINS, "b", Machine.Phase.AWAY), budgets(3)), "a"));
    }

    /** No asking later makes those asked before impossible. */
    @Test
    public void aLaterWishDoesNotPushAnEarlierOneOut() {
        State s = Steps.next(0, Fleets.ask(State.EMPTY, 0, wish("a", 20_000, EACH)), TWINS, budgets(1));
        s = Steps.next(0, Fleets.ask(s, 0, wish("c", 20_000, EACH)), TWINS, budgets(1));
        assertEquals(Step.DRAINING, Fleets.step(s, "a"));
        assertEquals(Step.REFUSED, Fleets.step(s, "c"));
    }

    /** Reasons stand by themselves: none is left out that matters, and what is called possible has an order. */
    @Test
    public void reasonsAreInfeasibleAndNoFewerAre() {
        int refused = 0;
        for (int seed = 0; seed < 300; seed++) {
            var random = new Random(seed);
            var machines = new ArrayList<Machine>();
            var wishes = new ArrayList<Wish>();
            for (int i = 0; i < 4; i++) {
                String id = "" + (char) ('a' + i);
                machines.add(node(id));
                if (random.nextInt(4) > 0) {
                    String after = "" + (char) ('a' + random.nextInt(4));
                    long by = random.nextBoolean() ? Wish.ANY_TIME
                            : EACH * (1 + random.nextInt(3)) + random.nextInt(2) * 30_000;
                    wishes.add(random.nextInt(3) == 0 && !after.equals(id) ? wish(id, 20_000, by, after)
                            : wish(id, 20_000, by));
                }
            }
            Fleet f = fleet(machines, block("x", "a", "b"), block("y", "c", "d", "a"), block("z", "b", "c"));
            Budgets b = Fleets.centres(budgets(1 + random.nextInt(2)), Map.of("a", random.nextInt(5) > 0 ? 1 : 0));
            Answer answer = Planner.plan(0, wishes, f, b);
            var all = wishes.stream().map(w -> Standing.asked(w, 0)).toList();
            var p = new Problem(0, all, f, b, false);
            if (answer instanceof Order order) {
                assertTrue(Exact.possible(p, r -> true));
                assertTrue(order.bound() <= order.ends());
            } else {
                Refused r = (Refused) answer;
                assertTrue("seed " + seed + r + wishes + b, r.smallest() && !Exact.possible(p, r.because()::contains));
                r.because()
                        .forEach(one -> assertTrue(Exact.possible(p, x -> !x.equals(one) && r.because().contains(x))));
                refused++;
            }
        }
        assertTrue("" + refused, refused > 50 && refused < 250);
    }
}
