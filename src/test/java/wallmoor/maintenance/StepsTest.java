package wallmoor.maintenance;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;
import static wallmoor.maintenance.Fleets.ask;
import static wallmoor.maintenance.Fleets.block;
import static wallmoor.maintenance.Fleets.budgets;
import static wallmoor.maintenance.Fleets.fleet;
import static wallmoor.maintenance.Fleets.free;
import static wallmoor.maintenance.Fleets.gatherer;
import static wallmoor.maintenance.Fleets.machine;
import static wallmoor.maintenance.Fleets.node;
import static wallmoor.maintenance.Fleets.phase;
import static wallmoor.maintenance.Fleets.quorum;
import static wallmoor.maintenance.Fleets.step;
import static wallmoor.maintenance.Fleets.why;
import static wallmoor.maintenance.Fleets.wish;
import static wallmoor.maintenance.Fleets.with;
import static wallmoor.maintenance.Fleets.words;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;
import wallmoor.maintenance.Machine.Kind;
import wallmoor.maintenance.Machine.Phase;

/** Each rule of docs/maintenance.md, one by one. */
public class StepsTest {
    private static final Fleet THREE = fleet(List.of(node("a"), node("b"), node("c")), block("x", "a", "b"),
            block("y", "b", "c"));
    private static final Budgets TWO = budgets(2);
    private final Budgets one = budgets(1);

    private static State next(long now, State s, Fleet f, Budgets b) {
        return Steps.next(now, s, f, b);
    }

    /** With a draining, seen so, and the two gatherers' words. */
    private static Fleet draining(GathererReport... words) {
        return words(phase(THREE, "a", Phase.DRAINING), 2, words);
    }

    private State begun(String... machines) {
        State s = State.EMPTY;
        for (String m : machines) {
            s = ask(s, 0, wish(m));
        }
        return next(0, s, THREE, TWO);
    }

    @Test
    public void twoHoldersOfOneBlockGoOneAfterTheOther() {
        State s = begun("a", "b");
        assertEquals(Step.DRAINING, step(s, "a"));
        assertEquals(Step.PLANNED, step(s, "b"));
        assertEquals(List.of(new Reason(Rule.COVER, List.of("a"), List.of("x"), "")), why(s, "b"));
        assertEquals(List.of(new Act(Act.Kind.DRAIN, "a")), Act.of(s, THREE, one));
    }

    @Test
    public void aWholeTurnEndsOnlyWhenTheMachineIsBackWarmAndWatched() {
        State s = begun("a");
        Fleet f = draining(free("g", "a"), free("h", "a"));
        s = next(1_000, s, f, one);
        assertEquals(Step.OUT, step(s, "a"));
        assertEquals(List.of(new Act(Act.Kind.TELL_FREE, "a")), Act.of(s, f, one));
        f = phase(f, "a", Phase.AWAY);
        s = next(20_000, s, f, one);
        assertEquals(Step.OUT, step(s, "a"));
        f = with(f, machine("a", Kind.NODE, Phase.DRAINING, "2", 0));
        s = next(21_000, s, f, one);
        assertEquals(Step.RETURNING, step(s, "a"));
        assertEquals(List.of(new Act(Act.Kind.SERVE, "a")), Act.of(s, f, one));
        f = with(f, machine("a", Kind.NODE, Phase.SERVING, "2", Fleets.COLD - 1));
        s = next(41_000, s, f, one);
        assertEquals("cold", Step.RETURNING, step(s, "a"));
        f = with(f, machine("a", Kind.NODE, Phase.SERVING, "2", Fleets.COLD));
        s = next(42_000, s, f, one);
        assertEquals(Step.WARM, step(s, "a"));
        s = next(46_999, s, f, one);
        assertEquals(Step.WARM, step(s, "a"));
        s = next(47_000, s, f, one);
        assertEquals(Step.DONE, step(s, "a"));
    }

