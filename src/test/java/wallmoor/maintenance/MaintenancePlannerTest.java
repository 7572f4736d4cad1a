package wallmoor.maintenance;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static wallmoor.maintenance.FleetFixtures.block;
import static wallmoor.maintenance.FleetFixtures.budgets;
import static wallmoor.maintenance.FleetFixtures.fleet;
import static wallmoor.maintenance.FleetFixtures.node;
import static wallmoor.maintenance.FleetFixtures.request;
import static wallmoor.maintenance.FleetFixtures.withPhase;

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

/** Tests schedules and minimal conflicts. A request of 20 s of work takes its machine out of service for 48 s. */
public class MaintenancePlannerTest {
    private static final long OUTAGE_MILLIS = 48_000;
    private static final FleetSnapshot THREE_NODES = fleet(List.of(node("a"), node("b"), node("c")),
            block("x", "a", "b"), block("y", "b", "c"));

    private static SchedulingResult plan(FleetSnapshot fleet, Budgets budgets, MaintenanceRequest... requests) {
        return MaintenancePlanner.plan(0, List.of(requests), fleet, budgets);
    }

    private static List<String> starts(SchedulingResult result) {
        return ((Schedule) result).slots().stream().map(s -> s.request().machine() + " " + s.starts() / 1_000).toList();
    }

    private static Infeasible assertInfeasible(SchedulingResult result, MaintenanceConstraint... conflict) {
        Infeasible infeasible = (Infeasible) result;
        assertEquals(Set.of(conflict), Set.copyOf(infeasible.conflict()));
        assertTrue(infeasible.proven());
        return infeasible;
    }

    @Test
    public void schedulesRequestsWithTimesCapacityAndSoleHolders() {
        Schedule schedule = (Schedule) plan(THREE_NODES, budgets(2), request("a"), request("b"), request("c"));
        assertEquals(List.of("b 0", "a 48", "c 48"), starts(schedule));
        assertEquals(2 * OUTAGE_MILLIS, schedule.endsAt());
        assertEquals(2 * OUTAGE_MILLIS, schedule.lowerBound());
        OutageSlot first = schedule.slots().get(0);
        assertEquals(List.of(5_000L, 25_000L, OUTAGE_MILLIS), List.of(first.free(), first.back(), first.done()));
        assertEquals(666_666, first.capacity());
        assertEquals(List.of("a", "c"), first.mustStay());
    }

    @Test
    public void ordersByDeadlinesPrecedencesAndWindows() {
        assertEquals(List.of("c 0", "b 48", "a 96"),
                starts(plan(THREE_NODES, budgets(1), request("a"), request("b", 20_000, 2 * OUTAGE_MILLIS),
                        request("c", 20_000, OUTAGE_MILLIS))));
        assertEquals(List.of("c 0", "a 48"), starts(plan(THREE_NODES, budgets(3), request("a", "c"), request("c"))));
        Budgets nightWindow = FleetFixtures.withWindows(budgets(1),
                new Budgets.MaintenanceWindows(List.of(new Budgets.MaintenanceWindows.DailyWindow(0, 1)), 0));
        assertEquals("one request in each night", List.of("a 0", "c 86400"),
                starts(plan(THREE_NODES, nightWindow, request("a"), request("c"))));
    }

    @Test
    public void refusesImpossibleRequestsWithSmallestConflict() {
        FleetSnapshot singleHolderFleet = fleet(List.of(node("a"), node("b")), block("x", "a"));
        assertTrue(assertInfeasible(plan(singleHolderFleet, budgets(2), request("a"), request("b")),
                OutageLedger.cover(block("x", "a"))).minimal());
        assertInfeasible(plan(THREE_NODES, budgets(0), request("a")),
                MaintenanceConstraint.budget(MaintenanceRule.AT_ONCE, "at_once"));
        assertInfeasible(plan(THREE_NODES, FleetFixtures.withCentreLimits(budgets(3), Map.of("a", 0)), request("a")),
                MaintenanceConstraint.budget(MaintenanceRule.CENTRE, "centres.a"));
        assertInfeasible(plan(THREE_NODES, FleetFixtures.withMinimums(budgets(3), 700_000, 0), request("a")),
                MaintenanceConstraint.budget(MaintenanceRule.CAPACITY, "capacity_kept"));
        assertInfeasible(plan(THREE_NODES, budgets(1), request("a", "c"), request("b", "a"), request("c", "b")),
                MaintenanceConstraint.of(MaintenanceRule.PIN, "c", "a"),
                MaintenanceConstraint.of(MaintenanceRule.PIN, "a", "b"),
                MaintenanceConstraint.of(MaintenanceRule.PIN, "b", "c"));
        Budgets minuteWindow = FleetFixtures.withWindows(budgets(1),
                new Budgets.MaintenanceWindows(List.of(new Budgets.MaintenanceWindows.DailyWindow(0, 1)), 0));
        assertInfeasible(plan(THREE_NODES, minuteWindow, request("a", 60_000, MaintenanceRequest.NO_DEADLINE)),
                MaintenanceConstraint.budget(MaintenanceRule.HOURS, "hours"));
        assertInfeasible(plan(THREE_NODES, budgets(1), request("a", 20_000, OUTAGE_MILLIS - 1)),
                MaintenanceConstraint.of(MaintenanceRule.BY, "a"));
        Budgets laterWindow = FleetFixtures.withWindows(budgets(1),
                new Budgets.MaintenanceWindows(List.of(new Budgets.MaintenanceWindows.DailyWindow(60, 120)), 0));
        assertInfeasible(plan(THREE_NODES, laterWindow, request("a", 20_000, 3_600_000)),
                MaintenanceConstraint.of(MaintenanceRule.BY, "a"),
                MaintenanceConstraint.budget(MaintenanceRule.HOURS, "hours"));
    }

