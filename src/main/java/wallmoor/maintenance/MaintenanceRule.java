package wallmoor.maintenance;

import java.util.Locale;

/**
 * A rule that can keep a machine in service. The names are stored and displayed in the form that {@link #word} returns.
 */
public enum MaintenanceRule {
    /** Each block has a holder that serves and is past slow start. */
    COVER,
    /** Maximum number of machines out of service at once. */
    AT_ONCE,
    /** Maximum number of machines out of service at once in a data centre. */
    CENTRE,
    /** Minimum share of the total node capacity that serves. */
    CAPACITY,
    /** Minimum number of gatherers that serve. */
    GATHERERS,
    /** A majority of the voters serves. */
    VOTERS,
    /** Maintenance windows. */
    HOURS,
    /** The request's deadline. */
    BY,
    /** The request of another machine must be done first. */
    PIN,
    /** This partition of the gatherers has no quorum. */
    QUORUM,
    /** The request or the complete order is held by staff. */
    STAFF,
    /** The machine has an unplanned outage, or is unknown. */
    ITSELF,
    /** Parts are in flight on the machine, or an unreachable gatherer may have some in flight. */
    BUSY,
    /** The request was withdrawn by staff. */
    WITHDRAWN,
    /** The machine has not returned. */
    ABSENT,
    /** The machine has returned and is in slow start. */
    COLD;

    /** Returns the name as it is stored and displayed. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
