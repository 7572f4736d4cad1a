package wallmoor.maintenance;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static wallmoor.maintenance.FleetFixtures.block;
import static wallmoor.maintenance.FleetFixtures.budgets;
import static wallmoor.maintenance.FleetFixtures.fleet;
import static wallmoor.maintenance.FleetFixtures.node;
import static wallmoor.maintenance.FleetFixtures.phase;
import static wallmoor.maintenance.FleetFixtures.wish;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.Test;
import wallmoor.maintenance.SchedulingResult.Infeasible;
import wallmoor.maintenance.SchedulingResult.OutageSlot;
import wallmoor.maintenance.SchedulingResult.Schedule;
import wallmoor.maintenance.SchedulingResult.WaitsForRecovery;

/** Orders, and the fewest reasons against one. A wish of 20 s has the machine out for 48. */
public class MaintenancePlannerTest {
    private static final long EACH = 48_000;
    private static final FleetSnapshot TWINS = fleet(List.of(node("a"), node("b"), node("c")), block("x", "a", "b"),
            block("y", "b", "c"));

    private static SchedulingResult plan(FleetSnapshot f, Budgets b, MaintenanceRequest... wishes) {
        return MaintenancePlanner.plan(0, List.of(wishes), f, b);
    }

    private static List<String> starts(SchedulingResult a) {
        return ((Schedule) a).slots().stream().map(s -> s.request().machine() + " " + s.starts() / 1_000).toList();
    }

    private static Infeasible refused(SchedulingResult a, MaintenanceConstraint... because) {
        Infeasible r = (Infeasible) a;
        assertEquals(Set.of(because), Set.copyOf(r.conflict()));
        assertTrue(r.proven());
        return r;
    }

    @Test
    public void anOrderHasItsTimesWhatIsLeftAndWhoMustStay() {
        Schedule order = (Schedule) plan(TWINS, budgets(2), wish("a"), wish("b"), wish("c"));
        assertEquals(List.of("b 0", "a 48", "c 48"), starts(order));
        assertEquals(2 * EACH, order.endsAt());
        assertEquals(2 * EACH, order.lowerBound());
        OutageSlot first = order.slots().get(0);
        assertEquals(List.of(5_000L, 25_000L, EACH), List.of(first.free(), first.back(), first.done()));
        assertEquals(666_666, first.capacity());
        assertEquals(List.of("a", "c"), first.mustStay());
    }

    @Test
    public void timesAndPinsSetTheOrder() {
        assertEquals(List.of("c 0", "b 48", "a 96"),
                starts(plan(TWINS, budgets(1), wish("a"), wish("b", 20_000, 2 * EACH),
                        wish("c", 20_000, EACH))));
        assertEquals(List.of("c 0", "a 48"), starts(plan(TWINS, budgets(3), wish("a", "c"), wish("c"))));
        Budgets night = FleetFixtures.hours(budgets(1),
                new Budgets.MaintenanceWindows(List.of(new Budgets.MaintenanceWindows.DailyWindow(0, 1)), 0));
        assertEquals("one a night", List.of("a 0", "c 86400"), starts(plan(TWINS, night, wish("a"), wish("c"))));
    }

    @Test
    public void whatIsImpossibleIsRefusedWithTheFewestReasons() {
        FleetSnapshot alone = fleet(List.of(node("a"), node("b")), block("x", "a"));
        assertTrue(
                refused(plan(alone, budgets(2), wish("a"), wish("b")), OutageLedger.cover(block("x", "a"))).minimal());
        refused(plan(TWINS, budgets(0), wish("a")), MaintenanceConstraint.budget(MaintenanceRule.AT_ONCE, "at_once"));
        refused(plan(TWINS, FleetFixtures.centres(budgets(3), Map.of("a", 0)), wish("a")),
                MaintenanceConstraint.budget(MaintenanceRule.CENTRE, "centres.a"));
        refused(plan(TWINS, FleetFixtures.kept(budgets(3), 700_000, 0), wish("a")),
                MaintenanceConstraint.budget(MaintenanceRule.CAPACITY, "capacity_kept"));
        refused(plan(TWINS, budgets(1), wish("a", "c"), wish("b", "a"), wish("c", "b")),
                MaintenanceConstraint.of(MaintenanceRule.PIN, "c", "a"),
                MaintenanceConstraint.of(MaintenanceRule.PIN, "a", "b"),
                MaintenanceConstraint.of(MaintenanceRule.PIN, "b", "c"));
        Budgets minute = FleetFixtures.hours(budgets(1),
                new Budgets.MaintenanceWindows(List.of(new Budgets.MaintenanceWindows.DailyWindow(0, 1)), 0));
        refused(plan(TWINS, minute, wish("a", 60_000, MaintenanceRequest.NO_DEADLINE)),
                MaintenanceConstraint.budget(MaintenanceRule.HOURS, "hours"));
        refused(plan(TWINS, budgets(1), wish("a", 20_000, EACH - 1)),
                MaintenanceConstraint.of(MaintenanceRule.BY, "a"));
        Budgets later = FleetFixtures.hours(budgets(1),
                new Budgets.MaintenanceWindows(List.of(new Budgets.MaintenanceWindows.DailyWindow(60, 120)), 0));
        refused(plan(TWINS, later, wish("a", 20_000, 3_600_000)), MaintenanceConstraint.of(MaintenanceRule.BY, "a"),
                MaintenanceConstraint.budget(MaintenanceRule.HOURS, "hours"));
    }

