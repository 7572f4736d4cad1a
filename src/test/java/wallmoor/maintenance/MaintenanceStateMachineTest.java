package wallmoor.maintenance;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;
import static wallmoor.maintenance.FleetFixtures.block;
import static wallmoor.maintenance.FleetFixtures.budgets;
import static wallmoor.maintenance.FleetFixtures.drainedReport;
import static wallmoor.maintenance.FleetFixtures.fleet;
import static wallmoor.maintenance.FleetFixtures.gatherer;
import static wallmoor.maintenance.FleetFixtures.machine;
import static wallmoor.maintenance.FleetFixtures.node;
import static wallmoor.maintenance.FleetFixtures.reasonsOf;
import static wallmoor.maintenance.FleetFixtures.request;
import static wallmoor.maintenance.FleetFixtures.stageOf;
import static wallmoor.maintenance.FleetFixtures.submit;
import static wallmoor.maintenance.FleetFixtures.withMachine;
import static wallmoor.maintenance.FleetFixtures.withPhase;
import static wallmoor.maintenance.FleetFixtures.withQuorum;
import static wallmoor.maintenance.FleetFixtures.withReports;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;
import wallmoor.maintenance.Machine.MachinePhase;
import wallmoor.maintenance.Machine.MachineRole;

/** Tests each rule of docs/maintenance.md individually. */
public class MaintenanceStateMachineTest {
    private static final FleetSnapshot THREE_NODES = fleet(List.of(node("a"), node("b"), node("c")),
            block("x", "a", "b"), block("y", "b", "c"));
    private static final Budgets TWO_OUT = budgets(2);
    private final Budgets oneOut = budgets(1);

    private static MaintenanceState next(long now, MaintenanceState state, FleetSnapshot fleet, Budgets budgets) {
        return MaintenanceStateMachine.next(now, state, fleet, budgets);
    }

    /** Returns the fleet with machine a observed as draining, and with the reports of two expected gatherers. */
    private static FleetSnapshot drainingA(GathererReport... reports) {
        return withReports(withPhase(THREE_NODES, "a", MachinePhase.DRAINING), 2, reports);
    }

    private MaintenanceState afterFirstVersion(String... machines) {
        MaintenanceState state = MaintenanceState.EMPTY;
        for (String machine : machines) {
            state = submit(state, 0, request(machine));
        }
        return next(0, state, THREE_NODES, TWO_OUT);
    }

    @Test
    public void drainsHoldersOfOneBlockOneAtATime() {
        MaintenanceState state = afterFirstVersion("a", "b");
        assertEquals(MaintenanceStage.DRAINING, stageOf(state, "a"));
        assertEquals(MaintenanceStage.PLANNED, stageOf(state, "b"));
        assertEquals(List.of(new MaintenanceConstraint(MaintenanceRule.COVER, List.of("a"), List.of("x"), "")),
                reasonsOf(state, "b"));
        assertEquals(List.of(new MaintenanceAction(MaintenanceAction.ActionType.DRAIN, "a")),
                MaintenanceAction.due(state, THREE_NODES, oneOut));
    }

    @Test
    public void completesRequestOnlyAfterReturnSlowStartAndObservation() {
        MaintenanceState state = afterFirstVersion("a");
        FleetSnapshot fleet = drainingA(drainedReport("g", "a"), drainedReport("h", "a"));
        state = next(1_000, state, fleet, oneOut);
        assertEquals(MaintenanceStage.OUT, stageOf(state, "a"));
        assertEquals(List.of(new MaintenanceAction(MaintenanceAction.ActionType.NOTIFY_FREE, "a")),
                MaintenanceAction.due(state, fleet, oneOut));
        fleet = withPhase(fleet, "a", MachinePhase.AWAY);
        state = next(20_000, state, fleet, oneOut);
        assertEquals(MaintenanceStage.OUT, stageOf(state, "a"));
        fleet = withMachine(fleet, machine("a", MachineRole.NODE, MachinePhase.DRAINING, "2", 0));
        state = next(21_000, state, fleet, oneOut);
        assertEquals(MaintenanceStage.RETURNING, stageOf(state, "a"));
        assertEquals(List.of(new MaintenanceAction(MaintenanceAction.ActionType.SERVE, "a")),
                MaintenanceAction.due(state, fleet, oneOut));
        fleet = withMachine(fleet, machine("a", MachineRole.NODE, MachinePhase.SERVING, "2",
                FleetFixtures.SLOW_START_MILLIS - 1));
        state = next(41_000, state, fleet, oneOut);
        assertEquals("in slow start", MaintenanceStage.RETURNING, stageOf(state, "a"));
        fleet = withMachine(fleet, machine("a", MachineRole.NODE, MachinePhase.SERVING, "2",
                FleetFixtures.SLOW_START_MILLIS));
        state = next(42_000, state, fleet, oneOut);
        assertEquals(MaintenanceStage.WARM, stageOf(state, "a"));
        state = next(46_999, state, fleet, oneOut);
        assertEquals(MaintenanceStage.WARM, stageOf(state, "a"));
        state = next(47_000, state, fleet, oneOut);
        assertEquals(MaintenanceStage.DONE, stageOf(state, "a"));
    }