    @Test
    public void theNextDoesNotBeginWithTheVersionThatEndsTheOneBefore() {
        State s = ask(State.EMPTY, 0, wish("a"), wish("b"));
        s = new State(Map.of("w-a", s.wishes().get("w-a").at(Step.WARM, 0, List.of()).life("0"), "w-b",
                s.wishes().get("w-b").at(Step.PLANNED, 0, List.of())).entrySet().stream()
                .collect(java.util.stream.Collectors.toMap(
                        Map.Entry::getKey, Map.Entry::getValue, (x, y) -> x, java.util.TreeMap::new)),
                List.of("w-a", "w-b"), false);
        s = next(5_000, s, THREE, one);
        assertEquals(Step.DONE, step(s, "a"));
        assertEquals(Step.PLANNED, step(s, "b"));
        assertEquals(Step.DRAINING, step(next(5_000, s, THREE, one), "b"));
    }

    @Test
    public void busyIsWhoHasPartsDoesNotHeedOrCannotBeAskedUntilPartsAreOver() {
        State s = begun("a");
        GathererReport asked = free("g", "a");
        List<GathererReport> busy = List.of(new GathererReport("h", 0, Set.of("a"), Map.of("a", 1)),
                new GathererReport("h", 0, Set.of(), Map.of()),
                new GathererReport("h", Fleets.PARTS - 1, Set.of("a"), Map.of()));
        for (GathererReport w : busy) {
            State t = next(1_000, s, draining(asked, w), one);
            assertEquals(w.toString(), Step.DRAINING, step(t, "a"));
            assertEquals(List.of(new Reason(Rule.BUSY, List.of("h"), List.of(), "")), why(t, "a"));
        }
        assertEquals(Step.OUT, step(
                next(1_000, s, draining(asked, new GathererReport("h", Fleets.PARTS, Set.of(), Map.of("a", 3))), one),
                "a"));
        Fleet fresh = with(draining(asked),
                new Machine("a", Kind.NODE, "a", 1, false, Phase.DRAINING, "1", Fleets.PARTS - 1, 0));
        assertEquals("one of two is not known", Step.DRAINING, step(next(1_000, s, fresh, one), "a"));
        assertEquals(Step.OUT, step(next(1_000, s, draining(asked), one), "a"));
        assertEquals("not seen draining", Step.DRAINING, step(next(1_000, s, words(THREE, 1, asked), one), "a"));
    }

    @Test
    public void oneThatIsNeverFreeIsGivenUpAndServesAgain() {
        State s = begun("a");
        Fleet f = draining(free("g", "a"), new GathererReport("h", 0, Set.of("a"), Map.of("a", 1)));
        s = next(60_000, s, f, one);
        assertEquals(Step.GIVEN_UP, step(s, "a"));
        assertEquals(List.of(new Reason(Rule.BUSY, List.of("h"), List.of(), "drain")), why(s, "a"));
        assertTrue(Act.of(s, f, one).contains(new Act(Act.Kind.SERVE, "a")));
        s = next(61_000, s, phase(f, "a", Phase.SERVING), one);
        assertEquals("what staff drain later is theirs", List.of(), Act.of(s, f, one));
    }

    @Test
    public void aTwinThatCrashesPutsTheDrainingOneBack() {
        State s = begun("a");
        Fleet f = phase(draining(free("g", "a"), free("h", "a")), "b", Phase.AWAY);
        s = next(1_000, s, f, TWO);
        assertEquals(Step.HELD, step(s, "a"));
        assertEquals(List.of(new Reason(Rule.COVER, List.of("b"), List.of("x"), "")), why(s, "a"));
        assertTrue(Act.of(s, f, one).contains(new Act(Act.Kind.SERVE, "a")));
        assertEquals("it goes on by itself", Step.DRAINING, step(next(90_000, s, THREE, TWO), "a"));
    }

    @Test
    public void nobodyGoesOutBesideOneThatIsPutBackNorIsToldFreeWhileBusy() {
        State s = begun("a", "c");
        Fleet f = phase(draining(free("g", "a", "c"), free("h", "a", "c")), "c", Phase.DRAINING);
        State t = next(1_000, s, f, one); // one too many drain: the budget was two
        assertEquals(List.of(Step.DRAINING, Step.HELD), List.of(step(t, "a"), step(t, "c")));
        State out = next(1_000, begun("a"), draining(free("g", "a"), free("h", "a")), one);
        assertEquals(List.of(),
                Act.of(out, draining(free("g", "a"), new GathererReport("h", 0, Set.of(), Map.of())), one));
    }

