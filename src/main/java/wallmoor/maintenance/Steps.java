package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import wallmoor.maintenance.Machine.Phase;

/**
 * The next version of the state: a function of the one that acts, of what is seen, of the budgets and the time. Called
 * again with the same it says the same; what it says comes into force only as an agreed version, and {@link Act}
 * follows from that. Nothing here rests on what was not seen or said.
 */
public final class Steps {
    private final long now;
    private final State before;
    private final Fleet fleet;
    private final Budgets budgets;
    private final Map<String, Machine> machines;
    private final Map<String, Integer> places = new HashMap<>();
    private final SortedMap<String, Standing> next;

    private Steps(long now, State before, Fleet fleet, Budgets budgets) {
        this.now = now;
        this.before = before;
        this.fleet = fleet;
        this.budgets = budgets;
        this.machines = fleet.byId();
        for (int i = 0; i < fleet.machines().size(); i++) {
            places.put(fleet.machines().get(i).id(), i);
        }
        this.next = new TreeMap<>(before.wishes());
    }

    /**
     * The next version, equal to the one that acts where nothing is to change.
     *
     * @param now milliseconds since 1970; it may go back where another decides
     */
    public static State next(long now, State acting, Fleet fleet, Budgets budgets) {
        return new Steps(now, acting, fleet, budgets).all();
    }

    private State all() {
        next.replaceAll((id, s) -> seen(s));
        OutageLedger book = new OutageLedger(fleet, budgets, r -> true);
        Set<String> ours = new HashSet<>();
        before.inOrder().forEach(s -> {
            // what comes back just now still counts: two versions may be acted on side by side
            if (s.step().away() || next.get(s.wish().id()).step().away()) {
                ours.add(s.wish().machine());
            }
        });
        for (Machine m : fleet.machines()) {
            if (!ours.contains(m.id()) && !sound(m)) {
                book.take(places.get(m.id()), budgets.warmth(m));
            }
        }
        drains(book, ours);
        State placed = fleet.quorum() ? Places.give(now, before.with(next), fleet, budgets) : before.with(next);
        next.putAll(placed.wishes());
        starts(book, placed);
        return placed.with(next);
    }

    private boolean sound(Machine m) {
        return m.phase() == Phase.SERVING && (!m.node() || m.servedFor() >= budgets.cold());
    }

    private void put(Standing s) {
        next.put(s.wish().id(), s);
    }

    /** What follows from the machine alone. */
    private Standing seen(Standing s) {
        Machine m = machines.get(s.wish().machine());
        Phase phase = m == null ? Phase.AWAY : m.phase();
        Standing now1 = s.ours() && phase == Phase.SERVING && s.step() != Step.DRAINING && s.step() != Step.OUT
                ? s.ours(false) : s;
        return switch (s.step()) {
            case OUT, OVERDUE, RETURNING -> returns(now1, m, phase);
            case WARM -> phase == Phase.AWAY || !sound(m) ? now1.at(Step.RETURNING, now, cold(m, phase))
                    : age(s) >= budgets.warmUp() ? now1.at(Step.DONE, now, List.of()) : now1;
            default -> now1;
        };
    }

    private Standing returns(Standing s, Machine m, Phase phase) {
        boolean back = s.back() || phase != Phase.AWAY && !m.life().equals(s.life());
        if (!back && phase == Phase.SERVING) { // others let it serve: it is free no more
            return s.at(Step.DRAINING, now, List.of());
        }
        if (!back || s.step() == Step.OUT && phase == Phase.AWAY) {
            return s.step() == Step.OUT && age(s) <= s.wish().lasts() + budgets.late() ? s.at(Step.OUT, now, List.of())
                    : s.at(Step.OVERDUE, now, List.of(Reason.of(Rule.ABSENT, s.wish().machine())));
        }
        if (phase == Phase.SERVING && sound(m)) {
            return s.back(true).at(Step.WARM, now, List.of());
        }
        Step at = s.step() == Step.OUT || s.step() == Step.RETURNING && age(s) <= budgets.cold() + budgets.late()
                ? Step.RETURNING
                : Step.OVERDUE;
        return s.back(true).at(at, now, cold(m, phase));
    }

    private static List<Reason> cold(Machine m, Phase phase) {
        return m == null || phase == Phase.AWAY ? List.of(Reason.of(Rule.ABSENT, m == null ? "" : m.id()))
                : List.of(Reason.of(Rule.COLD, m.id()));
    }

    private long age(Standing s) {
        return Math.max(0, now - s.since());
    }

