package wallmoor.maintenance;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;
import static wallmoor.maintenance.FleetFixtures.ask;
import static wallmoor.maintenance.FleetFixtures.block;
import static wallmoor.maintenance.FleetFixtures.budgets;
import static wallmoor.maintenance.FleetFixtures.fleet;
import static wallmoor.maintenance.FleetFixtures.free;
import static wallmoor.maintenance.FleetFixtures.gatherer;
import static wallmoor.maintenance.FleetFixtures.machine;
import static wallmoor.maintenance.FleetFixtures.node;
import static wallmoor.maintenance.FleetFixtures.phase;
import static wallmoor.maintenance.FleetFixtures.quorum;
import static wallmoor.maintenance.FleetFixtures.step;
import static wallmoor.maintenance.FleetFixtures.why;
import static wallmoor.maintenance.FleetFixtures.wish;
import static wallmoor.maintenance.FleetFixtures.with;
import static wallmoor.maintenance.FleetFixtures.words;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;
import wallmoor.maintenance.Machine.MachinePhase;
import wallmoor.maintenance.Machine.MachineRole;

/** Each rule of docs/maintenance.md, one by one. */
public class MaintenanceStateMachineTest {
    private static final FleetSnapshot THREE = fleet(List.of(node("a"), node("b"), node("c")), block("x", "a", "b"),
            block("y", "b", "c"));
    private static final Budgets TWO = budgets(2);
    private final Budgets one = budgets(1);

    private static MaintenanceState next(long now, MaintenanceState s, FleetSnapshot f, Budgets b) {
        return MaintenanceStateMachine.next(now, s, f, b);
    }

    /** With a draining, seen so, and the two gatherers' words. */
    private static FleetSnapshot draining(GathererReport... words) {
        return words(phase(THREE, "a", MachinePhase.DRAINING), 2, words);
    }

    private MaintenanceState begun(String... machines) {
        MaintenanceState s = MaintenanceState.EMPTY;
        for (String m : machines) {
            s = ask(s, 0, wish(m));
        }
        return next(0, s, THREE, TWO);
    }

    @Test
    public void twoHoldersOfOneBlockGoOneAfterTheOther() {
        MaintenanceState s = begun("a", "b");
        assertEquals(MaintenanceStage.DRAINING, step(s, "a"));
        assertEquals(MaintenanceStage.PLANNED, step(s, "b"));
        assertEquals(List.of(new MaintenanceConstraint(MaintenanceRule.COVER, List.of("a"), List.of("x"), "")),
                why(s, "b"));
        assertEquals(List.of(new MaintenanceAction(MaintenanceAction.ActionType.DRAIN, "a")),
                MaintenanceAction.due(s, THREE, one));
    }

    @Test
    public void aWholeTurnEndsOnlyWhenTheMachineIsBackWarmAndWatched() {
        MaintenanceState s = begun("a");
        FleetSnapshot f = draining(free("g", "a"), free("h", "a"));
        s = next(1_000, s, f, one);
        assertEquals(MaintenanceStage.OUT, step(s, "a"));
        assertEquals(List.of(new MaintenanceAction(MaintenanceAction.ActionType.NOTIFY_FREE, "a")),
                MaintenanceAction.due(s, f, one));
        f = phase(f, "a", MachinePhase.AWAY);
        s = next(20_000, s, f, one);
        assertEquals(MaintenanceStage.OUT, step(s, "a"));
        f = with(f, machine("a", MachineRole.NODE, MachinePhase.DRAINING, "2", 0));
        s = next(21_000, s, f, one);
        assertEquals(MaintenanceStage.RETURNING, step(s, "a"));
        assertEquals(List.of(new MaintenanceAction(MaintenanceAction.ActionType.SERVE, "a")),
                MaintenanceAction.due(s, f, one));
        f = with(f, machine("a", MachineRole.NODE, MachinePhase.SERVING, "2", FleetFixtures.COLD - 1));
        s = next(41_000, s, f, one);
        assertEquals("cold", MaintenanceStage.RETURNING, step(s, "a"));
        f = with(f, machine("a", MachineRole.NODE, MachinePhase.SERVING, "2", FleetFixtures.COLD));
        s = next(42_000, s, f, one);
        assertEquals(MaintenanceStage.WARM, step(s, "a"));
        s = next(46_999, s, f, one);
        assertEquals(MaintenanceStage.WARM, step(s, "a"));
        s = next(47_000, s, f, one);
        assertEquals(MaintenanceStage.DONE, step(s, "a"));
    }