    @Test
    public void doesNotBeginNextRequestInVersionThatCompletesPrevious() {
        MaintenanceState state = submit(MaintenanceState.EMPTY, 0, request("a"), request("b"));
        state = new MaintenanceState(
                Map.of("w-a",
                        state.requests().get("w-a").withStage(MaintenanceStage.WARM, 0, List.of()).withIncarnation("0"),
                        "w-b",
                        state.requests().get("w-b").withStage(MaintenanceStage.PLANNED, 0, List.of())).entrySet()
                        .stream()
                        .collect(java.util.stream.Collectors.toMap(
                                Map.Entry::getKey, Map.Entry::getValue, (x, y) -> x, java.util.TreeMap::new)),
                List.of("w-a", "w-b"), false);
        state = next(5_000, state, THREE_NODES, oneOut);
        assertEquals(MaintenanceStage.DONE, stageOf(state, "a"));
        assertEquals(MaintenanceStage.PLANNED, stageOf(state, "b"));
        assertEquals(MaintenanceStage.DRAINING, stageOf(next(5_000, state, THREE_NODES, oneOut), "b"));
    }

    @Test
    public void keepsDrainingWhileGathererIsBusyOrUnconfirmedUntilPartTimeout() {
        MaintenanceState state = afterFirstVersion("a");
        GathererReport confirmed = drainedReport("g", "a");
        List<GathererReport> busy = List.of(new GathererReport("h", 0, Set.of("a"), Map.of("a", 1)),
                new GathererReport("h", 0, Set.of(), Map.of()),
                new GathererReport("h", FleetFixtures.PART_TIMEOUT_MILLIS - 1, Set.of("a"), Map.of()));
        for (GathererReport report : busy) {
            MaintenanceState following = next(1_000, state, drainingA(confirmed, report), oneOut);
            assertEquals(report.toString(), MaintenanceStage.DRAINING, stageOf(following, "a"));
            assertEquals(List.of(new MaintenanceConstraint(MaintenanceRule.BUSY, List.of("h"), List.of(), "")),
                    reasonsOf(following, "a"));
        }
        assertEquals(MaintenanceStage.OUT,
                stageOf(next(1_000, state, drainingA(confirmed,
                        new GathererReport("h", FleetFixtures.PART_TIMEOUT_MILLIS, Set.of(), Map.of("a", 3))),
                        oneOut), "a"));
        FleetSnapshot recentlyDraining = withMachine(drainingA(confirmed),
                new Machine("a", MachineRole.NODE, "a", 1, false, MachinePhase.DRAINING, "1",
                        FleetFixtures.PART_TIMEOUT_MILLIS - 1, 0));
        assertEquals("one of two expected gatherers has not reported", MaintenanceStage.DRAINING,
                stageOf(next(1_000, state, recentlyDraining, oneOut), "a"));
        assertEquals(MaintenanceStage.OUT, stageOf(next(1_000, state, drainingA(confirmed), oneOut), "a"));
        assertEquals("not observed as draining", MaintenanceStage.DRAINING,
                stageOf(next(1_000, state, withReports(THREE_NODES, 1, confirmed), oneOut), "a"));
    }

