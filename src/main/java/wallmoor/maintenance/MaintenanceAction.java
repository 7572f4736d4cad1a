package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.List;
import wallmoor.maintenance.Machine.MachinePhase;

/**
 * What is to be done just now. It follows from the version that acts and from what is seen, and from nothing
 * remembered: it may be done any number of times, by whoever holds the lease, and is no longer asked for once it is
 * seen done.
 */
public record MaintenanceAction(ActionType type, String machine) {
    /** What is done. */
    public enum ActionType {
        /** Set DRAINING in the list. */
        DRAIN,
        /** Set SERVING in the list. */
        SERVE,
        /** The gatherer that leads hands the lead on. */
        TRANSFER_LEADERSHIP,
        /** The gatherer takes no clients and lets those it has go. */
        HAND_OVER,
        /** Tell staff that the machine may be worked on. */
        NOTIFY_FREE,
        /** Tell staff that it has not come back in time. */
        NOTIFY_OVERDUE,
        /** Tell staff that it is held or was given up, and why. */
        NOTIFY_WAITING
    }

    /** All that the version that acts asks for now. */
    public static List<MaintenanceAction> due(MaintenanceState acting, FleetSnapshot fleet, Budgets budgets) {
        var acts = new ArrayList<MaintenanceAction>();
        var machines = fleet.byId();
        for (RequestStatus s : acting.requests().values()) {
            Machine m = machines.get(s.request().machine());
            MachinePhase phase = m == null ? MachinePhase.AWAY : m.phase();
            String id = s.request().machine();
            if (s.stage() == MaintenanceStage.DRAINING && phase == MachinePhase.SERVING) {
                acts.add(new MaintenanceAction(
                        m.isNode() ? ActionType.DRAIN
                                : fleet.leader().equals(id) ? ActionType.TRANSFER_LEADERSHIP : ActionType.HAND_OVER,
                        id));
            }
            boolean out = s.stage() == MaintenanceStage.OUT || s.stage() == MaintenanceStage.OVERDUE && !s.returned();
            if (out && phase == MachinePhase.DRAINING && m.incarnation().equals(s.incarnation())
                    && DrainCompletion.busyFor(m, fleet, budgets).isEmpty()) {
                acts.add(new MaintenanceAction(ActionType.NOTIFY_FREE, id));
            }
            if (s.drainedByOrder() && phase == MachinePhase.DRAINING
                    && (s.stage() == MaintenanceStage.RETURNING || s.stage() == MaintenanceStage.HELD
                            || s.stage() == MaintenanceStage.GIVEN_UP
                            || s.stage() == MaintenanceStage.OVERDUE && s.returned())) {
                acts.add(new MaintenanceAction(ActionType.SERVE, id));
            }
            if (s.stage() == MaintenanceStage.OVERDUE) {
                acts.add(new MaintenanceAction(ActionType.NOTIFY_OVERDUE, id));
            }
            if (s.stage() == MaintenanceStage.HELD || s.stage() == MaintenanceStage.GIVEN_UP && s.drainedByOrder()) {
                acts.add(new MaintenanceAction(ActionType.NOTIFY_WAITING, id));
            }
        }
        return acts;
    }
}
