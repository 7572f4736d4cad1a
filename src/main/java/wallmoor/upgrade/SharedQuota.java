package wallmoor.upgrade;

import java.util.Collection;

/**
 * One process's quota of a limit that all processes of a gatherer share. Each tells with its heartbeat what it claims.
 * A process lowers its quota by itself and then tells so; it raises it only once it has told so, and then found it
 * still free. So two never use more than the limit, however late either looks. One that drains claims ever less, and
 * what is free goes to the one that stays.
 *
 * <p>Where more than two are there, or one wakes that counted as gone, there may be more for as long as a heartbeat
 * takes.
 */
public final class SharedQuota {
    /**
     * One that drains claims at least this fraction of the limit: connections that it retains may each ask once more.
     */
    private static final int DRAINING_FRACTION = 8;
    /** One that drains gives up at most this fraction of the limit at a time: its clients move over by and by. */
    private static final int STEP_FRACTION = 8;
    /** One that drains may grow again to so many times what it uses. */
    private static final int DRAINING_GROWTH = 2;

    private int quota;
    private int claim;

    /**
     * Looks at the others that are there and decides anew.
     *
     * @param inUse  what this process uses just now; its {@link #claim} of before has been told since the last update
     * @param others as they were read after that was told
     */
    public void update(int limit, int inUse, boolean draining, Collection<ProcessHeartbeat> others) {
        int wanted;
        if (others.isEmpty()) {
            wanted = limit;
        } else if (draining) {
            wanted = wantedWhileDraining(limit, inUse);
        } else {
            wanted = wantedWhileServing(limit, others);
        }
        quota = Math.min(wanted, claim);
        claim = Math.max(wanted, inUse);
    }

    /** Never more than before: the other counts on what this one has told. */
    private int wantedWhileDraining(int limit, int inUse) {
        int step = Math.max(1, limit / STEP_FRACTION);
        int needed = Math.max(DRAINING_GROWTH * inUse, limit / DRAINING_FRACTION);
        return Math.min(quota, Math.max(quota - step, needed));
    }

    /** Nobody takes from one that serves its even share, not even who grew while this one stood still. */
    private int wantedWhileServing(int limit, Collection<ProcessHeartbeat> others) {
        int even = evenShare(limit, others);
        long taken = 0;
        boolean allDrain = true;
        for (ProcessHeartbeat other : others) {
            taken += other.claim() == ProcessHeartbeat.UNKNOWN_CLAIM ? even : other.claim();
            allDrain &= other.draining();
        }
        int free = (int) Math.max(0, limit - taken);
        return allDrain ? free : Math.min(even, Math.max(quota, free));
    }

    /** What this process may use until the next update; what it uses beyond that ends by itself. */
    public int quota() {
        return quota;
    }

    /** What it is to tell: never less than it may use. */
    public int claim() {
        return claim;
    }

    /** Whether there is enough to start by: half of an even share. */
    public boolean isEnoughToStart(int limit, Collection<ProcessHeartbeat> others) {
        return 2 * quota >= evenShare(limit, others);
    }

    private static int evenShare(int limit, Collection<ProcessHeartbeat> others) {
        return limit / (others.size() + 1);
    }
}