    @Test
    public void givesUpRequestAfterDrainTimeoutAndServesAgain() {
        MaintenanceState state = afterFirstVersion("a");
        FleetSnapshot fleet = drainingA(drainedReport("g", "a"),
                new GathererReport("h", 0, Set.of("a"), Map.of("a", 1)));
        state = next(60_000, state, fleet, oneOut);
        assertEquals(MaintenanceStage.GIVEN_UP, stageOf(state, "a"));
        assertEquals(List.of(new MaintenanceConstraint(MaintenanceRule.BUSY, List.of("h"), List.of(), "drain")),
                reasonsOf(state, "a"));
        assertTrue(MaintenanceAction.due(state, fleet, oneOut)
                .contains(new MaintenanceAction(MaintenanceAction.ActionType.SERVE, "a")));
        state = next(61_000, state, withPhase(fleet, "a", MachinePhase.SERVING), oneOut);
        assertEquals("a later drain by staff is not undone", List.of(), MaintenanceAction.due(state, fleet, oneOut));
    }

    @Test
    public void holdsDrainingRequestWhenOtherHolderCrashes() {
        MaintenanceState state = afterFirstVersion("a");
        FleetSnapshot fleet = withPhase(drainingA(drainedReport("g", "a"), drainedReport("h", "a")), "b",
                MachinePhase.AWAY);
        state = next(1_000, state, fleet, TWO_OUT);
        assertEquals(MaintenanceStage.HELD, stageOf(state, "a"));
        assertEquals(List.of(new MaintenanceConstraint(MaintenanceRule.COVER, List.of("b"), List.of("x"), "")),
                reasonsOf(state, "a"));
        assertTrue(MaintenanceAction.due(state, fleet, oneOut)
                .contains(new MaintenanceAction(MaintenanceAction.ActionType.SERVE, "a")));
        assertEquals("resumes once the other holder is back", MaintenanceStage.DRAINING,
                stageOf(next(90_000, state, THREE_NODES, TWO_OUT), "a"));
    }

    @Test
    public void holdsExcessDrainAndDoesNotNotifyFreeWhileBusy() {
        MaintenanceState state = afterFirstVersion("a", "c");
        FleetSnapshot fleet = withPhase(drainingA(drainedReport("g", "a", "c"), drainedReport("h", "a", "c")), "c",
                MachinePhase.DRAINING);
        MaintenanceState following = next(1_000, state, fleet, oneOut); // the budget dropped from two to one
        assertEquals(List.of(MaintenanceStage.DRAINING, MaintenanceStage.HELD),
                List.of(stageOf(following, "a"), stageOf(following, "c")));
        MaintenanceState out = next(1_000, afterFirstVersion("a"),
                drainingA(drainedReport("g", "a"), drainedReport("h", "a")), oneOut);
        assertEquals(List.of(), MaintenanceAction.due(out,
                drainingA(drainedReport("g", "a"), new GathererReport("h", 0, Set.of(), Map.of())), oneOut));
    }

    @Test
    public void countsUnplannedOutagesAgainstBudget() {
        FleetSnapshot fleet = fleet(List.of(node("a"), node("b"), node("c")));
        MaintenanceState state = submit(MaintenanceState.EMPTY, 0, request("a"));
        MaintenanceState following = next(0, state, withPhase(fleet, "c", MachinePhase.AWAY), oneOut);
        assertEquals(MaintenanceStage.HELD, stageOf(following, "a"));
        assertEquals(List.of(new MaintenanceConstraint(MaintenanceRule.AT_ONCE, List.of("c"), List.of(), "at_once")),
                reasonsOf(following, "a"));
        following = next(0, state, withMachine(fleet,
                machine("c", MachineRole.NODE, MachinePhase.SERVING, "1", FleetFixtures.SLOW_START_MILLIS - 1)),
                oneOut);
        assertEquals("in slow start after an unplanned restart", MaintenanceStage.HELD, stageOf(following, "a"));
        following = next(0, state, withPhase(fleet, "c", MachinePhase.DRAINING), oneOut);
        assertEquals("drained outside the order", MaintenanceStage.HELD, stageOf(following, "a"));
        assertEquals(MaintenanceStage.DRAINING,
                stageOf(next(0, state, withPhase(fleet, "c", MachinePhase.AWAY), TWO_OUT), "a"));
    }

