package wallmoor.decision;

/**
 * Outlier detection: ejects workers that are silent, unreachable or reject parts, and lets one part through as a trial
 * after a time that doubles with each trial (a half-open circuit breaker). Marks late parts, and tells a slow worker
 * from times when everything is slow.
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
     * An attempt at this worker has ended.
     *
     * @param timedOut whether its connect timed out
     * @return whether the worker is not to blame for that: connecting is slow in every zone
     */
    boolean recordConnect(TrackedWorker worker, boolean timedOut) {
        connectTimeouts.add(worker.zone, timedOut);
        return timedOut && connectTimeouts.inEveryZone();
    }

    /** A part failed at this worker, or was served: a failure of 1 or 0, or of a share of one. */
    void recordFailure(TrackedWorker worker, double failure) {
        long gap = context.now() - Math.max(worker.lastAnsweredAt(), worker.failureRate.addedAt());
        worker.failureRate.add(context.now(), failure, estimator.sampleWeight((double) gap));
    }

    /**
     * A worker broke a connection, could not be connected to, or rejected a part: it is ejected.
     *
     * @param processLost whether its process seems to be gone
     */
    void recordUnreachable(TrackedWorker worker, AttemptEndReason reason, boolean processLost) {
        worker.unreachable = true;
        worker.processLost |= processLost;
        eject(worker, reason.name());
    }

    /** A part goes to an ejected worker as a trial. */
    void recordTrial(TrackedWorker worker) {
        worker.halfOpenTrials++;
        eject(worker, "trial");
    }

    /** A worker has answered: if it was ejected, it comes back. */
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

    /** Looks for silent workers, then for late parts. */
    void sweep() {
        workers.workers().forEach(this::checkSilence);
        boolean everythingSlow = isEverythingSlow();
        workers.workers().forEach(w -> markLateParts(w, everythingSlow));
    }

    /** Whether so many parts are late, or so many connects time out, that no worker is to blame. */
    boolean isEverythingSlow() {
        int healthy = 0;
        int late = 0;
        for (TrackedWorker worker : workers.workers()) {
            if (!worker.ejected) {
                healthy += worker.inFlight.size();
                for (TrackedAttempt attempt : worker.inFlight) {
                    late += attempt.late ? 1 : 0;
                }
            }
        }
        return (late > TuningParameters.WIDESPREAD_LATE_SHARE * healthy
                && late > TuningParameters.WIDESPREAD_LATE_MINIMUM) || connectTimeouts.inEveryZone();
    }

    /** How long nothing has come since a worker's oldest part went out, over the time that makes it late. */
    double silence(TrackedWorker worker) {
        if (worker.inFlight.isEmpty()) {
            return 0;
        }
        TrackedAttempt oldest = worker.inFlight.iterator().next();
        return (context.now() - Math.max(oldest.sentAt, worker.answeredAt)) / estimator.lateAfter(oldest.part);
    }

    /**
     * Ejects a worker that has answered nothing since its oldest part became late. A slow worker goes on answering
     * other parts, so this seldom acts on plain overload. Where one long part is all that is in flight, the silence has
     * to last {@link TuningParameters#LONE_PART_SILENCE_FACTOR} times as long. When wrong, the worker misses a few
     * parts until its next answer or trial.
     */
    private void checkSilence(TrackedWorker worker) {
        double bound = worker.inFlight.size() > 1 ? 1 : TuningParameters.LONE_PART_SILENCE_FACTOR;
        if (!worker.ejected && silence(worker) >= bound) {
            eject(worker, "silence");
            idleConnections.recordSilence(worker.inFlight.iterator().next());
        }
    }

    /**
     * Marks late parts, which weigh on the worker's rank, and tells other gatherers of parts long in flight. A part of
     * a second phase is late at half the time that is left to it.
     */
    private void markLateParts(TrackedWorker worker, boolean everythingSlow) {
        for (TrackedAttempt attempt : worker.inFlight) {
            TrackedQuery query = attempt.part.query;
            long age = context.now() - attempt.sentAt;
            double half = query.phase == 2 ? (query.usefulUntil() - attempt.sentAt) / 2.0 : Double.MAX_VALUE;
            boolean late = age > Math.min(half, estimator.lateAfter(attempt.part))
                    || (worker.ejected && context.now() < worker.halfOpenAt
                            && age > context.typicalLatency(query.classIndex));
            if (late && !attempt.late && !everythingSlow && !attempt.part.finished) {
                recordFailure(worker, TuningParameters.LATE_FAILURE_WEIGHT);
            }
            attempt.late |= late;
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
        double wait = latencies * context.typicalLatency();
        int doublings = Math.min(TuningParameters.MAX_EJECTION_DOUBLINGS, worker.halfOpenTrials);
        worker.halfOpenAt = context.now() + (long) (wait * (1 << doublings));
        gossip.announceEjection(worker);
    }
}
