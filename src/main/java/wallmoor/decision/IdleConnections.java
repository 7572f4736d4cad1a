package wallmoor.decision;

/**
 * Learns whether connections die unseen while they are idle, as behind a firewall that forgets them: then they are
 * closed before the next part goes out, which gets a new one.
 */
final class IdleConnections {
    private final PolicyContext context;
    private final MovingAverage lossAfterIdle = new MovingAverage(TuningParameters.LATENCY_SAMPLE_WEIGHT);

    IdleConnections(PolicyContext context) {
        this.context = context;
    }

    /** Whether a worker's connections have been unused for long, for a part of this class. */
    boolean areIdle(TrackedWorker worker, int classIndex) {
        return context.now() - worker.lastUsedAt > TuningParameters.IDLE_AFTER_LATENCIES
                * context.typicalLatency(classIndex);
    }

    /** Whether an attempt that follows idleness should get a new connection. */
    boolean shouldClose(TrackedAttempt attempt) {
        return attempt.afterIdle && attempt.worker.lastUsedAt > 0
                && lossAfterIdle.orElse(0) > TuningParameters.IDLE_LOSS_THRESHOLD;
    }

    /** An attempt was answered. */
    void recordAnswer(TrackedAttempt attempt) {
        if (attempt.afterIdle) {
            lossAfterIdle.add(0);
        }
    }

    /** A worker was ejected for its silence, this attempt being its oldest. */
    void recordSilence(TrackedAttempt attempt) {
        if (attempt.afterIdle) {
            lossAfterIdle.add(1);
        }
    }
}
