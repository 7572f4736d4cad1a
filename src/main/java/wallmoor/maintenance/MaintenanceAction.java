package wallmoor.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wallmoor.maintenance.Machine.MachinePhase;

/**
 * An action that is due. Actions are derived from the active version and the observed fleet alone. They are idempotent,
 * may be performed by any lease holder, and are no longer due once their effect is observed.
 *
 * @param machine the id of the machine
 */
public record MaintenanceAction(ActionType type, String machine) {
    /** The type of an action. */
    public enum ActionType {
        /** Sets the node to DRAINING in the endpoint list. */
        DRAIN,
        /** Sets the machine to SERVING in the endpoint list. */
        SERVE,
        /** Makes the leading gatherer transfer leadership. */
        TRANSFER_LEADERSHIP,
        /** Makes the gatherer reject new clients and hand over its existing ones. */
        HAND_OVER,
        /** Notifies staff that work on the machine may begin. */
        NOTIFY_FREE,
        /** Notifies staff that the machine has not returned in time. */
        NOTIFY_OVERDUE,
        /** Notifies staff that the request is held or was given up, and why. */
        NOTIFY_WAITING
    }

    /** Returns all actions that are due under the active version. */
    public static List<MaintenanceAction> due(MaintenanceState active, FleetSnapshot fleet, Budgets budgets) {
        var actions = new ArrayList<MaintenanceAction>();
        Map<String, Machine> machines = fleet.byId();
        for (RequestStatus status : active.requests().values()) {
            Machine machine = machines.get(status.request().machine());
            if (machine != null && machine.phase() == MachinePhase.SERVING) {
                addForServing(actions, status, machine, fleet);
            } else if (machine != null && machine.phase() == MachinePhase.DRAINING) {
                addForDraining(actions, status, machine, fleet, budgets);
            }
            addForStaff(actions, status);
        }
        return actions;
    }

    private static void addForServing(List<MaintenanceAction> actions, RequestStatus status, Machine machine,
            FleetSnapshot fleet) {
        if (status.stage() != MaintenanceStage.DRAINING) {
            return;
        }
        ActionType handOver = fleet.leader().equals(machine.id()) ? ActionType.TRANSFER_LEADERSHIP
                : ActionType.HAND_OVER;
        actions.add(new MaintenanceAction(machine.isNode() ? ActionType.DRAIN : handOver, machine.id()));
    }

    private static void addForDraining(List<MaintenanceAction> actions, RequestStatus status, Machine machine,
            FleetSnapshot fleet, Budgets budgets) {
        MaintenanceStage stage = status.stage();
        boolean overdue = stage == MaintenanceStage.OVERDUE;
        boolean out = (stage == MaintenanceStage.OUT || (overdue && !status.returned()))
                && machine.incarnation().equals(status.incarnation());
        if (out && DrainCompletion.drainBlockers(machine, fleet, budgets).isEmpty()) {
            actions.add(new MaintenanceAction(ActionType.NOTIFY_FREE, machine.id()));
        }
        boolean regainedLeadership = fleet.leader().equals(machine.id());
        if (regainedLeadership && (out || stage == MaintenanceStage.DRAINING)) {
            actions.add(new MaintenanceAction(ActionType.TRANSFER_LEADERSHIP, machine.id()));
        }
        boolean serves = stage == MaintenanceStage.RETURNING || stage == MaintenanceStage.HELD
                || stage == MaintenanceStage.GIVEN_UP || (overdue && status.returned());
        if (serves && status.drainedByOrder()) {
            actions.add(new MaintenanceAction(ActionType.SERVE, machine.id()));
        }
    }

    private static void addForStaff(List<MaintenanceAction> actions, RequestStatus status) {
        String machine = status.request().machine();
        if (status.stage() == MaintenanceStage.OVERDUE) {
            actions.add(new MaintenanceAction(ActionType.NOTIFY_OVERDUE, machine));
        }
        if (status.stage() == MaintenanceStage.HELD
                || (status.stage() == MaintenanceStage.GIVEN_UP && status.drainedByOrder())) {
            actions.add(new MaintenanceAction(ActionType.NOTIFY_WAITING, machine));
        }
    }
}