    @Test
    public void theNextDoesNotBeginWithTheVersionThatEndsTheOneBefore() {
        MaintenanceState s = ask(MaintenanceState.EMPTY, 0, wish("a"), wish("b"));
        s = new MaintenanceState(
                Map.of("w-a", s.requests().get("w-a").at(MaintenanceStage.WARM, 0, List.of()).withIncarnation("0"),
                        "w-b",
                        s.requests().get("w-b").at(MaintenanceStage.PLANNED, 0, List.of())).entrySet().stream()
                        .collect(java.util.stream.Collectors.toMap(
                                Map.Entry::getKey, Map.Entry::getValue, (x, y) -> x, java.util.TreeMap::new)),
                List.of("w-a", "w-b"), false);
        s = next(5_000, s, THREE, one);
        assertEquals(MaintenanceStage.DONE, step(s, "a"));
        assertEquals(MaintenanceStage.PLANNED, step(s, "b"));
        assertEquals(MaintenanceStage.DRAINING, step(next(5_000, s, THREE, one), "b"));
    }

    @Test
    public void busyIsWhoHasPartsDoesNotHeedOrCannotBeAskedUntilPartsAreOver() {
        MaintenanceState s = begun("a");
        GathererReport asked = free("g", "a");
        List<GathererReport> busy = List.of(new GathererReport("h", 0, Set.of("a"), Map.of("a", 1)),
                new GathererReport("h", 0, Set.of(), Map.of()),
                new GathererReport("h", FleetFixtures.PARTS - 1, Set.of("a"), Map.of()));
        for (GathererReport w : busy) {
            MaintenanceState t = next(1_000, s, draining(asked, w), one);
            assertEquals(w.toString(), MaintenanceStage.DRAINING, step(t, "a"));
            assertEquals(List.of(new MaintenanceConstraint(MaintenanceRule.BUSY, List.of("h"), List.of(), "")),
                    why(t, "a"));
        }
        assertEquals(MaintenanceStage.OUT, step(
                next(1_000, s, draining(asked, new GathererReport("h", FleetFixtures.PARTS, Set.of(), Map.of("a", 3))),
                        one),
                "a"));
        FleetSnapshot fresh = with(draining(asked),
                new Machine("a", MachineRole.NODE, "a", 1, false, MachinePhase.DRAINING, "1", FleetFixtures.PARTS - 1,
                        0));
        assertEquals("one of two is not known", MaintenanceStage.DRAINING, step(next(1_000, s, fresh, one), "a"));
        assertEquals(MaintenanceStage.OUT, step(next(1_000, s, draining(asked), one), "a"));
        assertEquals("not seen draining", MaintenanceStage.DRAINING,
                step(next(1_000, s, words(THREE, 1, asked), one), "a"));
    }

    @Test
    public void oneThatIsNeverFreeIsGivenUpAndServesAgain() {
        MaintenanceState s = begun("a");
        FleetSnapshot f = draining(free("g", "a"), new GathererReport("h", 0, Set.of("a"), Map.of("a", 1)));
        s = next(60_000, s, f, one);
        assertEquals(MaintenanceStage.GIVEN_UP, step(s, "a"));
        assertEquals(List.of(new MaintenanceConstraint(MaintenanceRule.BUSY, List.of("h"), List.of(), "drain")),
                why(s, "a"));
        assertTrue(MaintenanceAction.due(s, f, one)
                .contains(new MaintenanceAction(MaintenanceAction.ActionType.SERVE, "a")));
        s = next(61_000, s, phase(f, "a", MachinePhase.SERVING), one);
        assertEquals("what staff drain later is theirs", List.of(), MaintenanceAction.due(s, f, one));
    }

