package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import wallmoor.maintenance.Machine.MachinePhase;

/**
 * The next version of the state: a function of the one that acts, of what is seen, of the budgets and the time. Called
 * again with the same it says the same; what it says comes into force only as an agreed version, and
 * {@link MaintenanceAction}
 * follows from that. Nothing here rests on what was not seen or said.
 */
public final class MaintenanceStateMachine {
    private final long now;
    private final MaintenanceState before;
    private final FleetSnapshot fleet;
    private final Budgets budgets;
    private final Map<String, Machine> machines;
    private final Map<String, Integer> places = new HashMap<>();
    private final SortedMap<String, RequestStatus> next;

    private MaintenanceStateMachine(long now, MaintenanceState before, FleetSnapshot fleet, Budgets budgets) {
        this.now = now;
        this.before = before;
        this.fleet = fleet;
        this.budgets = budgets;
        this.machines = fleet.byId();
        for (int i = 0; i < fleet.machines().size(); i++) {
            places.put(fleet.machines().get(i).id(), i);
        }
        this.next = new TreeMap<>(before.requests());
    }

    /**
     * The next version, equal to the one that acts where nothing is to change.
     *
     * @param now milliseconds since 1970; it may go back where another decides
     */
    public static MaintenanceState next(long now, MaintenanceState acting, FleetSnapshot fleet, Budgets budgets) {
        return new MaintenanceStateMachine(now, acting, fleet, budgets).all();
    }

    private MaintenanceState all() {
        next.replaceAll((id, s) -> seen(s));
        OutageLedger book = new OutageLedger(fleet, budgets, r -> true);
        Set<String> ours = new HashSet<>();
        before.inOrder().forEach(s -> {
            // what comes back just now still counts: two versions may be acted on side by side
            if (s.stage().isOut() || next.get(s.request().id()).stage().isOut()) {
                ours.add(s.request().machine());
            }
        });
        for (Machine m : fleet.machines()) {
            if (!ours.contains(m.id()) && !sound(m)) {
                book.takeOut(places.get(m.id()), budgets.capacityShare(m));
            }
        }
        drains(book, ours);
        MaintenanceState placed = fleet.hasQuorum() ? RequestAdmission.admit(now, before.with(next), fleet, budgets)
                : before.with(next);
        next.putAll(placed.requests());
        starts(book, placed);
        return placed.with(next);
    }

    private boolean sound(Machine m) {
        return m.phase() == MachinePhase.SERVING && (!m.isNode() || m.servingMillis() >= budgets.slowStartMillis());
    }

    private void put(RequestStatus s) {
        next.put(s.request().id(), s);
    }

    /** What follows from the machine alone. */
    private RequestStatus seen(RequestStatus s) {
        Machine m = machines.get(s.request().machine());
        MachinePhase phase = m == null ? MachinePhase.AWAY : m.phase();
        RequestStatus now1 = s.drainedByOrder() && phase == MachinePhase.SERVING
                && s.stage() != MaintenanceStage.DRAINING && s.stage() != MaintenanceStage.OUT
                        ? s.drainedByOrder(false) : s;
        return switch (s.stage()) {
            case OUT, OVERDUE, RETURNING -> returns(now1, m, phase);
            case WARM ->
                phase == MachinePhase.AWAY || !sound(m) ? now1.at(MaintenanceStage.RETURNING, now, cold(m, phase))
                        : age(s) >= budgets.observationMillis() ? now1.at(MaintenanceStage.DONE, now, List.of()) : now1;
            default -> now1;
        };
    }

