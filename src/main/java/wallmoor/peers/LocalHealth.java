package wallmoor.peers;

/**
 * Awareness of this member's own health (Lifeguard, Dadgar et al., DSN 2018): one whose probes fail in numbers waits
 * longer for an answer, and one that was paused, or that most of its observers don't hear, trusts its own conclusions
 * less. Times are microseconds.
 */
final class LocalHealth {
    /** Highest local health multiplier: at each step an answer is awaited half as long again. */
    private static final int MAX_MULTIPLIER = 6;
    /** After a pause nothing is believed for as long again, and for so many intervals at most. */
    private static final int MAX_RECOVERY_INTERVALS = 10;

    private final MembershipParameters parameters;
    private int multiplier;
    private long tickedAt;
    private long recoveringUntil;
    private long unreachableUntil;

    LocalHealth(MembershipParameters parameters) {
        this.parameters = parameters;
    }

    /** The member starts. */
    void onStart(long now) {
        tickedAt = now;
    }

    /** A tick; returns how long ago the last one was. */
    long onTick(long now) {
        long gap = now - tickedAt;
        tickedAt = now;
        return gap;
    }

    /** How long an answer is awaited before others are asked to probe. */
    long probeTimeout() {
        return parameters.probeTimeout() + parameters.probeTimeout() * multiplier / 2;
    }

    /** So many probes of so many subjects timed out in one tick. */
    void probesTimedOut(int count, int subjects) {
        if (count > 1 && count * 2 > subjects) {
            // that all of them are gone is less likely than that this one is
            multiplier = Math.min(MAX_MULTIPLIER, multiplier + 1);
        }
    }

    /** A direct probe was answered. */
    void probeAnswered() {
        multiplier = Math.max(0, multiplier - 1);
    }

    /** This process was paused for so long. Whom it did not hear meanwhile may have spoken all the time. */
    void pauseEnded(long now, long gap) {
        recoveringUntil = now + Math.min(gap, MAX_RECOVERY_INTERVALS * parameters.probeInterval())
                + parameters.suspectAfter();
    }

    /** Whether a pause was so recent that silence of others tells nothing. */
    boolean isRecovering(long now) {
        return now < recoveringUntil;
    }

    /** Most of this member's observers report that they don't hear it. */
    void reportedUnreachable(long now) {
        unreachableUntil = now + parameters.suspectAfter();
    }

    /** Whether that was so recent that this member may have been removed. */
    boolean wasReportedUnreachable(long now) {
        return now < unreachableUntil;
    }
}
