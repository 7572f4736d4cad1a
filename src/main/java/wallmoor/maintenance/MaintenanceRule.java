package wallmoor.maintenance;

import java.util.Locale;

/** A rule that can keep a machine in service. The names are stored and shown, as {@link #word} writes them. */
public enum MaintenanceRule {
    /** Each block has a holder that is sound and past slow start. */
    COVER,
    /** Most machines out at once. */
    AT_ONCE,
    /** Most machines out at once in a data centre. */
    CENTRE,
    /** Least share of the nodes' capacity that serves. */
    CAPACITY,
    /** Fewest gatherers that serve. */
    GATHERERS,
    /** A majority of the voters serves. */
    VOTERS,
    /** Maintenance windows. */
    HOURS,
    /** The request's deadline. */
    BY,
    /** A machine that must be done before. */
    PIN,
    /** This side of the gatherers has no quorum. */
    QUORUM,
    /** Staff hold the request. */
    STAFF,
    /** The machine is out by itself, or unknown. */
    ITSELF,
    /** Parts are in flight on the machine, or a gatherer that cannot be reached may have some. */
    BUSY,
    /** Staff withdrew the request. */
    WITHDRAWN,
    /** The machine has not come back. */
    ABSENT,
    /** The machine is back, and in slow start. */
    COLD;

    /** The name as it is stored and shown. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
