package wallmoor.decision;

/**
 * What the policy learns from the end of an attempt: of the worker's latency and health, and of its class's latency.
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

    /** An attempt has ended, and is no longer among those in flight. */
    void record(TrackedAttempt attempt, AttemptEnded end) {
        TrackedWorker worker = attempt.worker;
        boolean noConnection = end.reason() == AttemptEndReason.CONNECT_FAILED;
        long timeout = context.settings().limits().connectTimeout();
        boolean connectTimedOut = noConnection && timeout > 0 && end.duration() >= timeout;
        if (outliers.recordConnect(worker, connectTimedOut)) {
            return;
        }
        switch (end.reason()) {
            case OK -> recordAnswer(attempt, end.duration());
            case CANCELLED, TIMEOUT -> {
                double usual = worker.latency.orElse(context.typicalLatency(attempt.part.query.classIndex));
                if (!context.stalled() && end.duration() > usual) { // it took that long at least
                    recordLatency(attempt, (double) end.duration());
                }
            }
            case ERROR -> outliers.recordFailure(worker, 1);
            case REJECTED, RESET, CONNECT_FAILED -> {
                outliers.recordFailure(worker, 1);
                boolean processLost = end.reason() == AttemptEndReason.RESET || (noConnection && !connectTimedOut);
                outliers.recordUnreachable(worker, end.reason(), processLost);
            }
            case NOT_STARTED -> {
                // the worker saw nothing of it
            }
        }
    }

    private void recordAnswer(TrackedAttempt attempt, long duration) {
        TrackedWorker worker = attempt.worker;
        double latency = Math.max(context.settings().roundInterval(), duration); // a clock may stand still
        latency /= Math.max(TuningParameters.MIN_WORK_SCALE, attempt.part.workScale);
        if (!context.stalled()) {
            recordLatency(attempt, latency);
            context.latencies.partLatency(attempt.part.query.classIndex).add(latency);
        }
        worker.answeredAt = context.now();
        admission.recordAnswer();
        if (!context.stalled()) {
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