    @Test
    public void enforcesCentreCapacityGathererAndVoterLimits() {
        FleetSnapshot fleet = fleet(List.of(node("a1"), node("a2"), node("b1"), node("b2"), gatherer("g1"),
                gatherer("g2"), gatherer("g3")));
        MaintenanceState nodes = submit(MaintenanceState.EMPTY, 0, request("a1"), request("a2"), request("b1"));
        MaintenanceState state = next(0, nodes, fleet, FleetFixtures.withCentreLimits(budgets(9), Map.of("a", 1)));
        assertEquals(List.of(MaintenanceStage.DRAINING, MaintenanceStage.PLANNED, MaintenanceStage.DRAINING),
                List.of(stageOf(state, "a1"), stageOf(state, "a2"), stageOf(state, "b1")));
        assertEquals("centres.a", reasonsOf(state, "a2").get(0).budget());
        state = next(0, nodes, fleet, FleetFixtures.withMinimums(budgets(9), 500_000, 0));
        assertEquals(List.of(MaintenanceStage.DRAINING, MaintenanceStage.DRAINING, MaintenanceStage.PLANNED),
                List.of(stageOf(state, "a1"), stageOf(state, "a2"), stageOf(state, "b1")));
        // slow start begins at 16 % of the capacity and grows linearly: 58 % at half of its duration
        FleetSnapshot slowStarting = withMachine(fleet,
                machine("b2", MachineRole.NODE, MachinePhase.SERVING, "1", FleetFixtures.SLOW_START_MILLIS / 2));
        assertEquals(MaintenanceStage.DRAINING,
                stageOf(next(0, nodes, slowStarting, FleetFixtures.withMinimums(budgets(9), 645_000, 0)), "a1"));
        assertEquals(MaintenanceStage.HELD,
                stageOf(next(0, nodes, slowStarting, FleetFixtures.withMinimums(budgets(9), 645_001, 0)), "a1"));
        MaintenanceState gatherers = submit(MaintenanceState.EMPTY, 0, request("g1"), request("g2"));
        state = next(0, gatherers, fleet, budgets(9));
        assertEquals("two of three voters must stay", List.of(MaintenanceStage.DRAINING, MaintenanceStage.PLANNED),
                List.of(stageOf(state, "g1"), stageOf(state, "g2")));
        assertEquals(MaintenanceRule.VOTERS, reasonsOf(state, "g2").get(0).rule());
        state = next(0, gatherers, fleet, FleetFixtures.withMinimums(budgets(9), 0, 3));
        assertEquals(MaintenanceStage.REFUSED, stageOf(state, "g1"));
        assertEquals(List.of(MaintenanceConstraint.budget(MaintenanceRule.GATHERERS, "gatherers_kept")),
                reasonsOf(state, "g1"));
    }

    /** Guards against a gatherer that leads again once it has drained, and is never reported to staff as free. */
    @Test
    public void transfersLeadershipThatDrainedGathererRegains() {
        FleetSnapshot fleet = withQuorum(fleet(List.of(gatherer("g"), gatherer("h"), gatherer("i"))), true, "h");
        MaintenanceState draining = next(0, submit(MaintenanceState.EMPTY, 0, request("g")), fleet, oneOut);
        FleetSnapshot drained = withReports(withPhase(fleet, "g", MachinePhase.DRAINING), 3, drainedReport("g", "g"));
        FleetSnapshot leadsAgain = withQuorum(drained, true, "g");
        MaintenanceState out = next(1, draining, drained, oneOut);
        assertEquals(MaintenanceStage.OUT, stageOf(out, "g"));
        for (MaintenanceState state : List.of(draining, out)) {
            assertEquals(List.of(new MaintenanceAction(MaintenanceAction.ActionType.TRANSFER_LEADERSHIP, "g")),
                    MaintenanceAction.due(state, leadsAgain, oneOut));
        }
        assertEquals(List.of(new MaintenanceAction(MaintenanceAction.ActionType.NOTIFY_FREE, "g")),
                MaintenanceAction.due(out, drained, oneOut));
    }

