package wallmoor.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides how many parts to send when any n of k parts make a complete answer. Implements the Dummy Queues policy of
 * Zubeldia's "Delay-Optimal Policies in Partial Fork-Join Systems with Redundancy and Random Slowdowns"
 * (docs/design.md), with the paper's r*, and with the load measured against the {@link ConcurrencyLimit} of each
 * worker.
 */
final class RedundancyPlanner {
    private final PolicyContext context;
    private final WorkerTable workers;
    private final ReplicaSelector selector;
    private final MovingAverage load = new MovingAverage(TuningParameters.FLEET_SAMPLE_WEIGHT);

    RedundancyPlanner(PolicyContext context, WorkerTable workers, ReplicaSelector selector) {
        this.context = context;
        this.workers = workers;
        this.selector = selector;
    }

    /**
     * Returns how many of a query's parts to send: more than needed only if the load leaves room for spare parts and
     * the workers of all of them are idle.
     *
     * @param ranked the query's parts, best first
     * @param needed the number of parts that make a complete answer
     */
    int partsToSend(List<TrackedPart> ranked, int needed) {
        if (needed >= ranked.size()) {
            return needed;
        }
        load.add(currentLoad());
        double redundancy = optimalRedundancy(slowdown(), load.orElse(0));
        int parts = round(clamp(redundancy, needed, ranked.size()), needed, context.random.nextDouble());
        return parts > needed && !haveIdleWorkers(ranked.subList(0, parts)) ? needed : parts;
    }

    /** Returns r* = 1/lambda - 1/mu with lambda = load / (1 + 1/mu), where 1/mu is the slowdown. */
    static double optimalRedundancy(double slowdown, double load) {
        return load <= 0 ? Double.POSITIVE_INFINITY : (1 + slowdown) / load - slowdown;
    }

    /** Returns r*n, bounded below by n and above by the smaller of k and the cap. */
    static double clamp(double redundancy, int needed, int total) {
        return Math.max(needed,
                Math.min(redundancy * needed, Math.min(total, TuningParameters.MAX_REDUNDANCY * needed)));
    }

    /** Rounds r*n up with probability p and down otherwise, but never below n. */
    static int round(double redundantParts, int needed, double draw) {
        double roundedUp = Math.ceil(redundantParts);
        double probability = redundantParts - (roundedUp - 1) - TuningParameters.REDUNDANCY_SHORTFALL;
        return Math.max(needed, (int) (draw < probability ? roundedUp : roundedUp - 1));
    }

    /** Returns 1/mu: the mean over workers of the smoothed latency divided by its minimum, minus one. */
    private double slowdown() {
        return workers.workers().stream().filter(w -> w.latency.hasValue())
                .mapToDouble(w -> w.latency.orElse(0) / w.concurrencyLimit.bestLatency() - 1).average().orElse(0);
    }

    /**
     * Returns the mean load of workers: this gatherer's parts in flight, except spare ones, times the number of
     * gatherers, divided by the worker's concurrency limit. Late parts don't count: a part that never ends would count
     * as load and prevent spare parts when they help most.
     */
    private double currentLoad() {
        return workers.workers().stream().filter(w -> w.status == WorkerStatus.UP)
                .mapToDouble(w -> w.inFlight.stream().filter(a -> !a.late && !a.spare).count()
                        * context.settings().gatherers() / w.concurrencyLimit.limitParts())
                .average().orElse(0);
    }

    /**
     * Returns whether each of these parts would go to a different worker where this gatherer has no parts in flight.
     */
    private boolean haveIdleWorkers(List<TrackedPart> parts) {
        List<TrackedWorker> usedWorkers = new ArrayList<>();
        for (TrackedPart part : parts) {
            TrackedWorker worker = selector.choose(part, usedWorkers);
            if (worker == null || !worker.inFlight.isEmpty() || usedWorkers.contains(worker)) {
                return false;
            }
            usedWorkers.add(worker);
        }
        return true;
    }
}
