package wallmoor.versions;

import java.util.Map;

/**
 * What a gatherer may go by, and until when. Immutable: traffic reads the last one without waiting for anybody, and
 * asks it at each act. A process that stood still asks with the time it is when it wakes, so an old snapshot does no
 * harm.
 *
 * @param until the lease's end on this process' own monotonic clock, microseconds; it is over at that time
 */
public record Snapshot(long until, Map<String, Act> leased, Map<String, Act> unsure) {
    private static final Act NONE = new Act(Act.Basis.NONE, 0, 0, Body.EMPTY);

    /** Keeps copies that nobody changes. */
    public Snapshot {
        leased = Map.copyOf(leased);
        unsure = Map.copyOf(unsure);
    }

    /** What to go by, at this time. Never null. */
    public Act acting(long now, String name) {
        return (now < until ? leased : unsure).getOrDefault(name, NONE);
    }
}