    @Test
    public void whatIsOutByItselfCountsAndTheOrderWaits() {
        Fleet f = fleet(List.of(node("a"), node("b"), node("c")));
        State s = ask(State.EMPTY, 0, wish("a"));
        State t = next(0, s, phase(f, "c", Phase.AWAY), one);
        assertEquals(Step.HELD, step(t, "a"));
        assertEquals(List.of(new Reason(Rule.AT_ONCE, List.of("c"), List.of(), "at_once")), why(t, "a"));
        t = next(0, s, with(f, machine("c", Kind.NODE, Phase.SERVING, "1", Fleets.COLD - 1)), one);
        assertEquals("cold by itself", Step.HELD, step(t, "a"));
        t = next(0, s, phase(f, "c", Phase.DRAINING), one);
        assertEquals("drained by others", Step.HELD, step(t, "a"));
        assertEquals(Step.DRAINING, step(next(0, s, phase(f, "c", Phase.AWAY), TWO), "a"));
    }

    @Test
    public void centresCapacityGatherersAndVotersAreKept() {
        Fleet f = fleet(List.of(node("a1"), node("a2"), node("b1"), node("b2"), gatherer("g1"), gatherer("g2"),
                gatherer("g3")));
        State nodes = ask(State.EMPTY, 0, wish("a1"), wish("a2"), wish("b1"));
        State s = next(0, nodes, f, Fleets.centres(budgets(9), Map.of("a", 1)));
        assertEquals(List.of(Step.DRAINING, Step.PLANNED, Step.DRAINING),
                List.of(step(s, "a1"), step(s, "a2"), step(s, "b1")));
        assertEquals("centres.a", why(s, "a2").get(0).budget());
        s = next(0, nodes, f, Fleets.kept(budgets(9), 500_000, 0));
        assertEquals(List.of(Step.DRAINING, Step.DRAINING, Step.PLANNED),
                List.of(step(s, "a1"), step(s, "a2"), step(s, "b1")));
        // a cold one gives 16 % and the rest by its age: 58 % at half of its time
        Fleet cold = with(f, machine("b2", Kind.NODE, Phase.SERVING, "1", Fleets.COLD / 2));
        assertEquals(Step.DRAINING, step(next(0, nodes, cold, Fleets.kept(budgets(9), 645_000, 0)), "a1"));
        assertEquals(Step.HELD, step(next(0, nodes, cold, Fleets.kept(budgets(9), 645_001, 0)), "a1"));
        State gatherers = ask(State.EMPTY, 0, wish("g1"), wish("g2"));
        s = next(0, gatherers, f, budgets(9));
        assertEquals("two of three voters stay", List.of(Step.DRAINING, Step.PLANNED),
                List.of(step(s, "g1"), step(s, "g2")));
        assertEquals(Rule.VOTERS, why(s, "g2").get(0).rule());
        s = next(0, gatherers, f, Fleets.kept(budgets(9), 0, 3));
        assertEquals(Step.REFUSED, step(s, "g1"));
        assertEquals(List.of(Reason.budget(Rule.GATHERERS, "gatherers_kept")), why(s, "g1"));
    }

    @Test
    public void theGathererThatLeadsYieldsHandsOverAndGoes() {
        Fleet f = quorum(fleet(List.of(gatherer("g"), gatherer("h"), gatherer("i"))), true, "g");
        State s = next(0, ask(State.EMPTY, 0, wish("g")), f, one);
        assertEquals(List.of(new Act(Act.Kind.YIELD, "g")), Act.of(s, f, one));
        f = quorum(f, true, "h");
        assertEquals(List.of(new Act(Act.Kind.HAND_OVER, "g")), Act.of(s, f, one));
        f = phase(f, "g", Phase.DRAINING);
        GathererReport clients = new GathererReport("g", 0, Set.of("g"), Map.of("g", 2));
        assertEquals(Step.DRAINING, step(next(1, s, words(f, 3, clients), one), "g"));
        assertEquals(Step.DRAINING, step(next(1, s, words(quorum(f, true, "g"), 3, free("g", "g")), one), "g"));
        assertEquals(Step.OUT, step(next(1, s, words(f, 3, free("g", "g")), one), "g"));
    }