    @Test
    public void twoForOneBlockByOneTimeNameTheBlockAndBoth() {
        assertTrue(refused(plan(TWINS, budgets(3), wish("a", 20_000, 90_000), wish("b", 20_000, 90_000), wish("c")),
                OutageLedger.cover(block("x", "a", "b")), MaintenanceConstraint.of(MaintenanceRule.BY, "a"),
                MaintenanceConstraint.of(MaintenanceRule.BY, "b")).minimal());
        refused(plan(TWINS, budgets(1), wish("a", 20_000, 90_000), wish("c", 20_000, 90_000)),
                MaintenanceConstraint.budget(MaintenanceRule.AT_ONCE, "at_once"),
                MaintenanceConstraint.of(MaintenanceRule.BY, "a"), MaintenanceConstraint.of(MaintenanceRule.BY, "c"));
    }

    @Test
    public void whatWaitsForAMachineIsNotRefused() {
        WaitsForRecovery w = (WaitsForRecovery) plan(phase(TWINS, "b", Machine.MachinePhase.AWAY), budgets(3),
                wish("a"));
        assertEquals(List.of(OutageLedger.cover(block("x", "a", "b"))), w.conflict());
        assertEquals(MaintenanceStage.HELD,
                FleetFixtures
                        .step(MaintenanceStateMachine.next(0, FleetFixtures.ask(MaintenanceState.EMPTY, 0, wish("a")),
                                phase(TWINS, "b", Machine.MachinePhase.AWAY), budgets(3)), "a"));
    }

    /** No asking later makes those asked before impossible. */
    @Test
    public void aLaterWishDoesNotPushAnEarlierOneOut() {
        MaintenanceState s = MaintenanceStateMachine.next(0,
                FleetFixtures.ask(MaintenanceState.EMPTY, 0, wish("a", 20_000, EACH)), TWINS, budgets(1));
        s = MaintenanceStateMachine.next(0, FleetFixtures.ask(s, 0, wish("c", 20_000, EACH)), TWINS, budgets(1));
        assertEquals(MaintenanceStage.DRAINING, FleetFixtures.step(s, "a"));
        assertEquals(MaintenanceStage.REFUSED, FleetFixtures.step(s, "c"));
    }

    /** Reasons stand by themselves: none is left out that matters, and what is called possible has an order. */
    @Test
    public void reasonsAreInfeasibleAndNoFewerAre() {
        int refused = 0;
        for (int seed = 0; seed < 300; seed++) {
            var random = new Random(seed);
            var machines = new ArrayList<Machine>();
            var wishes = new ArrayList<MaintenanceRequest>();
            for (int i = 0; i < 4; i++) {
                String id = "" + (char) ('a' + i);
                machines.add(node(id));
                if (random.nextInt(4) > 0) {
                    String after = "" + (char) ('a' + random.nextInt(4));
                    long by = random.nextBoolean() ? MaintenanceRequest.NO_DEADLINE
                            : EACH * (1 + random.nextInt(3)) + random.nextInt(2) * 30_000L;
                    wishes.add(random.nextInt(3) == 0 && !after.equals(id) ? wish(id, 20_000, by, after)
                            : wish(id, 20_000, by));
                }
            }
            FleetSnapshot f = fleet(machines, block("x", "a", "b"), block("y", "c", "d", "a"), block("z", "b", "c"));
            Budgets b = FleetFixtures.centres(budgets(1 + random.nextInt(2)),
                    Map.of("a", random.nextInt(5) > 0 ? 1 : 0));
            SchedulingResult answer = MaintenancePlanner.plan(0, wishes, f, b);
            var all = wishes.stream().map(w -> RequestStatus.asked(w, 0)).toList();
            var p = new SchedulingProblem(0, all, f, b, false);
            if (answer instanceof Schedule order) {
                assertTrue(ExhaustiveScheduler.isFeasible(p, r -> true));
                assertTrue(order.lowerBound() <= order.endsAt());
            } else {
                Infeasible r = (Infeasible) answer;
                assertTrue("seed " + seed + r + wishes + b,
                        r.minimal() && !ExhaustiveScheduler.isFeasible(p, r.conflict()::contains));
                r.conflict()
                        .forEach(one -> assertTrue(
                                ExhaustiveScheduler.isFeasible(p, x -> !x.equals(one) && r.conflict().contains(x))));
                refused++;
            }
        }
        assertTrue("" + refused, refused > 50 && refused < 250);
    }
}
