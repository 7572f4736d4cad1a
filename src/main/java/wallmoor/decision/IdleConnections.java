package wallmoor.decision;

/**
 * Detects connections that break undetected while they are idle, as behind a firewall that drops idle flows. If many
 * do, idle connections are closed before the next part is sent, so that it gets a new connection.
 */
final class IdleConnections {
    private final PolicyContext context;
    private final MovingAverage lossAfterIdle = new MovingAverage(TuningParameters.LATENCY_SAMPLE_WEIGHT);

    IdleConnections(PolicyContext context) {
        this.context = context;
    }

    /** Returns whether a worker's connections have been unused for long, by the typical latency of this class. */
    boolean areIdle(TrackedWorker worker, int classIndex) {
        return context.now() - worker.lastUsedAt > TuningParameters.IDLE_AFTER_LATENCIES
                * context.typicalLatency(classIndex);
    }

    /** Returns whether an attempt that follows an idle period should get a new connection. */
    boolean shouldClose(TrackedAttempt attempt) {
        return attempt.afterIdle && attempt.worker.lastUsedAt > 0
                && lossAfterIdle.orElse(0) > TuningParameters.IDLE_LOSS_THRESHOLD;
    }

    /** Records that an attempt was answered. */
    void recordAnswer(TrackedAttempt attempt) {
        if (attempt.afterIdle) {
            lossAfterIdle.add(0);
        }
    }

    /** Records that a worker was ejected for silence; the attempt is its oldest one in flight. */
    void recordSilence(TrackedAttempt attempt) {
        if (attempt.afterIdle) {
            lossAfterIdle.add(1);
        }
    }
}