    private RequestStatus returns(RequestStatus s, Machine m, MachinePhase phase) {
        boolean back = s.returned() || phase != MachinePhase.AWAY && !m.incarnation().equals(s.incarnation());
        if (!back && phase == MachinePhase.SERVING) { // others let it serve: it is free no more
            return s.at(MaintenanceStage.DRAINING, now, List.of());
        }
        if (!back || s.stage() == MaintenanceStage.OUT && phase == MachinePhase.AWAY) {
            return s.stage() == MaintenanceStage.OUT && age(s) <= s.request().workMillis() + budgets.overdueMillis()
                    ? s.at(MaintenanceStage.OUT, now, List.of())
                    : s.at(MaintenanceStage.OVERDUE, now,
                            List.of(MaintenanceConstraint.of(MaintenanceRule.ABSENT, s.request().machine())));
        }
        if (phase == MachinePhase.SERVING && sound(m)) {
            return s.returned(true).at(MaintenanceStage.WARM, now, List.of());
        }
        MaintenanceStage at = s.stage() == MaintenanceStage.OUT || s.stage() == MaintenanceStage.RETURNING
                && age(s) <= budgets.slowStartMillis() + budgets.overdueMillis()
                        ? MaintenanceStage.RETURNING
                        : MaintenanceStage.OVERDUE;
        return s.returned(true).at(at, now, cold(m, phase));
    }

    private static List<MaintenanceConstraint> cold(Machine m, MachinePhase phase) {
        return m == null || phase == MachinePhase.AWAY
                ? List.of(MaintenanceConstraint.of(MaintenanceRule.ABSENT, m == null ? "" : m.id()))
                : List.of(MaintenanceConstraint.of(MaintenanceRule.COLD, m.id()));
    }

    private long age(RequestStatus s) {
        return Math.max(0, now - s.since());
    }

    /** Those that drain: on, out, or back to service where they can't go any more. */
    private void drains(OutageLedger book, Set<String> ours) {
        List<RequestStatus> draining = before.inOrder().stream().map(s -> next.get(s.request().id()))
                .filter(s -> s.stage() == MaintenanceStage.DRAINING).toList();
        Set<String> later = new HashSet<>();
        draining.forEach(s -> later.add(s.request().machine()));
        ours.stream().filter(id -> !later.contains(id) && places.containsKey(id))
                .forEach(id -> book.takeOut(places.get(id)));
        List<RequestStatus> on = new ArrayList<>();
        for (RequestStatus s : draining) {
            Machine m = machines.get(s.request().machine());
            Integer place = places.get(s.request().machine());
            List<MaintenanceConstraint> stops = m == null || m.phase() == MachinePhase.AWAY
                    ? List.of(MaintenanceConstraint.of(MaintenanceRule.ITSELF, s.request().machine()))
                    : staff(s) ? List.of(MaintenanceConstraint.of(MaintenanceRule.STAFF)) : book.violations(place);
            if (m != null) {
                book.takeOut(place);
            }
            if (stops.isEmpty()) {
                on.add(s);
            } else {
                put(s.at(MaintenanceStage.HELD, now, stops));
            }
        }
        for (RequestStatus s : on) {
            int place = places.get(s.request().machine());
            book.putBack(place);
            // those that were put back just now still count
            List<MaintenanceConstraint> beside = book.violations(place);
            book.takeOut(place);
            put(drained(s, machines.get(s.request().machine()), beside));
        }
    }

    private RequestStatus drained(RequestStatus s, Machine m, List<MaintenanceConstraint> beside) {
        List<String> busy = DrainCompletion.busyFor(m, fleet, budgets);
        if (!busy.isEmpty()) {
            return age(s) >= budgets.drainTimeoutMillis()
                    ? s.at(MaintenanceStage.GIVEN_UP, now,
                            List.of(new MaintenanceConstraint(MaintenanceRule.BUSY, busy, List.of(), "drain")))
                    : s.at(MaintenanceStage.DRAINING, now,
                            List.of(new MaintenanceConstraint(MaintenanceRule.BUSY, busy, List.of(), "")));
        }
        long left = s.request().workMillis() + budgets.slowStartMillis() + budgets.observationMillis();
        if (!fleet.hasQuorum()) {
            return s.at(MaintenanceStage.DRAINING, now, List.of(MaintenanceConstraint.of(MaintenanceRule.QUORUM)));
        } else if (late(s, left)) {
            return s.at(MaintenanceStage.HELD, now,
                    List.of(MaintenanceConstraint.of(MaintenanceRule.BY, s.request().machine())));
        } else if (budgets.windows().nextStart(now, left) != now) {
            return s.at(MaintenanceStage.HELD, now,
                    List.of(MaintenanceConstraint.budget(MaintenanceRule.HOURS, "hours")));
        }
        return beside.isEmpty() ? s.incarnation(m.incarnation()).at(MaintenanceStage.OUT, now, List.of())
                : s.at(MaintenanceStage.DRAINING, now, beside);
    }

