package wallmoor.decision;

/** Sends and cancels all attempts, and checks them against the rules for attempts, retries and hedged requests. */
final class AttemptSender {
    private final PolicyContext context;
    private final ReplicaSelector selector;
    private final SlowStart slowStart;
    private final RetryPolicy retryPolicy;
    private final RetryBudget retryBudget;
    private final OutlierDetector outliers;
    private final GossipExchange gossip;
    private final IdleConnections idleConnections;

    AttemptSender(PolicyContext context, ReplicaSelector selector, SlowStart slowStart, RetryPolicy retryPolicy,
            RetryBudget retryBudget, OutlierDetector outliers, GossipExchange gossip,
            IdleConnections idleConnections) {
        this.context = context;
        this.selector = selector;
        this.slowStart = slowStart;
        this.retryPolicy = retryPolicy;
        this.retryBudget = retryBudget;
        this.outliers = outliers;
        this.gossip = gossip;
        this.idleConnections = idleConnections;
    }

    /**
     * Sends an attempt of a part to the best worker. The parts of an ended query are finished and are not sent. The
     * caller has already ended queries whose time is up, see {@link QueryCompletion#endIfTimeIsUp}.
     *
     * @param hedged whether the attempt may run in parallel with another attempt of the part
     * @return the attempt, or null if a rule forbids it or no worker is available
     */
    TrackedAttempt send(TrackedPart part, boolean hedged) {
        if (!mayBeSent(part, hedged)) {
            return null;
        }
        TrackedWorker worker = selector.choose(part);
        if (worker == null) {
            return null;
        }
        long now = context.now();
        var attempt = new TrackedAttempt(part, worker, part.attemptCount, now, worker.inFlight.size(),
                worker.totalInFlight(now));
        if (part.attemptCount > 0) {
            retryBudget.recordRetry();
        }
        part.recordSent(attempt);
        gossip.recordChange(worker);
        slowStart.recordSent(worker);
        attempt.afterIdle = idleConnections.areIdle(worker, part.query.classIndex);
        // a trial of an ejected worker gets a new connection in the own zone only, where connecting is cheap
        if (idleConnections.shouldClose(attempt)
                || (worker.ejected && worker.zone == context.settings().zone())) {
            context.actions.closeIdleConnections(worker.id);
        }
        worker.lastUsedAt = now;
        if (worker.ejected) {
            outliers.recordTrial(worker);
        }
        long timeout = Math.max(context.settings().roundInterval(), part.query.usefulUntil() - now);
        context.actions.startAttempt(part.id, worker.id, timeout, retryPolicy.maxStartDelay(part));
        return attempt;
    }

    /** Cancels an attempt if the platform supports cancellation and it was not cancelled before. */
    void cancel(TrackedAttempt attempt) {
        if (!attempt.cancelled && context.settings().limits().cancellation()) {
            attempt.cancelled = true;
            context.actions.cancelAttempt(attempt.part.id, attempt.number);
        }
    }

    private boolean mayBeSent(TrackedPart part, boolean hedged) {
        boolean isParallelismAllowed = part.inFlight.isEmpty()
                || (hedged && context.settings().limits().parallelAttempts());
        return retryPolicy.mayAttempt(part) && isParallelismAllowed
                && (part.attemptCount == 0 || retryBudget.allowsRetry());
    }
}
