package wallmoor.maintenance;

import java.util.Locale;

/** How far a maintenance request has come. The names are stored, as {@link #word} writes them. */
public enum MaintenanceStage {
    /** Submitted; nothing is decided yet. */
    ASKED,
    /** Admitted: it has its place in the order. */
    PLANNED,
    /** The machine gets no new work; what it has in flight completes. */
    DRAINING,
    /** The machine is idle and may be worked on. */
    OUT,
    /** The machine was seen back, and is in slow start. */
    RETURNING,
    /** The machine is past slow start, and observed for a while. */
    WARM,
    /** The machine serves as before. */
    DONE,
    /** The machine cannot go, even if all that the order has out were back; it goes once it can. */
    HELD,
    /** The request cannot be met, whatever comes back. */
    REFUSED,
    /** The machine did not come back, or not past slow start, in time. */
    OVERDUE,
    /** Withdrawn, or never idle; the machine serves. */
    GIVEN_UP;

    /** Whether the order has the machine out of service, so that it counts against the budgets. */
    public boolean isOut() {
        return this == DRAINING || this == OUT || this == RETURNING || this == WARM || this == OVERDUE;
    }

    /** Whether no stage follows. */
    public boolean isFinal() {
        return this == DONE || this == REFUSED || this == GIVEN_UP;
    }

    /** Whether the request is admitted and has not begun. */
    public boolean isQueued() {
        return this == PLANNED || this == HELD;
    }

    /** The name as it is stored and shown. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
