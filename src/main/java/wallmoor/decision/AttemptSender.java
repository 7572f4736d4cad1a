package wallmoor.decision;

/** The one place where attempts are sent and cancelled: it holds them against the rules. */
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
     * Sends an attempt of a part to the best worker. A query that has ended has all its parts finished; one whose time
     * is up was ended by {@link QueryCompletion#endIfTimeIsUp} before this.
     *
     * @param hedged whether it may go out beside another attempt of the part
     * @return the attempt, or null if a rule forbids it or no worker may be sent to
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
        if (idleConnections.shouldClose(attempt)
                || (worker.ejected && worker.zone == context.settings().zone())) { // a new one, where it costs little
            context.actions.closeIdleConnections(worker.id);
        }
        worker.lastUsedAt = now;
        if (worker.ejected) {
            outliers.recordTrial(worker);
        }
        long giveUpAfter = Math.max(context.settings().roundInterval(), part.query.usefulUntil() - now);
        context.actions.startAttempt(part.id, worker.id, giveUpAfter, retryPolicy.beginWithin(part));
        return attempt;
    }

    /** Cancels an attempt, once, where the platform allows it. */
    void cancel(TrackedAttempt attempt) {
        if (!attempt.cancelled && context.settings().limits().cancellation()) {
            attempt.cancelled = true;
            context.actions.cancelAttempt(attempt.part.id, attempt.number);
        }
    }

    private boolean mayBeSent(TrackedPart part, boolean hedged) {
        boolean alone = part.inFlight.isEmpty() || (hedged && context.settings().limits().parallelAttempts());
        return retryPolicy.mayAttempt(part) && alone && (part.attemptCount == 0 || retryBudget.allowsRetry());
    }
}
