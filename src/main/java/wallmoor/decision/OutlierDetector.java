package wallmoor.decision;

/**
 * Outlier detection: ejects workers that are silent, unreachable or reject parts. After an interval that doubles with
 * each trial, one part is sent as a trial (a half-open circuit breaker). Also marks late parts, and distinguishes a
 * slow worker from times when all workers are slow.
 */
final class OutlierDetector {
    private final PolicyContext context;
    private final WorkerTable workers;
    private final LatencyEstimator estimator;
    private final SlowStart slowStart;
    private final GossipExchange gossip;
    private final IdleConnections idleConnections;
    private final ConnectTimeoutDetector connectTimeouts = new ConnectTimeoutDetector();

    OutlierDetector(PolicyContext context, WorkerTable workers, LatencyEstimator estimator, SlowStart slowStart,
            GossipExchange gossip, IdleConnections idleConnections) {
        this.context = context;
        this.workers = workers;
        this.estimator = estimator;
        this.slowStart = slowStart;
        this.gossip = gossip;
        this.idleConnections = idleConnections;
    }

    /**
     * Records the result of connecting for an attempt at this worker.
     *
     * @param timedOut whether the connect timed out
     * @return whether the connect timed out and connecting is slow in every zone, so that the worker is not at fault
     */
    boolean recordConnect(TrackedWorker worker, boolean timedOut) {
        connectTimeouts.add(worker.zone, timedOut);
        return timedOut && connectTimeouts.affectsEveryZone();
    }

    /**
     * Adds a sample to a worker's failure rate.
     *
     * @param failure 1 for a failed part, 0 for an answered one, a fraction for a late one
     */
    void recordFailure(TrackedWorker worker, double failure) {
        long gap = context.now() - Math.max(worker.lastAnsweredAt(), worker.failureRate.addedAt());
        worker.failureRate.add(context.now(), failure, estimator.sampleWeight((double) gap));
    }

    /**
     * Ejects a worker that broke a connection, could not be connected to, or rejected a part.
     *
     * @param processLost whether the worker's process seems to have ended
     */
    void recordUnreachable(TrackedWorker worker, AttemptEndReason reason, boolean processLost) {
        worker.unreachable = true;
        worker.processLost |= processLost;
        eject(worker, reason.name());
    }

    /** Records that a part is sent to an ejected worker as a trial. */
    void recordTrial(TrackedWorker worker) {
        worker.halfOpenTrials++;
        eject(worker, "trial");
    }

    /** Reinstates a worker that has answered, if it was ejected. */
    void recover(TrackedWorker worker) {
        if (!worker.ejected) {
            return;
        }
        worker.ejected = false;
        gossip.announceEjection(worker);
        context.actions.log("worker recovered: worker=" + worker.id);
        if (worker.processLost) {
            slowStart.restart(worker);
        }
        worker.markReachable();
    }

    /** Ejects silent workers, then marks late parts. */
    void sweep() {
        workers.workers().forEach(this::checkSilence);
        boolean everythingSlow = isEverythingSlow();
        workers.workers().forEach(w -> markLateParts(w, everythingSlow));
    }

    /** Returns whether so many parts are late, or so many connects time out, that no single worker is at fault. */
    boolean isEverythingSlow() {
        int healthyParts = 0;
        int lateParts = 0;
        for (TrackedWorker worker : workers.workers()) {
            if (!worker.ejected) {
                healthyParts += worker.inFlight.size();
                for (TrackedAttempt attempt : worker.inFlight) {
                    lateParts += attempt.late ? 1 : 0;
                }
            }
        }
        return (lateParts > TuningParameters.WIDESPREAD_LATE_SHARE * healthyParts
                && lateParts > TuningParameters.MIN_WIDESPREAD_LATE_PARTS) || connectTimeouts.affectsEveryZone();
    }

    /**
     * Returns how long a worker has been silent: the time since its last answer, or since the send of its oldest part
     * in flight if that was later, divided by the time after which that part is late. Returns 0 if nothing is in
     * flight.
     */
    double silence(TrackedWorker worker) {
        if (worker.inFlight.isEmpty()) {
            return 0;
        }
        TrackedAttempt oldest = worker.inFlight.iterator().next();
        return (context.now() - Math.max(oldest.sentAt, worker.answeredAt)) / estimator.lateAfter(oldest.part);
    }

    /**
     * Ejects a worker whose silence has lasted long enough to make its oldest part late. A slow worker continues to
     * answer other parts, so this seldom ejects a worker that is merely overloaded. If a single part is in flight,
     * which may be a long one, the silence must last {@link TuningParameters#SINGLE_PART_SILENCE_FACTOR} times as long.
     * A worker ejected by mistake misses a few parts until its next answer or trial.
     */
    private void checkSilence(TrackedWorker worker) {
        double bound = worker.inFlight.size() > 1 ? 1 : TuningParameters.SINGLE_PART_SILENCE_FACTOR;
        if (!worker.ejected && silence(worker) >= bound) {
            eject(worker, "silence");
            idleConnections.recordSilence(worker.inFlight.iterator().next());
        }
    }

    /**
     * Marks late parts, which lower the worker's rank, and renews the gossip reports on parts that are in flight for
     * long. A part of a second phase is late at the latest when half of its remaining time has passed.
     */
    private void markLateParts(TrackedWorker worker, boolean everythingSlow) {
        for (TrackedAttempt attempt : worker.inFlight) {
            TrackedQuery query = attempt.part.query;
            long age = context.now() - attempt.sentAt;
            double halfTimeLeft = query.phase == 2 ? (query.usefulUntil() - attempt.sentAt) / 2.0 : Double.MAX_VALUE;
            boolean isLate = age > Math.min(halfTimeLeft, estimator.lateAfter(attempt.part))
                    || (worker.ejected && context.now() < worker.halfOpenAt
                            && age > context.typicalLatency(query.classIndex));
            if (isLate && !attempt.late && !everythingSlow && !attempt.part.finished) {
                recordFailure(worker, TuningParameters.LATE_FAILURE_WEIGHT);
            }
            attempt.late |= isLate;
            gossip.renew(attempt);
        }
    }

    private void eject(TrackedWorker worker, String reason) {
        if (!worker.ejected) {
            worker.ejected = true;
            context.actions.log("worker ejected: worker=" + worker.id + " reason=" + reason);
        }
        double latencies = worker.unreachable ? TuningParameters.UNREACHABLE_EJECTION_LATENCIES
                : TuningParameters.EJECTION_LATENCIES;
        double trialDelay = latencies * context.typicalLatency();
        int doublings = Math.min(TuningParameters.MAX_EJECTION_DOUBLINGS, worker.halfOpenTrials);
        worker.halfOpenAt = context.now() + (long) (trialDelay * (1 << doublings));
        gossip.announceEjection(worker);
    }
}
