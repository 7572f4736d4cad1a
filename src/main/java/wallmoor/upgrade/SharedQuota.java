package wallmoor.upgrade;

import java.util.Collection;

/**
 * The quota of one process of a limit that all processes of a gatherer share. Each process publishes its claim with its
 * heartbeat. A process lowers its quota at once and publishes the lower claim afterwards. It raises its quota only
 * after it has published the higher claim and then found that amount still free. Two processes together therefore never
 * exceed the limit, however late either of them reads the other's claim. A draining process reduces its claim step by
 * step, and the remaining process takes what becomes free.
 *
 * <p>With more than two processes, or when a process resumes that was considered dead, the limit may be exceeded for
 * one heartbeat interval.
 */
public final class SharedQuota {
    /**
     * A draining process claims at least this fraction of the limit (1/8), because each connection that it retains may
     * send one more request.
     */
    private static final int DRAINING_FRACTION = 8;
    /** A draining process releases at most this fraction (1/8) at each update: its clients move over gradually. */
    private static final int STEP_FRACTION = 8;
    /** While draining, a process reserves this multiple of its current use. */
    private static final int DRAINING_GROWTH = 2;

    private int quota;
    private int claim;

    /**
     * Recomputes the quota and the claim. The {@link #claim} of the last update must have been published since.
     *
     * @param limit    the limit of all processes together
     * @param inUse    what this process uses at present
     * @param draining whether this process drains
     * @param others   the heartbeats of the other live processes, read after the claim was published
     */
    public void update(int limit, int inUse, boolean draining, Collection<ProcessHeartbeat> others) {
        int target;
        if (others.isEmpty()) {
            target = limit;
        } else if (draining) {
            target = targetWhileDraining(limit, inUse);
        } else {
            target = targetWhileServing(limit, others);
        }
        quota = Math.min(target, claim);
        claim = Math.max(target, inUse);
    }

    /** Returns the target of a draining process, at most its quota, as the others rely on its published claim. */
    private int targetWhileDraining(int limit, int inUse) {
        int step = Math.max(1, limit / STEP_FRACTION);
        int needed = Math.max(DRAINING_GROWTH * inUse, limit / DRAINING_FRACTION);
        return Math.min(quota, Math.max(quota - step, needed));
    }

    /**
     * Returns the target of a serving process. While another process serves too, the target is at most the even share.
     * A quota up to that share is kept, even if another process has claimed more while this one hung.
     */
    private int targetWhileServing(int limit, Collection<ProcessHeartbeat> others) {
        int evenShare = evenShare(limit, others);
        long claimed = 0;
        boolean allDrain = true;
        for (ProcessHeartbeat other : others) {
            claimed += other.claim() == ProcessHeartbeat.UNKNOWN_CLAIM ? evenShare : other.claim();
            allDrain &= other.draining();
        }
        int free = (int) Math.max(0, limit - claimed);
        return allDrain ? free : Math.min(evenShare, Math.max(quota, free));
    }

    /** Returns what this process may use until the next update; use beyond that is left to finish. */
    public int quota() {
        return quota;
    }

    /** Returns the claim to publish, never less than the quota. */
    public int claim() {
        return claim;
    }

    /** Returns whether the quota is at least half of an even share, which is enough to start serving. */
    public boolean isEnoughToStart(int limit, Collection<ProcessHeartbeat> others) {
        return 2 * quota >= evenShare(limit, others);
    }

    private static int evenShare(int limit, Collection<ProcessHeartbeat> others) {
        return limit / (others.size() + 1);
    }
}
