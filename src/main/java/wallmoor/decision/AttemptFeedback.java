package wallmoor.decision;

/**
 * Updates the policy's statistics when an attempt ends: the worker's latency and health, and the latency of its class.
 */
final class AttemptFeedback {
    private final PolicyContext context;
    private final LatencyEstimator estimator;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final IdleConnections idleConnections;
    private final AdmissionControl admission;

    AttemptFeedback(PolicyContext context, LatencyEstimator estimator, SlowStart slowStart, OutlierDetector outliers,
            IdleConnections idleConnections, AdmissionControl admission) {
        this.context = context;
        this.estimator = estimator;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.idleConnections = idleConnections;
        this.admission = admission;
    }

    /** Records the end of an attempt that is no longer in flight. */
    void record(TrackedAttempt attempt, AttemptEnded end) {
        TrackedWorker worker = attempt.worker;
        boolean connectFailed = end.reason() == AttemptEndReason.CONNECT_FAILED;
        long connectTimeout = context.settings().limits().connectTimeout();
        boolean connectTimedOut = connectFailed && connectTimeout > 0 && end.duration() >= connectTimeout;
        if (outliers.recordConnect(worker, connectTimedOut)) {
            return;
        }
        switch (end.reason()) {
            case OK -> recordAnswer(attempt, end.duration());
            case CANCELLED, TIMEOUT -> {
                double typicalLatency = worker.latency.orElse(context.typicalLatency(attempt.part.query.classIndex));
                // the elapsed time is a lower bound of the latency
                if (!context.isStalled() && end.duration() > typicalLatency) {
                    recordLatency(attempt, (double) end.duration());
                }
            }
            case ERROR -> outliers.recordFailure(worker, 1);
            case REJECTED, RESET, CONNECT_FAILED -> {
                outliers.recordFailure(worker, 1);
                boolean processLost = end.reason() == AttemptEndReason.RESET || (connectFailed && !connectTimedOut);
                outliers.recordUnreachable(worker, end.reason(), processLost);
            }
            case NOT_STARTED -> {
                // the attempt never reached the worker
            }
        }
    }

    private void recordAnswer(TrackedAttempt attempt, long duration) {
        TrackedWorker worker = attempt.worker;
        double latency = Math.max(context.settings().roundInterval(), duration); // the measured duration may be 0
        latency /= Math.max(TuningParameters.MIN_WORK_SCALE, attempt.part.workScale);
        if (!context.isStalled()) {
            recordLatency(attempt, latency);
            context.latencies.partLatency(attempt.part.query.classIndex).add(latency);
        }
        worker.answeredAt = context.now();
        admission.recordAnswer();
        if (!context.isStalled()) {
            slowStart.recordAnswer(worker);
        }
        idleConnections.recordAnswer(attempt);
        outliers.recordFailure(worker, 0);
        outliers.recover(worker);
    }

    private void recordLatency(TrackedAttempt attempt, double latency) {
        TrackedWorker worker = attempt.worker;
        worker.latency.add(latency, estimator.sampleWeight((double) (context.now() - worker.lastAnsweredAt())));
        worker.inFlightAtSend.add(attempt.totalInFlightBefore);
        worker.concurrencyLimit.record(worker.latency.orElse(latency), attempt.inFlightBefore,
                context.settings().gatherers());
    }
}
