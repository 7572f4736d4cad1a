package wallmoor.maintenance;

import java.util.List;

/**
 * Where a wish stands.
 *
 * @param since when its step began
 * @param incarnation  the machine's when it went out; empty before
 * @param drainedByOrder  whether the order drains the machine and has not seen it serving since
 * @param returned  whether it was seen back, or staff said that the work is done (some work needs no start)
 * @param heldByStaff  whether staff hold this one
 * @param reasons   it is at this step, or does not go on
 */
public record RequestStatus(MaintenanceRequest request, MaintenanceStage stage, long since, String incarnation,
        boolean drainedByOrder, boolean returned, boolean heldByStaff,
        List<MaintenanceConstraint> reasons) {
    public RequestStatus {
        reasons = List.copyOf(reasons);
    }

    static RequestStatus asked(MaintenanceRequest wish, long now) {
        return new RequestStatus(wish, MaintenanceStage.ASKED, now, "", false, false, false, List.of());
    }

    /** At this step for these reasons; the time is kept where the step is the same. */
    RequestStatus at(MaintenanceStage next, long now, List<MaintenanceConstraint> reasons) {
        return new RequestStatus(request, next, next == stage ? since : now, incarnation, drainedByOrder, returned,
                heldByStaff, reasons);
    }

    RequestStatus incarnation(String of) {
        return new RequestStatus(request, stage, since, of, drainedByOrder, returned, heldByStaff, reasons);
    }

    RequestStatus drainedByOrder(boolean is) {
        return new RequestStatus(request, stage, since, incarnation, is, returned, heldByStaff, reasons);
    }

    RequestStatus returned(boolean is) {
        return new RequestStatus(request, stage, since, incarnation, drainedByOrder, is, heldByStaff, reasons);
    }

    RequestStatus heldByStaff(boolean is) {
        return new RequestStatus(request, stage, since, incarnation, drainedByOrder, returned, is, reasons);
    }
}