    @Test
    public void namesBlockAndBothDeadlinesInConflict() {
        assertTrue(assertInfeasible(plan(THREE_NODES, budgets(3), request("a", 20_000, 90_000),
                request("b", 20_000, 90_000), request("c")), OutageLedger.cover(block("x", "a", "b")),
                MaintenanceConstraint.of(MaintenanceRule.BY, "a"), MaintenanceConstraint.of(MaintenanceRule.BY, "b"))
                .minimal());
        assertInfeasible(plan(THREE_NODES, budgets(1), request("a", 20_000, 90_000), request("c", 20_000, 90_000)),
                MaintenanceConstraint.budget(MaintenanceRule.AT_ONCE, "at_once"),
                MaintenanceConstraint.of(MaintenanceRule.BY, "a"), MaintenanceConstraint.of(MaintenanceRule.BY, "c"));
    }

    @Test
    public void holdsRequestThatWaitsForMachineToRecover() {
        WaitsForRecovery waits = (WaitsForRecovery) plan(withPhase(THREE_NODES, "b", Machine.MachinePhase.AWAY),
                budgets(3), request("a"));
        assertEquals(List.of(OutageLedger.cover(block("x", "a", "b"))), waits.conflict());
        assertEquals(MaintenanceStage.HELD,
                FleetFixtures.stageOf(MaintenanceStateMachine.next(0,
                        FleetFixtures.submit(MaintenanceState.EMPTY, 0, request("a")),
                        withPhase(THREE_NODES, "b", Machine.MachinePhase.AWAY), budgets(3)), "a"));
    }

    /** Guards against a later request that makes an admitted request impossible. */
    @Test
    public void refusesLaterRequestThatConflictsWithAdmittedOne() {
        MaintenanceState state = MaintenanceStateMachine.next(0,
                FleetFixtures.submit(MaintenanceState.EMPTY, 0, request("a", 20_000, OUTAGE_MILLIS)), THREE_NODES,
                budgets(1));
        state = MaintenanceStateMachine.next(0, FleetFixtures.submit(state, 0, request("c", 20_000, OUTAGE_MILLIS)),
                THREE_NODES, budgets(1));
        assertEquals(MaintenanceStage.DRAINING, FleetFixtures.stageOf(state, "a"));
        assertEquals(MaintenanceStage.REFUSED, FleetFixtures.stageOf(state, "c"));
    }

    /**
     * Guards against incomplete or superfluous conflicts, and against schedules for infeasible problems: checks small
     * random problems by exhaustive search.
     */
    @Test
    public void conflictsAreInfeasibleAndMinimal() {
        int infeasibleCount = 0;
        for (int seed = 0; seed < 300; seed++) {
            var random = new Random(seed);
            var machines = new ArrayList<Machine>();
            var requests = new ArrayList<MaintenanceRequest>();
            for (int i = 0; i < 4; i++) {
                String id = "" + (char) ('a' + i);
                machines.add(node(id));
                if (random.nextInt(4) > 0) {
                    String after = "" + (char) ('a' + random.nextInt(4));
                    long deadline = random.nextBoolean() ? MaintenanceRequest.NO_DEADLINE
                            : OUTAGE_MILLIS * (1 + random.nextInt(3)) + random.nextInt(2) * 30_000L;
                    requests.add(random.nextInt(3) == 0 && !after.equals(id) ? request(id, 20_000, deadline, after)
                            : request(id, 20_000, deadline));
                }
            }
            FleetSnapshot fleet = fleet(machines, block("x", "a", "b"), block("y", "c", "d", "a"),
                    block("z", "b", "c"));
            Budgets budgets = FleetFixtures.withCentreLimits(budgets(1 + random.nextInt(2)),
                    Map.of("a", random.nextInt(5) > 0 ? 1 : 0));
            SchedulingResult result = MaintenancePlanner.plan(0, requests, fleet, budgets);
            var statuses = requests.stream().map(w -> RequestStatus.submitted(w, 0)).toList();
            var problem = new SchedulingProblem(0, statuses, fleet, budgets, false);
            if (result instanceof Schedule schedule) {
                assertTrue(ExhaustiveScheduler.isFeasible(problem, r -> true));
                assertTrue(schedule.lowerBound() <= schedule.endsAt());
            } else {
                Infeasible infeasible = (Infeasible) result;
                assertTrue("seed " + seed + infeasible + requests + budgets,
                        infeasible.minimal()
                                && !ExhaustiveScheduler.isFeasible(problem, infeasible.conflict()::contains));
                infeasible.conflict().forEach(constraint -> assertTrue(ExhaustiveScheduler.isFeasible(problem,
                        x -> !x.equals(constraint) && infeasible.conflict().contains(x))));
                infeasibleCount++;
            }
        }
        assertTrue("infeasible problems: " + infeasibleCount, infeasibleCount > 50 && infeasibleCount < 250);
    }
}
