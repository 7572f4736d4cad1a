package wallmoor.maintenance;

import java.util.Locale;

/** How far a machine has come. */
public enum MaintenanceStage {
    /** Nothing is decided yet. */
    ASKED,
    /** It has its place in the order. */
    PLANNED,
    /** It gets nothing new; what it has ends. */
    DRAINING,
    /** It is free and may be worked on. */
    OUT,
    /** It was seen back, and is cold. */
    RETURNING,
    /** It is warm, and watched for a while. */
    WARM,
    /** It serves as before. */
    DONE,
    /** It can't go, not even when all that the order has out is back; it goes on by itself when it can. */
    HELD,
    /** The order can't be met, whatever comes back. */
    REFUSED,
    /** It did not come back, or not warm, in its time. */
    OVERDUE,
    /** Withdrawn, or never free; it serves. */
    GIVEN_UP;

    /** Whether the order has the machine out of service: it counts against the budgets. */
    public boolean isOut() {
        return this == DRAINING || this == OUT || this == RETURNING || this == WARM || this == OVERDUE;
    }

    /** Whether nothing comes after it. */
    public boolean isFinal() {
        return this == DONE || this == REFUSED || this == GIVEN_UP;
    }

    /** Whether it has a place in the order and has not begun. */
    public boolean isQueued() {
        return this == PLANNED || this == HELD;
    }

    /** As it is written and shown. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
