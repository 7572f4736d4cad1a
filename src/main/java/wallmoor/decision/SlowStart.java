package wallmoor.decision;

/**
 * Slow start (warm-up) of workers: how much a worker carries at its age, and how many parts this gatherer may send it
 * meanwhile, so that all gatherers together don't overload it though they don't talk. Owns the throughput of warm
 * workers, on which the allowance is based.
 */
final class SlowStart {
    private final PolicyContext context;
    private final WarmThroughput throughput = new WarmThroughput();
    private long startedAt;

    SlowStart(PolicyContext context) {
        this.context = context;
    }

    /** This gatherer has started. */
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

    /** The least share of its capacity that a worker has at its age. */
    double warmth(TrackedWorker worker) {
        if (!isInSlowStart(worker)) {
            return 1;
        }
        PlatformRules rules = context.settings().rules();
        return rules.slowStartShare() + (1 - rules.slowStartShare())
                * Math.max(0, context.now() - worker.slowStartFrom) / Math.max(1, rules.slowStartWindow());
    }

    /** Whether one more part may be sent to this worker: always to a warm one, else within the allowance. */
    boolean allows(TrackedWorker worker) {
        if (!isInSlowStart(worker)) {
            return true;
        }
        int gatherers = context.settings().gatherers();
        double share = allowance(worker);
        double slack = Math.min(TuningParameters.SLOW_START_SLACK, Math.sqrt(share * gatherers));
        double allowed = share + slack / gatherers;
        double whole = Math.floor(allowed);
        return worker.sentWithinWindow(context.now()) + 1 <= whole + (isOwnTurn(worker, allowed - whole) ? 1 : 0);
    }

    /** A part goes out to this worker. */
    void recordSent(TrackedWorker worker) {
        worker.recordSent(context.now(), context.settings().slowStartCountWindow());
    }

    /** A worker has answered a part. */
    void recordAnswer(TrackedWorker worker) {
        if (!worker.ejected && isWarm(worker)) {
            throughput.recordAnswer(context.now());
        }
    }

    /** Counts the workers that are warm and in use. */
    void updateWarmWorkers(WorkerTable workers) {
        throughput.updateWarmWorkers(context.now(), workers.relativeSizes(w -> !w.ejected && isWarm(w)));
    }

    /** The worker's process was lost, and it answers again: it has just started, whatever the list says. */
    void restart(TrackedWorker worker) {
        if (!isInSlowStart(worker)) {
            worker.slowStartFrom = context.now();
        }
    }

    /** Takes in a worker's last start as the list has it. */
    void recordStart(TrackedWorker worker, long workerStartedAt) {
        if (workerStartedAt == Absent.VALUE || workerStartedAt <= worker.slowStartFrom) {
            return;
        }
        if (context.now() - workerStartedAt < context.settings().rules().slowStartWindow()) {
            worker.forgetProcess();
        }
        worker.slowStartFrom = workerStartedAt;
    }

    /**
     * Of a fraction of a part, that share of the gatherers sends one in a window, and one gatherer at least. They take
     * turns, at each worker others, and one changes in a window: any gets one call more than the share.
     */
    private boolean isOwnTurn(TrackedWorker worker, double share) {
        RoutingSettings settings = context.settings();
        double turns = (double) context.now() / settings.slowStartCountWindow() + settings.position()
                + worker.id.hashCode();
        return turns / settings.gatherers() % 1 < Math.max(share, 1.0 / settings.gatherers());
    }

    /**
     * Parts that this gatherer may send within the window: its share of what a warm worker carries, at this worker's
     * warmth. A worker with a core and no queue serves a part in the typical latency at the latest. What a process
     * before this one sent is not known: a worker older than this process waits until that has left the window.
     */
    private double allowance(TrackedWorker worker) {
        RoutingSettings settings = context.settings();
        if (worker.slowStartFrom < startedAt && context.now() - startedAt < settings.slowStartCountWindow()) {
            return 0;
        }
        long window = settings.rules().overloadWindow();
        double least = window / context.latencies.slowestPartLatency() / settings.gatherers();
        double warm = Math.max(throughput.answersWithin(window, worker.size), least);
        return settings.rules().overloadMultiple() * warmth(worker) * warm;
    }
}
