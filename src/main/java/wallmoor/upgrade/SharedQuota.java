package wallmoor.upgrade;

import java.util.Collection;
import wallmoor.upgrade.LiveProcesses.ProcessHeartbeat;

/**
 * How much of one bound, which all processes of a gatherer keep together, one of them may hold. Each tells with its
 * sign of life what it claims. A process takes less by itself and then tells so; it takes more only once it has told
 * so, and then found it still free. So two never take more than the bound, however late either looks. One that leaves
 * claims ever less, and what is free goes to the one that stays.
 *
 * <p>Where more than two are there, or one wakes that counted as gone, there may be more for as long as a sign takes.
 */
public final class SharedQuota {
    /**
     * What one that leaves claims at least, as a share of the bound: connections that it keeps may each ask once more.
     */
    private static final int LEAVES = 8;
    /** Who leaves gives up at most this share of the bound at a look: its clients move over answer by answer. */
    private static final int STEP = 8;
    /** Who leaves may grow again to so many times what it holds. */
    private static final int GROWS = 2;

    private int quota;
    private int claim;

    /**
     * Looks at the others that are there and decides anew.
     *
     * @param held   what this process holds just now; its {@link #claim} of before has been told since the last look
     * @param others as they were read after that was told
     */
    public void update(int bound, int held, boolean leaving, Collection<ProcessHeartbeat> others) {
        int fair = fair(bound, others);
        long taken = 0;
        boolean allLeave = true;
        for (ProcessHeartbeat b : others) {
            taken += b.claim() == ProcessHeartbeat.UNKNOWN_CLAIM ? fair : b.claim();
            allLeave &= b.draining();
        }
        int free = (int) Math.max(0, bound - taken);
        int wanted;
        if (others.isEmpty()) {
            wanted = bound;
        } else if (leaving) { // it never takes more than before: the other counts on what it has told
            int least = Math.max(quota - Math.max(1, bound / STEP), Math.max(GROWS * held, bound / LEAVES));
            wanted = Math.min(quota, least);
        } else {
            // nobody takes from one that serves its even part, not even who grew while this one stood still
            wanted = allLeave ? free : Math.min(fair, Math.max(quota, free));
        }
        quota = Math.min(wanted, claim);
        claim = Math.max(wanted, held);
    }

    /** What this process may take until the next look; what it holds beyond that ends by itself. */
    public int quota() {
        return quota;
    }

    /** What it is to tell: never less than it may hold. */
    public int claim() {
        return claim;
    }

    /** Whether there is enough to begin by: the half of an even part. */
    public boolean isEnoughToStart(int bound, Collection<ProcessHeartbeat> others) {
        return 2 * quota >= fair(bound, others);
    }

    private static int fair(int bound, Collection<ProcessHeartbeat> others) {
        return bound / (others.size() + 1);
    }
}