    @Test
    public void transfersLeadershipBeforeLeadingGathererHandsOver() {
        FleetSnapshot fleet = withQuorum(fleet(List.of(gatherer("g"), gatherer("h"), gatherer("i"))), true, "g");
        MaintenanceState state = next(0, submit(MaintenanceState.EMPTY, 0, request("g")), fleet, oneOut);
        assertEquals(List.of(new MaintenanceAction(MaintenanceAction.ActionType.TRANSFER_LEADERSHIP, "g")),
                MaintenanceAction.due(state, fleet, oneOut));
        fleet = withQuorum(fleet, true, "h");
        assertEquals(List.of(new MaintenanceAction(MaintenanceAction.ActionType.HAND_OVER, "g")),
                MaintenanceAction.due(state, fleet, oneOut));
        fleet = withPhase(fleet, "g", MachinePhase.DRAINING);
        GathererReport clients = new GathererReport("g", 0, Set.of("g"), Map.of("g", 2));
        assertEquals(MaintenanceStage.DRAINING, stageOf(next(1, state, withReports(fleet, 3, clients), oneOut), "g"));
        assertEquals(MaintenanceStage.DRAINING,
                stageOf(next(1, state, withReports(withQuorum(fleet, true, "g"), 3, drainedReport("g", "g")), oneOut),
                        "g"));
        assertEquals(MaintenanceStage.OUT,
                stageOf(next(1, state, withReports(fleet, 3, drainedReport("g", "g")), oneOut), "g"));
    }

    @Test
    public void beginsNothingWithoutQuorumAndObservesReturn() {
        FleetSnapshot fleet = withQuorum(drainingA(drainedReport("g", "a"), drainedReport("h", "a")), false, "");
        assertEquals(MaintenanceStage.ASKED,
                stageOf(next(0, submit(MaintenanceState.EMPTY, 0, request("a")), withQuorum(THREE_NODES, false, ""),
                        oneOut), "a"));
        MaintenanceState state = afterFirstVersion("a");
        assertEquals(MaintenanceStage.DRAINING, stageOf(next(1_000, state, fleet, oneOut), "a"));
        state = next(1_000, state, drainingA(drainedReport("g", "a"), drainedReport("h", "a")), oneOut);
        state = next(2_000, state, withMachine(fleet,
                machine("a", MachineRole.NODE, MachinePhase.SERVING, "2", FleetFixtures.SLOW_START_MILLIS)), oneOut);
        assertEquals(MaintenanceStage.WARM, stageOf(state, "a"));
    }

    @Test
    public void doesNotTreatSilenceAsReturnAndMarksLateMachinesOverdue() throws Exception {
        MaintenanceState state = next(1_000, afterFirstVersion("a"),
                drainingA(drainedReport("g", "a"), drainedReport("h", "a")), oneOut);
        FleetSnapshot away = withPhase(THREE_NODES, "a", MachinePhase.AWAY);
        assertEquals(MaintenanceStage.OUT, stageOf(next(51_000, state, away, oneOut), "a"));
        state = next(51_001, state, away, oneOut);
        assertEquals(MaintenanceStage.OVERDUE, stageOf(state, "a"));
        assertTrue(MaintenanceAction.due(state, away, oneOut)
                .contains(new MaintenanceAction(MaintenanceAction.ActionType.NOTIFY_OVERDUE, "a")));
        MaintenanceState following = next(51_002, submit(state, 51_002, request("b"), request("c", "a")), away,
                TWO_OUT);
        assertEquals(MaintenanceStage.PLANNED, stageOf(following, "b"));
        assertEquals(List.of("a"), reasonsOf(following, "b").get(0).machines());
        assertEquals(MaintenanceStage.HELD, stageOf(following, "c"));
        assertEquals(List.of(MaintenanceConstraint.of(MaintenanceRule.PIN, "a")), reasonsOf(following, "c"));
        FleetSnapshot serving = withPhase(THREE_NODES, "a", MachinePhase.SERVING);
        assertEquals("set to serving outside the order", MaintenanceStage.DRAINING,
                stageOf(next(52_000, state, serving, oneOut), "a"));
        assertEquals("not restarted: it has the same incarnation", MaintenanceStage.OVERDUE,
                stageOf(next(52_000, state, withPhase(THREE_NODES, "a", MachinePhase.DRAINING), oneOut), "a"));
        assertEquals("staff reported the work as done", MaintenanceStage.WARM,
                stageOf(next(52_000, RequestOperations.markReturned(state, "w-a"), THREE_NODES, oneOut), "a"));
        assertEquals(MaintenanceStage.WARM,
                stageOf(next(99_000, state, withMachine(THREE_NODES,
                        machine("a", MachineRole.NODE, MachinePhase.SERVING, "2", FleetFixtures.SLOW_START_MILLIS)),
                        oneOut), "a"));
    }