    private boolean staff(RequestStatus s) {
        return before.held() || s.heldByStaff();
    }

    private boolean late(RequestStatus s, long left) {
        return s.request().deadline() - left < now;
    }

    /**
     * Who of those with a place goes now; the others wait, or are held where all that is ours coming back would not do.
     */
    private void starts(OutageLedger book, MaintenanceState placed) {
        OutageLedger others = new OutageLedger(fleet, budgets, r -> true);
        for (Machine m : fleet.machines()) {
            RequestStatus s = placed.openRequest(m.id());
            if (!sound(m) && (s == null || !s.stage().isOut())) {
                others.takeOut(places.get(m.id()), budgets.capacityShare(m));
            }
        }
        var line = new AdmissionQueue(book);
        var pins = PrecedenceGraph.of(placed.inOrder());
        for (RequestStatus s : placed.inOrder()) {
            if (!s.stage().isQueued() || before.requests().containsKey(s.request().id())
                    && before.requests().get(s.request().id()).stage() == MaintenanceStage.DRAINING) {
                continue; // one that was put back just now is asked again with the next version
            }
            Machine m = machines.get(s.request().machine());
            List<MaintenanceConstraint> held = holds(s, m, others, pins);
            List<MaintenanceConstraint> waits = held.isEmpty() ? waits(s, m, book, line, pins) : List.of();
            if (!held.isEmpty()) {
                put(s.at(MaintenanceStage.HELD, now, held));
            } else if (!waits.isEmpty()) {
                put(s.at(MaintenanceStage.PLANNED, now, waits));
            } else {
                put(s.drainedByOrder(true).incarnation("").returned(false).at(MaintenanceStage.DRAINING, now,
                        List.of()));
            }
        }
    }

    private List<MaintenanceConstraint> holds(RequestStatus s, Machine m, OutageLedger others, PrecedenceGraph pins) {
        if (staff(s)) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.STAFF));
        }
        if (!fleet.hasQuorum()) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.QUORUM));
        }
        if (m == null || !sound(m)) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.ITSELF, s.request().machine()));
        }
        if (late(s, budgets.outageMillis(s.request()))) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.BY, s.request().machine()));
        }
        if (budgets.windows().nextStart(now, budgets.outageMillis(s.request())) < 0) {
            return List.of(MaintenanceConstraint.budget(MaintenanceRule.HOURS, "hours"));
        }
        List<String> stuck = pins.blocked(s.request());
        if (!stuck.isEmpty()) {
            return List.of(MaintenanceConstraint.of(MaintenanceRule.PIN, stuck.toArray(String[]::new)));
        }
        return others.violations(places.get(m.id()));
    }

    private List<MaintenanceConstraint> waits(RequestStatus s, Machine m, OutageLedger book, AdmissionQueue line,
            PrecedenceGraph pins) {
        var why = new ArrayList<MaintenanceConstraint>();
        List<String> first = pins.unfinished(s.request());
        if (!first.isEmpty()) {
            why.add(MaintenanceConstraint.of(MaintenanceRule.PIN, first.toArray(String[]::new)));
        }
        if (budgets.windows().nextStart(now, budgets.outageMillis(s.request())) != now) {
            why.add(MaintenanceConstraint.budget(MaintenanceRule.HOURS, "hours"));
        }
        if (!why.isEmpty()) {
            return why;
        }
        int place = places.get(m.id());
        if (line.isHeldBack(m)) {
            List<MaintenanceConstraint> own = book.violations(place);
            return own.isEmpty()
                    ? List.of(MaintenanceConstraint.budget(MaintenanceRule.AT_ONCE, "those ahead in the order")) : own;
        }
        return line.tryAdmit(place, m) ? List.of() : book.violations(place);
    }
}
