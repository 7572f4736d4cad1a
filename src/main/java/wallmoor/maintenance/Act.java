package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.List;
import wallmoor.maintenance.Machine.Phase;

/**
 * What is to be done just now. It follows from the version that acts and from what is seen, and from nothing
 * remembered: it may be done any number of times, by whoever holds the lease, and is no longer asked for once it is
 * seen done.
 */
public record Act(Kind kind, String machine) {
    /** What is done. */
    public enum Kind {
        /** Set DRAINING in the list. */
        DRAIN,
        /** Set SERVING in the list. */
        SERVE,
        /** The gatherer that leads hands the lead on. */
        YIELD,
        /** The gatherer takes no clients and lets those it has go. */
        HAND_OVER,
        /** Tell staff that the machine may be worked on. */
        TELL_FREE,
        /** Tell staff that it has not come back in time. */
        TELL_OVERDUE,
        /** Tell staff that it is held or was given up, and why. */
        TELL_WAITING
    }

    /** All that the version that acts asks for now. */
    public static List<Act> of(State acting, Fleet fleet, Budgets budgets) {
        var acts = new ArrayList<Act>();
        var machines = fleet.byId();
        for (Standing s : acting.wishes().values()) {
            Machine m = machines.get(s.wish().machine());
            Phase phase = m == null ? Phase.AWAY : m.phase();
            String id = s.wish().machine();
            if (s.step() == Step.DRAINING && phase == Phase.SERVING) {
                acts.add(new Act(m.node() ? Kind.DRAIN : fleet.leader().equals(id) ? Kind.YIELD : Kind.HAND_OVER, id));
            }
            boolean out = s.step() == Step.OUT || s.step() == Step.OVERDUE && !s.back();
            if (out && phase == Phase.DRAINING && m.life().equals(s.life()) && Busy.with(m, fleet, budgets).isEmpty()) {
                acts.add(new Act(Kind.TELL_FREE, id));
            }
            if (s.ours() && phase == Phase.DRAINING && (s.step() == Step.RETURNING || s.step() == Step.HELD
                    || s.step() == Step.GIVEN_UP || s.step() == Step.OVERDUE && s.back())) {
                acts.add(new Act(Kind.SERVE, id));
            }
            if (s.step() == Step.OVERDUE) {
                acts.add(new Act(Kind.TELL_OVERDUE, id));
            }
            if (s.step() == Step.HELD || s.step() == Step.GIVEN_UP && s.ours()) {
                acts.add(new Act(Kind.TELL_WAITING, id));
            }
        }
        return acts;
    }
}