    @Test
    public void aTwinThatCrashesPutsTheDrainingOneBack() {
        MaintenanceState s = begun("a");
        FleetSnapshot f = phase(draining(free("g", "a"), free("h", "a")), "b", MachinePhase.AWAY);
        s = next(1_000, s, f, TWO);
        assertEquals(MaintenanceStage.HELD, step(s, "a"));
        assertEquals(List.of(new MaintenanceConstraint(MaintenanceRule.COVER, List.of("b"), List.of("x"), "")),
                why(s, "a"));
        assertTrue(MaintenanceAction.due(s, f, one)
                .contains(new MaintenanceAction(MaintenanceAction.ActionType.SERVE, "a")));
        assertEquals("it goes on by itself", MaintenanceStage.DRAINING, step(next(90_000, s, THREE, TWO), "a"));
    }

    @Test
    public void nobodyGoesOutBesideOneThatIsPutBackNorIsToldFreeWhileBusy() {
        MaintenanceState s = begun("a", "c");
        FleetSnapshot f = phase(draining(free("g", "a", "c"), free("h", "a", "c")), "c", MachinePhase.DRAINING);
        MaintenanceState t = next(1_000, s, f, one); // one too many drain: the budget was two
        assertEquals(List.of(MaintenanceStage.DRAINING, MaintenanceStage.HELD), List.of(step(t, "a"), step(t, "c")));
        MaintenanceState out = next(1_000, begun("a"), draining(free("g", "a"), free("h", "a")), one);
        assertEquals(List.of(),
                MaintenanceAction.due(out, draining(free("g", "a"), new GathererReport("h", 0, Set.of(), Map.of())),
                        one));
    }

    @Test
    public void whatIsOutByItselfCountsAndTheOrderWaits() {
        FleetSnapshot f = fleet(List.of(node("a"), node("b"), node("c")));
        MaintenanceState s = ask(MaintenanceState.EMPTY, 0, wish("a"));
        MaintenanceState t = next(0, s, phase(f, "c", MachinePhase.AWAY), one);
        assertEquals(MaintenanceStage.HELD, step(t, "a"));
        assertEquals(List.of(new MaintenanceConstraint(MaintenanceRule.AT_ONCE, List.of("c"), List.of(), "at_once")),
                why(t, "a"));
        t = next(0, s, with(f, machine("c", MachineRole.NODE, MachinePhase.SERVING, "1", FleetFixtures.COLD - 1)), one);
        assertEquals("cold by itself", MaintenanceStage.HELD, step(t, "a"));
        t = next(0, s, phase(f, "c", MachinePhase.DRAINING), one);
        assertEquals("drained by others", MaintenanceStage.HELD, step(t, "a"));
        assertEquals(MaintenanceStage.DRAINING, step(next(0, s, phase(f, "c", MachinePhase.AWAY), TWO), "a"));
    }