    @Test
    public void withoutAQuorumNothingBeginsAndWhatIsOutComesBack() {
        Fleet f = quorum(draining(free("g", "a"), free("h", "a")), false, "");
        assertEquals(Step.ASKED, step(next(0, ask(State.EMPTY, 0, wish("a")), quorum(THREE, false, ""), one), "a"));
        State s = begun("a");
        assertEquals(Step.DRAINING, step(next(1_000, s, f, one), "a"));
        s = next(1_000, s, draining(free("g", "a"), free("h", "a")), one);
        s = next(2_000, s, with(f, machine("a", Kind.NODE, Phase.SERVING, "2", Fleets.COLD)), one);
        assertEquals(Step.WARM, step(s, "a"));
    }

    @Test
    public void silenceIsNoReturnAndLateIsOverdue() throws Exception {
        State s = next(1_000, begun("a"), draining(free("g", "a"), free("h", "a")), one);
        Fleet gone = phase(THREE, "a", Phase.AWAY);
        assertEquals(Step.OUT, step(next(51_000, s, gone, one), "a"));
        s = next(51_001, s, gone, one);
        assertEquals(Step.OVERDUE, step(s, "a"));
        assertTrue(Act.of(s, gone, one).contains(new Act(Act.Kind.TELL_OVERDUE, "a")));
        State t = next(51_002, ask(s, 51_002, wish("b"), wish("c", "a")), gone, TWO);
        assertEquals(Step.PLANNED, step(t, "b"));
        assertEquals(List.of("a"), why(t, "b").get(0).machines());
        assertEquals(Step.HELD, step(t, "c"));
        assertEquals(List.of(Reason.of(Rule.PIN, "a")), why(t, "c"));
        Fleet served = phase(THREE, "a", Phase.SERVING);
        assertEquals("others let it serve", Step.DRAINING, step(next(52_000, s, served, one), "a"));
        assertEquals("not worked on: it is still there with the same start", Step.OVERDUE,
                step(next(52_000, s, phase(THREE, "a", Phase.DRAINING), one), "a"));
        assertEquals("unless staff say so", Step.WARM, step(next(52_000, Asks.back(s, "w-a"), THREE, one), "a"));
        assertEquals(Step.WARM,
                step(next(99_000, s, with(THREE, machine("a", Kind.NODE, Phase.SERVING, "2", Fleets.COLD)), one), "a"));
    }

    @Test
    public void coldTwiceIsWaitedForTwice() {
        State s = next(1_000, begun("a"), draining(free("g", "a"), free("h", "a")), one);
        s = next(2_000, s, with(THREE, machine("a", Kind.NODE, Phase.SERVING, "2", 9_000)), one);
        s = next(3_000, s, phase(THREE, "a", Phase.AWAY), one);
        assertEquals(Step.RETURNING, step(s, "a"));
        assertEquals(Rule.ABSENT, why(s, "a").get(0).rule());
        s = next(4_000, s, with(THREE, machine("a", Kind.NODE, Phase.SERVING, "3", 0)), one);
        assertEquals(Step.RETURNING, step(s, "a"));
        s = next(22_000, s, with(THREE, machine("a", Kind.NODE, Phase.SERVING, "3", Fleets.COLD)), one);
        s = next(23_000, s, with(THREE, machine("a", Kind.NODE, Phase.SERVING, "4", 0)), one);
        assertEquals("after it was warm, too", Step.RETURNING, step(s, "a"));
    }

