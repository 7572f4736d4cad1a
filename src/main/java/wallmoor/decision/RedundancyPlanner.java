package wallmoor.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * How many parts to send where any n of k make a complete answer: the Dummy Queues policy of Zubeldia's "Delay-Optimal
 * Policies in Partial Fork-Join Systems with Redundancy and Random Slowdowns" (docs/design.md), with the paper's r*,
 * and the load measured by the {@link ConcurrencyLimit} of each worker.
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
     * How many of these parts to send, where so many are needed: more than that only if the load leaves room for
     * spares, and the workers of all of them are idle.
     *
     * @param ranked the query's parts, best first
     */
    int partsToSend(List<TrackedPart> ranked, int needed) {
        if (needed >= ranked.size()) {
            return needed;
        }
        load.add(currentLoad());
        double redundancy = optimalRedundancy(slowdown(), load.orElse(0));
        int parts = round(clamp(redundancy, needed, ranked.size()), needed, context.random.nextDouble());
        return parts > needed && !areIdle(ranked.subList(0, parts)) ? needed : parts;
    }

    /** r* = 1/lambda - 1/mu with lambda = load / (1 + 1/mu). */
    static double optimalRedundancy(double slowdown, double load) {
        return load <= 0 ? Double.POSITIVE_INFINITY : (1 + slowdown) / load - slowdown;
    }

    /** r*n within n and the smaller of k and the cap. */
    static double clamp(double redundancy, int n, int k) {
        return Math.max(n, Math.min(redundancy * n, Math.min(k, TuningParameters.MAX_REDUNDANCY * n)));
    }

    /** The next whole number with probability p, else one fewer, never fewer than n. */
    static int round(double rn, int n, double draw) {
        double up = Math.ceil(rn);
        double p = rn - (up - 1) - TuningParameters.REDUNDANCY_SHORTFALL;
        return Math.max(n, (int) (draw < p ? up : up - 1));
    }

    /** 1/mu: mean over workers of smoothed latency over its best, less one. */
    private double slowdown() {
        return workers.workers().stream().filter(w -> w.latency.hasValue())
                .mapToDouble(w -> w.latency.orElse(0) / w.concurrencyLimit.bestLatency() - 1).average().orElse(0);
    }

    /**
     * Our parts in flight at a worker but for spares, times the gatherers, over its concurrency limit. Late parts don't
     * count: a hung part would read as load and take the spares away when they help most.
     */
    private double currentLoad() {
        return workers.workers().stream().filter(w -> w.status == WorkerStatus.UP)
                .mapToDouble(w -> w.inFlight.stream().filter(a -> !a.late && !a.spare).count()
                        * context.settings().gatherers() / w.concurrencyLimit.parts())
                .average().orElse(0);
    }

    /** Whether each of these parts goes to a worker of its own with none of our parts in flight. */
    private boolean areIdle(List<TrackedPart> parts) {
        List<TrackedWorker> used = new ArrayList<>();
        for (TrackedPart part : parts) {
            TrackedWorker worker = selector.choose(part, used);
            if (worker == null || !worker.inFlight.isEmpty() || used.contains(worker)) {
                return false;
            }
            used.add(worker);
        }
        return true;
    }
}