    @Test
    public void centresCapacityGatherersAndVotersAreKept() {
        FleetSnapshot f = fleet(List.of(node("a1"), node("a2"), node("b1"), node("b2"), gatherer("g1"), gatherer("g2"),
                gatherer("g3")));
        MaintenanceState nodes = ask(MaintenanceState.EMPTY, 0, wish("a1"), wish("a2"), wish("b1"));
        MaintenanceState s = next(0, nodes, f, FleetFixtures.centres(budgets(9), Map.of("a", 1)));
        assertEquals(List.of(MaintenanceStage.DRAINING, MaintenanceStage.PLANNED, MaintenanceStage.DRAINING),
                List.of(step(s, "a1"), step(s, "a2"), step(s, "b1")));
        assertEquals("centres.a", why(s, "a2").get(0).budget());
        s = next(0, nodes, f, FleetFixtures.kept(budgets(9), 500_000, 0));
        assertEquals(List.of(MaintenanceStage.DRAINING, MaintenanceStage.DRAINING, MaintenanceStage.PLANNED),
                List.of(step(s, "a1"), step(s, "a2"), step(s, "b1")));
        // a cold one gives 16 % and the rest by its age: 58 % at half of its time
        FleetSnapshot cold = with(f,
                machine("b2", MachineRole.NODE, MachinePhase.SERVING, "1", FleetFixtures.COLD / 2));
        assertEquals(MaintenanceStage.DRAINING,
                step(next(0, nodes, cold, FleetFixtures.kept(budgets(9), 645_000, 0)), "a1"));
        assertEquals(MaintenanceStage.HELD,
                step(next(0, nodes, cold, FleetFixtures.kept(budgets(9), 645_001, 0)), "a1"));
        MaintenanceState gatherers = ask(MaintenanceState.EMPTY, 0, wish("g1"), wish("g2"));
        s = next(0, gatherers, f, budgets(9));
        assertEquals("two of three voters stay", List.of(MaintenanceStage.DRAINING, MaintenanceStage.PLANNED),
                List.of(step(s, "g1"), step(s, "g2")));
        assertEquals(MaintenanceRule.VOTERS, why(s, "g2").get(0).rule());
        s = next(0, gatherers, f, FleetFixtures.kept(budgets(9), 0, 3));
        assertEquals(MaintenanceStage.REFUSED, step(s, "g1"));
        assertEquals(List.of(MaintenanceConstraint.budget(MaintenanceRule.GATHERERS, "gatherers_kept")), why(s, "g1"));
    }

    @Test
    public void theGathererThatLeadsYieldsHandsOverAndGoes() {
        FleetSnapshot f = quorum(fleet(List.of(gatherer("g"), gatherer("h"), gatherer("i"))), true, "g");
        MaintenanceState s = next(0, ask(MaintenanceState.EMPTY, 0, wish("g")), f, one);
        assertEquals(List.of(new MaintenanceAction(MaintenanceAction.ActionType.TRANSFER_LEADERSHIP, "g")),
                MaintenanceAction.due(s, f, one));
        f = quorum(f, true, "h");
        assertEquals(List.of(new MaintenanceAction(MaintenanceAction.ActionType.HAND_OVER, "g")),
                MaintenanceAction.due(s, f, one));
        f = phase(f, "g", MachinePhase.DRAINING);
        GathererReport clients = new GathererReport("g", 0, Set.of("g"), Map.of("g", 2));
        assertEquals(MaintenanceStage.DRAINING, step(next(1, s, words(f, 3, clients), one), "g"));
        assertEquals(MaintenanceStage.DRAINING,
                step(next(1, s, words(quorum(f, true, "g"), 3, free("g", "g")), one), "g"));
        assertEquals(MaintenanceStage.OUT, step(next(1, s, words(f, 3, free("g", "g")), one), "g"));
    }

    @Test
    public void withoutAQuorumNothingBeginsAndWhatIsOutComesBack() {
        FleetSnapshot f = quorum(draining(free("g", "a"), free("h", "a")), false, "");
        assertEquals(MaintenanceStage.ASKED,
                step(next(0, ask(MaintenanceState.EMPTY, 0, wish("a")), quorum(THREE, false, ""), one), "a"));
        MaintenanceState s = begun("a");
        assertEquals(MaintenanceStage.DRAINING, step(next(1_000, s, f, one), "a"));
        s = next(1_000, s, draining(free("g", "a"), free("h", "a")), one);
        s = next(2_000, s, with(f, machine("a", MachineRole.NODE, MachinePhase.SERVING, "2", FleetFixtures.COLD)), one);
        assertEquals(MaintenanceStage.WARM, step(s, "a"));
    }