    @Test
    public void hoursAndTimesAreKept() {
        var hours = new Budgets.Hours(List.of(new Budgets.Hours.Window(22 * 60, 4 * 60)), 300);
        Budgets b = Fleets.hours(one, hours);
        long noon = 12 * 3_600_000L;
        State s = next(noon, ask(State.EMPTY, noon, wish("a")), THREE, b);
        assertEquals(List.of(Reason.budget(Rule.HOURS, "hours")), why(s, "a"));
        assertEquals(Step.PLANNED, step(s, "a"));
        assertEquals(Step.DRAINING, step(next(17 * 3_600_000L, s, THREE, b), "a")); // 22:00 five hours east
        assertEquals("it would end too late", Step.PLANNED, step(next(23 * 3_600_000L - 47_999, s, THREE, b), "a"));
        State timed = next(noon, ask(State.EMPTY, noon, wish("a", 20_000, 18 * 3_600_000L)), THREE, b);
        assertEquals(Step.HELD, step(next(18 * 3_600_000L - 47_999, timed, THREE, b), "a"));
        assertEquals(List.of(Reason.of(Rule.BY, "a")), why(next(18 * 3_600_000L - 47_999, timed, THREE, b), "a"));
    }

    @Test
    public void staffHoldResumeAndWithdraw() throws Exception {
        State s = begun("a", "c");
        assertEquals(Step.DRAINING, step(s, "c"));
        State held = next(1_000, Asks.hold(s, true), draining(free("g", "a"), free("h", "a")), TWO);
        assertEquals(List.of(Step.HELD, Step.HELD), List.of(step(held, "a"), step(held, "c")));
        assertEquals(Step.DRAINING, step(next(2_000, Asks.hold(held, false), THREE, TWO), "a"));
        State single = next(1_000, Asks.hold(s, "w-a", true), draining(free("g", "a"), free("h", "a")), TWO);
        assertEquals(List.of(Step.HELD, Step.DRAINING), List.of(step(single, "a"), step(single, "c")));
        State taken = Asks.withdraw(s, "w-a", 1_000);
        assertEquals(Step.GIVEN_UP, step(taken, "a"));
        assertTrue(Act.of(taken, draining(), one).contains(new Act(Act.Kind.SERVE, "a")));
        State out = next(1_000, s, draining(free("g", "a"), free("h", "a")), TWO);
        assertEquals(Step.OUT, step(out, "a"));
        assertThrows(AskException.class, () -> Asks.withdraw(out, "w-a", 2_000));
        assertEquals(Step.HELD, step(next(0, ask(State.lost(), 0, wish("a")), THREE, TWO), "a"));
    }

    @Test
    public void anAskIsSafeToRepeat() throws Exception {
        State s = begun("a");
        for (int i = 0; i < 1_000; i++) {
            s = Asks.ask(s, wish("a"), i);
        }
        assertEquals(begun("a"), s);
        State once = s;
        assertThrows(AskException.class, () -> Asks.ask(once, wish("a", 1, 2), 0));
        assertThrows(AskException.class,
                () -> Asks.ask(once, new Wish("w2", "a", 1, 2, "", "", new java.util.TreeSet<>(),
                        new java.util.TreeSet<>()), 0));
    }

    @Test
    public void pinsAreKeptAndADeadOneHolds() throws Exception {
        Fleet f = fleet(List.of(node("a"), node("b"), node("c")));
        State s = next(0, ask(State.EMPTY, 0, wish("a", "b"), wish("b")), f, budgets(9));
        assertEquals(List.of(Step.PLANNED, Step.DRAINING), List.of(step(s, "a"), step(s, "b")));
        assertEquals(List.of(Reason.of(Rule.PIN, "b")), why(s, "a"));
        s = next(1, Asks.withdraw(s, "w-b", 1), f, budgets(9));
        assertEquals(Step.HELD, step(s, "a"));
        var before = new Wish("w-c", "c", 20_000, Wish.ANY_TIME, "", "", new java.util.TreeSet<>(),
                new java.util.TreeSet<>(Set.of("a")));
        s = next(0, ask(State.EMPTY, 0, before, wish("a")), f, budgets(9));
        assertEquals(List.of(Step.PLANNED, Step.DRAINING), List.of(step(s, "a"), step(s, "c")));
    }
}
