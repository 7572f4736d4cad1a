package wallmoor.decision;

/**
 * Slow start (warm-up) of workers: the capacity of a worker at its age, and the number of parts that this gatherer may
 * send it meanwhile, so that all gatherers together don't overload it without any coordination. Owns the throughput of
 * warm workers, on which the allowance is based.
 */
final class SlowStart {
    private final PolicyContext context;
    private final WarmThroughput throughput = new WarmThroughput();
    private long startedAt;

    SlowStart(PolicyContext context) {
        this.context = context;
    }

    /** Records the start of this gatherer. */
    void start() {
        startedAt = context.now();
    }

    boolean isInSlowStart(TrackedWorker worker) {
        return worker.slowStartFrom != Absent.VALUE
                && context.now() - worker.slowStartFrom < context.settings().rules().slowStartWindow();
    }

    boolean isWarm(TrackedWorker worker) {
        return worker.status == WorkerStatus.UP && !isInSlowStart(worker);
    }

    /** Returns the share of its capacity that a worker has at least at its age. */
    double capacityShare(TrackedWorker worker) {
        if (!isInSlowStart(worker)) {
            return 1;
        }
        PlatformRules rules = context.settings().rules();
        return rules.slowStartShare() + (1 - rules.slowStartShare())
                * Math.max(0, context.now() - worker.slowStartFrom) / Math.max(1, rules.slowStartWindow());
    }

    /** Returns whether one more part may be sent to this worker: always if it is warm, else within the allowance. */
    boolean allows(TrackedWorker worker) {
        if (!isInSlowStart(worker)) {
            return true;
        }
        int gatherers = context.settings().gatherers();
        double share = allowance(worker);
        double slack = Math.min(TuningParameters.SLOW_START_SLACK_PARTS, Math.sqrt(share * gatherers));
        double allowed = share + slack / gatherers;
        double wholeParts = Math.floor(allowed);
        return worker.sentWithinWindow(context.now()) + 1 <= wholeParts
                + (hasTurn(worker, allowed - wholeParts) ? 1 : 0);
    }

    /** Records that a part is sent to this worker. */
    void recordSent(TrackedWorker worker) {
        worker.recordSent(context.now(), context.settings().slowStartCountWindow());
    }

    /** Records that a worker has answered a part. */
    void recordAnswer(TrackedWorker worker) {
        if (!worker.ejected && isWarm(worker)) {
            throughput.recordAnswer(context.now());
        }
    }

    /** Updates the number and sizes of the workers that are warm and in use. */
    void updateWarmWorkers(WorkerTable workers) {
        throughput.updateWarmWorkers(context.now(), workers.sizeStatistics(w -> !w.ejected && isWarm(w)));
    }

    /** Begins slow start at a worker that answers again after its process was lost, whatever the worker list says. */
    void restart(TrackedWorker worker) {
        if (!isInSlowStart(worker)) {
            worker.slowStartFrom = context.now();
        }
    }

    /** Applies a worker's last start, as reported by the worker list. */
    void recordStart(TrackedWorker worker, long workerStartedAt) {
        if (workerStartedAt == Absent.VALUE || workerStartedAt <= worker.slowStartFrom) {
            return;
        }
        if (context.now() - workerStartedAt < context.settings().rules().slowStartWindow()) {
            worker.resetForNewProcess();
        }
        worker.slowStartFrom = workerStartedAt;
    }

    /**
     * Returns whether this gatherer may send one part for the fractional rest of its allowance. In each window that
     * fraction of the gatherers, and at least one, may send one part each. They take turns in an order that differs
     * between workers, and one turn passes on in each window, so that any window gets at most one part more than the
     * fraction allows.
     */
    private boolean hasTurn(TrackedWorker worker, double share) {
        RoutingSettings settings = context.settings();
        double turns = (double) context.now() / settings.slowStartCountWindow() + settings.position()
                + worker.id.hashCode();
        return turns / settings.gatherers() % 1 < Math.max(share, 1.0 / settings.gatherers());
    }

    /**
     * Returns the number of parts that this gatherer may send within the window: its share of a warm worker's
     * throughput, scaled to this worker's current capacity. The lower bound of that throughput assumes that a worker
     * with one core and no queue serves a part within the typical latency of the slowest class. The parts sent by an
     * earlier process of this gatherer are unknown, so a worker that started before this process gets none until those
     * have left the window.
     */
    private double allowance(TrackedWorker worker) {
        RoutingSettings settings = context.settings();
        if (worker.slowStartFrom < startedAt && context.now() - startedAt < settings.slowStartCountWindow()) {
            return 0;
        }
        long window = settings.rules().overloadWindow();
        double minThroughput = window / context.latencies.slowestPartLatency() / settings.gatherers();
        double warmThroughput = Math.max(throughput.answersWithin(window, worker.size), minThroughput);
        return settings.rules().overloadMultiple() * capacityShare(worker) * warmThroughput;
    }
}