    @Test
    public void silenceIsNoReturnAndLateIsOverdue() throws Exception {
        MaintenanceState s = next(1_000, begun("a"), draining(free("g", "a"), free("h", "a")), one);
        FleetSnapshot gone = phase(THREE, "a", MachinePhase.AWAY);
        assertEquals(MaintenanceStage.OUT, step(next(51_000, s, gone, one), "a"));
        s = next(51_001, s, gone, one);
        assertEquals(MaintenanceStage.OVERDUE, step(s, "a"));
        assertTrue(MaintenanceAction.due(s, gone, one)
                .contains(new MaintenanceAction(MaintenanceAction.ActionType.NOTIFY_OVERDUE, "a")));
        MaintenanceState t = next(51_002, ask(s, 51_002, wish("b"), wish("c", "a")), gone, TWO);
        assertEquals(MaintenanceStage.PLANNED, step(t, "b"));
        assertEquals(List.of("a"), why(t, "b").get(0).machines());
        assertEquals(MaintenanceStage.HELD, step(t, "c"));
        assertEquals(List.of(MaintenanceConstraint.of(MaintenanceRule.PIN, "a")), why(t, "c"));
        FleetSnapshot served = phase(THREE, "a", MachinePhase.SERVING);
        assertEquals("others let it serve", MaintenanceStage.DRAINING, step(next(52_000, s, served, one), "a"));
        assertEquals("not worked on: it is still there with the same start", MaintenanceStage.OVERDUE,
                step(next(52_000, s, phase(THREE, "a", MachinePhase.DRAINING), one), "a"));
        assertEquals("unless staff say so", MaintenanceStage.WARM,
                step(next(52_000, RequestOperations.markReturned(s, "w-a"), THREE, one), "a"));
        assertEquals(MaintenanceStage.WARM,
                step(next(99_000, s,
                        with(THREE, machine("a", MachineRole.NODE, MachinePhase.SERVING, "2", FleetFixtures.COLD)),
                        one), "a"));
    }

    @Test
    public void coldTwiceIsWaitedForTwice() {
        MaintenanceState s = next(1_000, begun("a"), draining(free("g", "a"), free("h", "a")), one);
        s = next(2_000, s, with(THREE, machine("a", MachineRole.NODE, MachinePhase.SERVING, "2", 9_000)), one);
        s = next(3_000, s, phase(THREE, "a", MachinePhase.AWAY), one);
        assertEquals(MaintenanceStage.RETURNING, step(s, "a"));
        assertEquals(MaintenanceRule.ABSENT, why(s, "a").get(0).rule());
        s = next(4_000, s, with(THREE, machine("a", MachineRole.NODE, MachinePhase.SERVING, "3", 0)), one);
        assertEquals(MaintenanceStage.RETURNING, step(s, "a"));
        s = next(22_000, s, with(THREE, machine("a", MachineRole.NODE, MachinePhase.SERVING, "3", FleetFixtures.COLD)),
                one);
        s = next(23_000, s, with(THREE, machine("a", MachineRole.NODE, MachinePhase.SERVING, "4", 0)), one);
        assertEquals("after it was warm, too", MaintenanceStage.RETURNING, step(s, "a"));
    }

    @Test
    public void hoursAndTimesAreKept() {
        var hours = new Budgets.MaintenanceWindows(List.of(new Budgets.MaintenanceWindows.DailyWindow(22 * 60, 4 * 60)),
                300);
        Budgets b = FleetFixtures.hours(one, hours);
        long noon = 12 * 3_600_000L;
        MaintenanceState s = next(noon, ask(MaintenanceState.EMPTY, noon, wish("a")), THREE, b);
        assertEquals(List.of(MaintenanceConstraint.budget(MaintenanceRule.HOURS, "hours")), why(s, "a"));
        assertEquals(MaintenanceStage.PLANNED, step(s, "a"));
        assertEquals(MaintenanceStage.DRAINING, step(next(17 * 3_600_000L, s, THREE, b), "a")); // 22:00 five hours east
        assertEquals("it would end too late", MaintenanceStage.PLANNED,
                step(next(23 * 3_600_000L - 47_999, s, THREE, b), "a"));
        MaintenanceState timed = next(noon, ask(MaintenanceState.EMPTY, noon, wish("a", 20_000, 18 * 3_600_000L)),
                THREE, b);
        assertEquals(MaintenanceStage.HELD, step(next(18 * 3_600_000L - 47_999, timed, THREE, b), "a"));
        assertEquals(List.of(MaintenanceConstraint.of(MaintenanceRule.BY, "a")),
                why(next(18 * 3_600_000L - 47_999, timed, THREE, b), "a"));
    }

