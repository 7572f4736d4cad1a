package wallmoor.maintenance;

import java.util.List;

/**
 * Status of a maintenance request. Immutable.
 *
 * @param since          when its stage began, in milliseconds since 1970
 * @param incarnation    of the machine when it went out of service; empty before
 * @param drainedByOrder whether the order drained the machine and has not seen it serving since
 * @param returned       whether the machine was seen back, or staff said that the work is done (some work needs no
 *                       restart)
 * @param heldByStaff    whether staff hold this request
 * @param reasons        why it is at this stage, or does not proceed
 */
public record RequestStatus(MaintenanceRequest request, MaintenanceStage stage, long since, String incarnation,
        boolean drainedByOrder, boolean returned, boolean heldByStaff, List<MaintenanceConstraint> reasons) {
    /** Takes a copy of the list. */
    public RequestStatus {
        reasons = List.copyOf(reasons);
    }

    static RequestStatus asked(MaintenanceRequest request, long now) {
        return new RequestStatus(request, MaintenanceStage.ASKED, now, "", false, false, false, List.of());
    }

    /** At this stage without reasons. */
    RequestStatus at(MaintenanceStage next, long now) {
        return at(next, now, List.of());
    }

    /** At this stage for these reasons; the time is kept where the stage is the same. */
    RequestStatus at(MaintenanceStage next, long now, List<MaintenanceConstraint> newReasons) {
        return new RequestStatus(request, next, next == stage ? since : now, incarnation, drainedByOrder, returned,
                heldByStaff, newReasons);
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
