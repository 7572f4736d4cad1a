package wallmoor.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the replica for a part: the worker with the lowest product of latency and parts in flight, among those that
 * may get parts. Workers to avoid rank after the others, and ejected ones last.
 */
final class ReplicaSelector {
    private final PolicyContext context;
    private final WorkerTable workers;
    private final LatencyEstimator estimator;
    private final SlowStart slowStart;

    ReplicaSelector(PolicyContext context, WorkerTable workers, LatencyEstimator estimator, SlowStart slowStart) {
        this.context = context;
        this.workers = workers;
        this.estimator = estimator;
        this.slowStart = slowStart;
    }

    /**
     * Returns the best worker for a part, preferring those that have not been tried for it; null if none may get parts.
     */
    TrackedWorker choose(TrackedPart part) {
        return choose(part, part.triedWorkers);
    }

    /**
     * Returns the best worker for a part, those to avoid after all others; null if none may get parts. Ties are broken
     * at random.
     */
    TrackedWorker choose(TrackedPart part, List<TrackedWorker> avoid) {
        TrackedWorker best = null;
        double bestRank = 0;
        // a part that must not be executed twice is not used as a trial of an ejected worker
        boolean isExecutedOnce = part.query.queryClass.idempotency() == Idempotency.NOT_IDEMPOTENT;
        for (TrackedWorker worker : workers.holders(part.shard)) {
            if (!mayBeSentTo(worker)) {
                continue;
            }
            boolean isLastResort = worker.ejected && (context.now() < worker.halfOpenAt || isExecutedOnce);
            double rank = rank(worker, part) * (avoid.contains(worker) ? TuningParameters.AVOIDED_RANK_FACTOR : 1)
                    * (isLastResort ? TuningParameters.AVOIDED_RANK_FACTOR * TuningParameters.AVOIDED_RANK_FACTOR : 1);
            if (best == null || rank < bestRank || (rank == bestRank && context.random.nextBoolean())) {
                best = worker;
                bestRank = rank;
            }
        }
        return best;
    }

    /** Returns the parts by the rank of their best workers, best first. */
    List<TrackedPart> ranked(List<TrackedPart> parts) {
        Map<TrackedPart, Double> ranks = new LinkedHashMap<>();
        for (TrackedPart part : parts) {
            TrackedWorker worker = choose(part);
            ranks.put(part, worker == null ? Double.MAX_VALUE : rank(worker, part));
        }
        return parts.stream().sorted((a, b) -> ranks.get(a).compareTo(ranks.get(b))).toList();
    }

    /**
     * Returns a worker's rank for a part, lower is better: smoothed latency times parts in flight plus one, as in the
     * design, adjusted for slow start, failures, other gatherers' ejections, and the zone.
     */
    private double rank(TrackedWorker worker, TrackedPart part) {
        QueryClass queryClass = part.query.queryClass;
        double rank = estimator.latency(worker, part.query.classIndex) * (worker.totalInFlight(context.now()) + 1)
                / slowStart.capacityShare(worker);
        double failures = worker.failureRate.expectedFailures(context.now());
        rank *= 1 + TuningParameters.FAILURE_RANK_LATENCIES * failures;
        if (queryClass.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            rank += failures * queryClass.latencyObjective(); // a single failure ends the query
        }
        if (!worker.peerReports.isEmpty()) {
            rank *= Math.pow(1 + TuningParameters.FAILURE_RANK_LATENCIES,
                    (double) Math.min(TuningParameters.MAX_PEER_EJECTIONS, worker.peersThatEjected(context.now())));
        }
        RoutingSettings settings = context.settings();
        return worker.zone == settings.zone() ? rank
                : rank * (1 + TuningParameters.CROSS_ZONE_WEIGHT * settings.costs().crossZone());
    }

    /**
     * Returns whether a worker may get parts: it is neither draining nor removed (which is stricter than the drain
     * grace), reachable or due for a trial, and within the allowance of slow start. A query for a shard without such a
     * worker is rejected at once instead of being retried.
     */
    private boolean mayBeSentTo(TrackedWorker worker) {
        if (worker.status != WorkerStatus.UP || (worker.unreachable && context.now() < worker.halfOpenAt)) {
            return false;
        }
        return slowStart.allows(worker);
    }
}