    @Test
    public void waitsForSlowStartAgainAfterFurtherRestart() {
        MaintenanceState state = next(1_000, afterFirstVersion("a"),
                drainingA(drainedReport("g", "a"), drainedReport("h", "a")), oneOut);
        state = next(2_000, state, withMachine(THREE_NODES,
                machine("a", MachineRole.NODE, MachinePhase.SERVING, "2", 9_000)), oneOut);
        state = next(3_000, state, withPhase(THREE_NODES, "a", MachinePhase.AWAY), oneOut);
        assertEquals(MaintenanceStage.RETURNING, stageOf(state, "a"));
        assertEquals(MaintenanceRule.ABSENT, reasonsOf(state, "a").get(0).rule());
        state = next(4_000, state, withMachine(THREE_NODES,
                machine("a", MachineRole.NODE, MachinePhase.SERVING, "3", 0)), oneOut);
        assertEquals(MaintenanceStage.RETURNING, stageOf(state, "a"));
        state = next(22_000, state, withMachine(THREE_NODES,
                machine("a", MachineRole.NODE, MachinePhase.SERVING, "3", FleetFixtures.SLOW_START_MILLIS)), oneOut);
        state = next(23_000, state, withMachine(THREE_NODES,
                machine("a", MachineRole.NODE, MachinePhase.SERVING, "4", 0)), oneOut);
        assertEquals("also during observation", MaintenanceStage.RETURNING, stageOf(state, "a"));
    }

    @Test
    public void respectsMaintenanceWindowsAndDeadlines() {
        var windows = new Budgets.MaintenanceWindows(
                List.of(new Budgets.MaintenanceWindows.DailyWindow(22 * 60, 4 * 60)), 300);
        Budgets windowBudgets = FleetFixtures.withWindows(oneOut, windows);
        long noon = 12 * 3_600_000L;
        MaintenanceState state = next(noon, submit(MaintenanceState.EMPTY, noon, request("a")), THREE_NODES,
                windowBudgets);
        assertEquals(List.of(MaintenanceConstraint.budget(MaintenanceRule.HOURS, "hours")), reasonsOf(state, "a"));
        assertEquals(MaintenanceStage.PLANNED, stageOf(state, "a"));
        // 22:00 at UTC+5
        assertEquals(MaintenanceStage.DRAINING, stageOf(next(17 * 3_600_000L, state, THREE_NODES, windowBudgets), "a"));
        assertEquals("the outage would not fit into the window", MaintenanceStage.PLANNED,
                stageOf(next(23 * 3_600_000L - 47_999, state, THREE_NODES, windowBudgets), "a"));
        MaintenanceState withDeadline = next(noon, submit(MaintenanceState.EMPTY, noon,
                request("a", 20_000, 18 * 3_600_000L)), THREE_NODES, windowBudgets);
        assertEquals(MaintenanceStage.HELD,
                stageOf(next(18 * 3_600_000L - 47_999, withDeadline, THREE_NODES, windowBudgets), "a"));
        assertEquals(List.of(MaintenanceConstraint.of(MaintenanceRule.BY, "a")),
                reasonsOf(next(18 * 3_600_000L - 47_999, withDeadline, THREE_NODES, windowBudgets), "a"));
    }

