package wallmoor.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the replica for a part: the one with the least latency times parts in flight, among those that may be sent
 * to. Avoided workers come late, ejected ones last.
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

    /** The best worker for a part that has not been tried for it, else the best one; null if none may be sent to. */
    TrackedWorker choose(TrackedPart part) {
        return choose(part, part.triedWorkers);
    }

    /** The best worker for a part, those to avoid after all others; null if none may be sent to. Ties are drawn. */
    TrackedWorker choose(TrackedPart part, List<TrackedWorker> avoid) {
        TrackedWorker best = null;
        double bestRank = 0;
        // what may be executed once only is no trial
        boolean once = part.query.queryClass.idempotency() == Idempotency.NOT_IDEMPOTENT;
        for (TrackedWorker worker : workers.holders(part.shard)) {
            if (!mayBeSentTo(worker)) {
                continue;
            }
            boolean last = worker.ejected && (context.now() < worker.halfOpenAt || once);
            double rank = rank(worker, part) * (avoid.contains(worker) ? TuningParameters.AVOIDED_RANK_FACTOR : 1)
                    * (last ? TuningParameters.AVOIDED_RANK_FACTOR * TuningParameters.AVOIDED_RANK_FACTOR : 1);
            if (best == null || rank < bestRank || (rank == bestRank && context.random.nextBoolean())) {
                best = worker;
                bestRank = rank;
            }
        }
        return best;
    }

    /** The parts by the rank of their best workers, best first. */
    List<TrackedPart> ranked(List<TrackedPart> parts) {
        Map<TrackedPart, Double> ranks = new LinkedHashMap<>();
        for (TrackedPart part : parts) {
            TrackedWorker worker = choose(part);
            ranks.put(part, worker == null ? Double.MAX_VALUE : rank(worker, part));
        }
        return parts.stream().sorted((a, b) -> ranks.get(a).compareTo(ranks.get(b))).toList();
    }

    /** The design's rule: least smoothed latency times own parts in flight plus one; lower is better. */
    private double rank(TrackedWorker worker, TrackedPart part) {
        QueryClass queryClass = part.query.queryClass;
        double rank = estimator.latency(worker, part.query.classIndex) * (worker.totalInFlight(context.now()) + 1)
                / slowStart.warmth(worker);
        double failures = worker.failureRate.expectedFailures(context.now());
        rank *= 1 + TuningParameters.FAILURE_RANK_LATENCIES * failures;
        if (queryClass.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            rank += failures * queryClass.latencyObjective(); // one failure there is its query's end
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
     * Neither draining nor removed (sooner than the grace asks), reachable unless for a trial, and within the allowance
     * of slow start. A shard with no reachable replica is rejected at once, not worn out by retries.
     */
    private boolean mayBeSentTo(TrackedWorker worker) {
        if (worker.status != WorkerStatus.UP || (worker.unreachable && context.now() < worker.halfOpenAt)) {
            return false;
        }
        return slowStart.allows(worker);
    }
}
