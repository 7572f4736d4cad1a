package wallmoor.maintenance;

import java.util.List;

/**
 * The status of a maintenance request. Immutable.
 *
 * @param since          when the current stage began, in milliseconds since 1970
 * @param incarnation    the incarnation of the machine when it went out of service; empty before
 * @param drainedByOrder whether the order drained the machine and has not observed it serving since
 * @param returned       whether the machine was observed to be back, or staff reported the work as done (some work
 *                       needs no restart)
 * @param heldByStaff    whether staff hold this request
 * @param reasons        why the request is at this stage or does not proceed
 */
public record RequestStatus(MaintenanceRequest request, MaintenanceStage stage, long since, String incarnation,
        boolean drainedByOrder, boolean returned, boolean heldByStaff, List<MaintenanceConstraint> reasons) {
    /** Copies the list. */
    public RequestStatus {
        reasons = List.copyOf(reasons);
    }

    static RequestStatus submitted(MaintenanceRequest request, long now) {
        return new RequestStatus(request, MaintenanceStage.ASKED, now, "", false, false, false, List.of());
    }

    /** Returns this status at a stage, without reasons. */
    RequestStatus withStage(MaintenanceStage newStage, long now) {
        return withStage(newStage, now, List.of());
    }

    /** Returns this status at a stage with reasons. Keeps {@link #since} if the stage does not change. */
    RequestStatus withStage(MaintenanceStage newStage, long now, List<MaintenanceConstraint> newReasons) {
        return new RequestStatus(request, newStage, newStage == stage ? since : now, incarnation, drainedByOrder,
                returned, heldByStaff, newReasons);
    }

    RequestStatus withIncarnation(String newIncarnation) {
        return new RequestStatus(request, stage, since, newIncarnation, drainedByOrder, returned, heldByStaff,
                reasons);
    }

    RequestStatus withDrainedByOrder(boolean newValue) {
        return new RequestStatus(request, stage, since, incarnation, newValue, returned, heldByStaff, reasons);
    }

    RequestStatus withReturned(boolean newValue) {
        return new RequestStatus(request, stage, since, incarnation, drainedByOrder, newValue, heldByStaff, reasons);
    }

    RequestStatus withHeldByStaff(boolean newValue) {
        return new RequestStatus(request, stage, since, incarnation, drainedByOrder, returned, newValue, reasons);
    }
}
