package wallmoor.peers;

/**
 * Tracks this member's own health (Lifeguard, Dadgar et al., DSN 2018). A member waits longer for answers if most of
 * its probes fail at once, and does not rely on its own conclusions after a pause or while most of its observers
 * suspect it. Times are microseconds.
 */
final class LocalHealth {
    /** Highest local health multiplier; each step adds half of the configured probe timeout. */
    private static final int MAX_MULTIPLIER = 6;
    /** The recovery after a pause is as long as the pause, up to this number of probe intervals. */
    private static final int MAX_RECOVERY_INTERVALS = 10;

    private final MembershipParameters parameters;
    private int multiplier;
    private long lastTickAt;
    private long recoveringUntil;
    private long unreachableUntil;

    LocalHealth(MembershipParameters parameters) {
        this.parameters = parameters;
    }

    /** Starts the measurement of gaps between ticks. */
    void onStart(long now) {
        lastTickAt = now;
    }

    /** Processes a tick; returns the time since the previous one. */
    long onTick(long now) {
        long gap = now - lastTickAt;
        lastTickAt = now;
        return gap;
    }

    /** Returns the time to wait for an answer before indirect probes are sent. */
    long probeTimeout() {
        return parameters.probeTimeout() + parameters.probeTimeout() * multiplier / 2;
    }

    /**
     * Processes the probes that timed out at one tick.
     *
     * @param count    number of probes that timed out
     * @param subjects number of subjects
     */
    void onProbesTimedOut(int count, int subjects) {
        if (count > 1 && count * 2 > subjects) {
            // A fault of this member is more likely than the failure of most of its subjects.
            multiplier = Math.min(MAX_MULTIPLIER, multiplier + 1);
        }
    }

    /** Processes the answer to a direct probe. */
    void onProbeAnswered() {
        multiplier = Math.max(0, multiplier - 1);
    }

    /** Begins the recovery from a pause of this process, during which messages from others may have gone unnoticed. */
    void onPauseEnded(long now, long gap) {
        recoveringUntil = now + Math.min(gap, MAX_RECOVERY_INTERVALS * parameters.probeInterval())
                + parameters.suspectAfter();
    }

    /** Returns whether a pause was so recent that the silence of others is no evidence of a failure. */
    boolean isRecovering(long now) {
        return now < recoveringUntil;
    }

    /** Records that most of this member's observers suspect it. */
    void onReportedUnreachable(long now) {
        unreachableUntil = now + parameters.suspectAfter();
    }

    /** Returns whether most observers suspected this member so recently that others may have removed it. */
    boolean wasReportedUnreachable(long now) {
        return now < unreachableUntil;
    }
}
