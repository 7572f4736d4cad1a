package wallmoor.maintenance;

import java.util.Locale;

/** The stage of a maintenance request. The names are stored in the form that {@link #word} returns. */
public enum MaintenanceStage {
    /** Submitted, and not yet admitted or refused. */
    ASKED,
    /** Admitted to the order. */
    PLANNED,
    /** The machine receives no new work; its work in flight completes. */
    DRAINING,
    /** The machine is idle, and work on it may begin. */
    OUT,
    /** The machine has returned and is in slow start. */
    RETURNING,
    /** The machine is past slow start and in its observation period. */
    WARM,
    /** The machine serves again; the request is complete. */
    DONE,
    /** The machine could not go even if all machines taken out by the order were back. It goes once that changes. */
    HELD,
    /** The request cannot be met, even if all machines return. */
    REFUSED,
    /** The machine did not return in time, or did not complete slow start in time. */
    OVERDUE,
    /** Withdrawn, or the machine did not become idle in time; the machine serves. */
    GIVEN_UP;

    /** Returns whether the order has the machine out of service, so that it counts against the budgets. */
    public boolean isOut() {
        return this == DRAINING || this == OUT || this == RETURNING || this == WARM || this == OVERDUE;
    }

    /** Returns whether no other stage follows. */
    public boolean isFinal() {
        return this == DONE || this == REFUSED || this == GIVEN_UP;
    }

    /** Returns whether the request is admitted and has not begun. */
    public boolean isQueued() {
        return this == PLANNED || this == HELD;
    }

    /** Returns the name as it is stored and displayed. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