    @Test
    public void staffHoldResumeAndWithdraw() throws Exception {
        MaintenanceState s = begun("a", "c");
        assertEquals(MaintenanceStage.DRAINING, step(s, "c"));
        MaintenanceState held = next(1_000, RequestOperations.hold(s, true), draining(free("g", "a"), free("h", "a")),
                TWO);
        assertEquals(List.of(MaintenanceStage.HELD, MaintenanceStage.HELD), List.of(step(held, "a"), step(held, "c")));
        assertEquals(MaintenanceStage.DRAINING,
                step(next(2_000, RequestOperations.hold(held, false), THREE, TWO), "a"));
        MaintenanceState single = next(1_000, RequestOperations.hold(s, "w-a", true),
                draining(free("g", "a"), free("h", "a")), TWO);
        assertEquals(List.of(MaintenanceStage.HELD, MaintenanceStage.DRAINING),
                List.of(step(single, "a"), step(single, "c")));
        MaintenanceState taken = RequestOperations.withdraw(s, "w-a", 1_000);
        assertEquals(MaintenanceStage.GIVEN_UP, step(taken, "a"));
        assertTrue(MaintenanceAction.due(taken, draining(), one)
                .contains(new MaintenanceAction(MaintenanceAction.ActionType.SERVE, "a")));
        MaintenanceState out = next(1_000, s, draining(free("g", "a"), free("h", "a")), TWO);
        assertEquals(MaintenanceStage.OUT, step(out, "a"));
        assertThrows(RequestRejectedException.class, () -> RequestOperations.withdraw(out, "w-a", 2_000));
        assertEquals(MaintenanceStage.HELD,
                step(next(0, ask(MaintenanceState.unknown(), 0, wish("a")), THREE, TWO), "a"));
    }

    @Test
    public void anAskIsSafeToRepeat() throws Exception {
        MaintenanceState s = begun("a");
        for (int i = 0; i < 1_000; i++) {
            s = RequestOperations.submit(s, wish("a"), i);
        }
        assertEquals(begun("a"), s);
        MaintenanceState once = s;
        assertThrows(RequestRejectedException.class, () -> RequestOperations.submit(once, wish("a", 1, 2), 0));
        assertThrows(RequestRejectedException.class,
                () -> RequestOperations.submit(once,
                        new MaintenanceRequest("w2", "a", 1, 2, "", "", new java.util.TreeSet<>(),
                                new java.util.TreeSet<>()),
                        0));
    }

    @Test
    public void pinsAreKeptAndADeadOneHolds() throws Exception {
        FleetSnapshot f = fleet(List.of(node("a"), node("b"), node("c")));
        MaintenanceState s = next(0, ask(MaintenanceState.EMPTY, 0, wish("a", "b"), wish("b")), f, budgets(9));
        assertEquals(List.of(MaintenanceStage.PLANNED, MaintenanceStage.DRAINING), List.of(step(s, "a"), step(s, "b")));
        assertEquals(List.of(MaintenanceConstraint.of(MaintenanceRule.PIN, "b")), why(s, "a"));
        s = next(1, RequestOperations.withdraw(s, "w-b", 1), f, budgets(9));
        assertEquals(MaintenanceStage.HELD, step(s, "a"));
        var before = new MaintenanceRequest("w-c", "c", 20_000, MaintenanceRequest.NO_DEADLINE, "", "",
                new java.util.TreeSet<>(),
                new java.util.TreeSet<>(Set.of("a")));
        s = next(0, ask(MaintenanceState.EMPTY, 0, before, wish("a")), f, budgets(9));
        assertEquals(List.of(MaintenanceStage.PLANNED, MaintenanceStage.DRAINING), List.of(step(s, "a"), step(s, "c")));
    }
}
