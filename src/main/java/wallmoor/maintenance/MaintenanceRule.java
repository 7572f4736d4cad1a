package wallmoor.maintenance;

import java.util.Locale;

/** What may stand against a machine's going. */
public enum MaintenanceRule {
    /** A block would have no sound, warm holder. */
    COVER,
    /** Most out at once. */
    AT_ONCE,
    /** Most out at once in a data centre. */
    CENTRE,
    /** Least share of the nodes' capacity that serves. */
    CAPACITY,
    /** Fewest gatherers that serve. */
    GATHERERS,
    /** Most of the voters must be there. */
    VOTERS,
    /** The hours of the day. */
    HOURS,
    /** When the machine must be back. */
    BY,
    /** The machine that it is pinned after. */
    PIN,
    /** This side of the gatherers has no quorum. */
    QUORUM,
    /** Staff hold it. */
    STAFF,
    /** It is itself out, or not known. */
    ITSELF,
    /** Parts are out on it, or a gatherer that can't be asked may have some. */
    BUSY,
    /** Staff took the wish back. */
    WITHDRAWN,
    /** It has not come back. */
    ABSENT,
    /** It is back and not warm yet. */
    COLD;

    /** As it is written and shown. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