    /** Those that drain: on, out, or back to service where they can't go any more. */
    private void drains(OutageLedger book, Set<String> ours) {
        List<Standing> draining = before.inOrder().stream().map(s -> next.get(s.wish().id()))
                .filter(s -> s.step() == Step.DRAINING).toList();
        Set<String> later = new HashSet<>();
        draining.forEach(s -> later.add(s.wish().machine()));
        ours.stream().filter(id -> !later.contains(id) && places.containsKey(id))
                .forEach(id -> book.take(places.get(id)));
        List<Standing> on = new ArrayList<>();
        for (Standing s : draining) {
            Machine m = machines.get(s.wish().machine());
            Integer place = places.get(s.wish().machine());
            List<Reason> stops = m == null || m.phase() == Phase.AWAY
                    ? List.of(Reason.of(Rule.ITSELF, s.wish().machine()))
                    : staff(s) ? List.of(Reason.of(Rule.STAFF)) : book.why(place);
            if (m != null) {
                book.take(place);
            }
            if (stops.isEmpty()) {
                on.add(s);
            } else {
                put(s.at(Step.HELD, now, stops));
            }
        }
        for (Standing s : on) {
            int place = places.get(s.wish().machine());
            book.give(place);
            List<Reason> beside = book.why(place); // those that were put back just now still count
            book.take(place);
            put(drained(s, machines.get(s.wish().machine()), beside));
        }
    }

    private Standing drained(Standing s, Machine m, List<Reason> beside) {
        List<String> busy = Busy.with(m, fleet, budgets);
        if (!busy.isEmpty()) {
            return age(s) >= budgets.drain()
                    ? s.at(Step.GIVEN_UP, now, List.of(new Reason(Rule.BUSY, busy, List.of(), "drain")))
                    : s.at(Step.DRAINING, now, List.of(new Reason(Rule.BUSY, busy, List.of(), "")));
        }
        long left = s.wish().lasts() + budgets.cold() + budgets.warmUp();
        if (!fleet.quorum()) {
            return s.at(Step.DRAINING, now, List.of(Reason.of(Rule.QUORUM)));
        } else if (late(s, left)) {
            return s.at(Step.HELD, now, List.of(Reason.of(Rule.BY, s.wish().machine())));
        } else if (budgets.hours().next(now, left) != now) {
            return s.at(Step.HELD, now, List.of(Reason.budget(Rule.HOURS, "hours")));
        }
        return beside.isEmpty() ? s.life(m.life()).at(Step.OUT, now, List.of()) : s.at(Step.DRAINING, now, beside);
    }

    private boolean staff(Standing s) {
        return before.held() || s.hold();
    }

    private boolean late(Standing s, long left) {
        return s.wish().by() - left < now;
    }

    /**
     * Who of those with a place goes now; the others wait, or are held where all that is ours coming back would not do.
     */
    private void starts(OutageLedger book, State placed) {
        OutageLedger others = new OutageLedger(fleet, budgets, r -> true);
        for (Machine m : fleet.machines()) {
            Standing s = placed.of(m.id());
            if (!sound(m) && (s == null || !s.step().away())) {
                others.take(places.get(m.id()), budgets.warmth(m));
            }
        }
        var line = new Line(book);
        var pins = Pins.of(placed.inOrder());
        for (Standing s : placed.inOrder()) {
            if (!s.step().waits() || before.wishes().containsKey(s.wish().id())
                    && before.wishes().get(s.wish().id()).step() == Step.DRAINING) {
                continue; // one that was put back just now is asked again with the next version
            }
            Machine m = machines.get(s.wish().machine());
            List<Reason> held = holds(s, m, others, pins);
            List<Reason> waits = held.isEmpty() ? waits(s, m, book, line, pins) : List.of();
            if (!held.isEmpty()) {
                put(s.at(Step.HELD, now, held));
            } else if (!waits.isEmpty()) {
                put(s.at(Step.PLANNED, now, waits));
            } else {
                put(s.ours(true).life("").back(false).at(Step.DRAINING, now, List.of()));
            }
        }
    }

    private List<Reason> holds(Standing s, Machine m, OutageLedger others, Pins pins) {
        if (staff(s)) {
            return List.of(Reason.of(Rule.STAFF));
        }
        if (!fleet.quorum()) {
            return List.of(Reason.of(Rule.QUORUM));
        }
        if (m == null || !sound(m)) {
            return List.of(Reason.of(Rule.ITSELF, s.wish().machine()));
        }
        if (late(s, budgets.whole(s.wish()))) {
            return List.of(Reason.of(Rule.BY, s.wish().machine()));
        }
        if (budgets.hours().next(now, budgets.whole(s.wish())) < 0) {
            return List.of(Reason.budget(Rule.HOURS, "hours"));
        }
        List<String> stuck = pins.stuck(s.wish());
        if (!stuck.isEmpty()) {
            return List.of(Reason.of(Rule.PIN, stuck.toArray(String[]::new)));
        }
        return others.why(places.get(m.id()));
    }

    private List<Reason> waits(Standing s, Machine m, OutageLedger book, Line line, Pins pins) {
        var why = new ArrayList<Reason>();
        List<String> first = pins.open(s.wish());
        if (!first.isEmpty()) {
            why.add(Reason.of(Rule.PIN, first.toArray(String[]::new)));
        }
        if (budgets.hours().next(now, budgets.whole(s.wish())) != now) {
            why.add(Reason.budget(Rule.HOURS, "hours"));
        }
        if (!why.isEmpty()) {
            return why;
        }
        int place = places.get(m.id());
        if (line.keptBack(m)) {
            List<Reason> own = book.why(place);
            return own.isEmpty() ? List.of(Reason.budget(Rule.AT_ONCE, "those ahead in the order")) : own;
        }
        return line.goes(place, m) ? List.of() : book.why(place);
    }
}