    @Test
    public void appliesHoldResumeAndWithdrawByStaff() throws Exception {
        MaintenanceState state = afterFirstVersion("a", "c");
        assertEquals(MaintenanceStage.DRAINING, stageOf(state, "c"));
        MaintenanceState heldOrder = next(1_000, RequestOperations.hold(state, true),
                drainingA(drainedReport("g", "a"), drainedReport("h", "a")), TWO_OUT);
        assertEquals(List.of(MaintenanceStage.HELD, MaintenanceStage.HELD),
                List.of(stageOf(heldOrder, "a"), stageOf(heldOrder, "c")));
        assertEquals(MaintenanceStage.DRAINING,
                stageOf(next(2_000, RequestOperations.hold(heldOrder, false), THREE_NODES, TWO_OUT), "a"));
        MaintenanceState heldRequest = next(1_000, RequestOperations.hold(state, "w-a", true),
                drainingA(drainedReport("g", "a"), drainedReport("h", "a")), TWO_OUT);
        assertEquals(List.of(MaintenanceStage.HELD, MaintenanceStage.DRAINING),
                List.of(stageOf(heldRequest, "a"), stageOf(heldRequest, "c")));
        MaintenanceState withdrawn = RequestOperations.withdraw(state, "w-a", 1_000);
        assertEquals(MaintenanceStage.GIVEN_UP, stageOf(withdrawn, "a"));
        assertTrue(MaintenanceAction.due(withdrawn, drainingA(), oneOut)
                .contains(new MaintenanceAction(MaintenanceAction.ActionType.SERVE, "a")));
        MaintenanceState out = next(1_000, state, drainingA(drainedReport("g", "a"), drainedReport("h", "a")), TWO_OUT);
        assertEquals(MaintenanceStage.OUT, stageOf(out, "a"));
        assertThrows(RequestRejectedException.class, () -> RequestOperations.withdraw(out, "w-a", 2_000));
        assertEquals(MaintenanceStage.HELD,
                stageOf(next(0, submit(MaintenanceState.unknown(), 0, request("a")), THREE_NODES, TWO_OUT), "a"));
    }

    @Test
    public void repeatedSubmissionIsIdempotent() throws Exception {
        MaintenanceState state = afterFirstVersion("a");
        for (int i = 0; i < 1_000; i++) {
            state = RequestOperations.submit(state, request("a"), i);
        }
        assertEquals(afterFirstVersion("a"), state);
        MaintenanceState submittedOnce = state;
        assertThrows(RequestRejectedException.class,
                () -> RequestOperations.submit(submittedOnce, request("a", 1, 2), 0));
        assertThrows(RequestRejectedException.class,
                () -> RequestOperations.submit(submittedOnce,
                        new MaintenanceRequest("w2", "a", 1, 2, "", "", new java.util.TreeSet<>(),
                                new java.util.TreeSet<>()),
                        0));
    }

    @Test
    public void respectsPrecedencesAndHoldsSuccessorOfWithdrawnRequest() throws Exception {
        FleetSnapshot fleet = fleet(List.of(node("a"), node("b"), node("c")));
        MaintenanceState state = next(0, submit(MaintenanceState.EMPTY, 0, request("a", "b"), request("b")), fleet,
                budgets(9));
        assertEquals(List.of(MaintenanceStage.PLANNED, MaintenanceStage.DRAINING),
                List.of(stageOf(state, "a"), stageOf(state, "b")));
        assertEquals(List.of(MaintenanceConstraint.of(MaintenanceRule.PIN, "b")), reasonsOf(state, "a"));
        state = next(1, RequestOperations.withdraw(state, "w-b", 1), fleet, budgets(9));
        assertEquals(MaintenanceStage.HELD, stageOf(state, "a"));
        var requestBefore = new MaintenanceRequest("w-c", "c", 20_000, MaintenanceRequest.NO_DEADLINE, "", "",
                new java.util.TreeSet<>(),
                new java.util.TreeSet<>(Set.of("a")));
        state = next(0, submit(MaintenanceState.EMPTY, 0, requestBefore, request("a")), fleet, budgets(9));
        assertEquals(List.of(MaintenanceStage.PLANNED, MaintenanceStage.DRAINING),
                List.of(stageOf(state, "a"), stageOf(state, "c")));
    }
}
