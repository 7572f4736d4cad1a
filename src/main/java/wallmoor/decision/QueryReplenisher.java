package wallmoor.decision;

import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;

/**
 * Keeps enough attempts of a query in flight for a complete answer: parts not sent yet come first, then retries of
 * failed parts and hedged requests for late ones.
 */
final class QueryReplenisher {
    private final PolicyContext context;
    private final ReplicaSelector selector;
    private final RetryPolicy retryPolicy;
    private final RetryBudget retryBudget;
    private final OutlierDetector outliers;
    private final AttemptSender sender;

    QueryReplenisher(PolicyContext context, ReplicaSelector selector, RetryPolicy retryPolicy,
            RetryBudget retryBudget, OutlierDetector outliers, AttemptSender sender) {
        this.context = context;
        this.selector = selector;
        this.retryPolicy = retryPolicy;
        this.retryBudget = retryBudget;
        this.outliers = outliers;
        this.sender = sender;
    }

    /**
     * Sends the attempts that a query needs in addition to its timely ones.
     *
     * @return whether the query can still get an answer
     */
    boolean replenish(TrackedQuery query) {
        List<TrackedPart> failedOrLate = new ArrayList<>();
        List<TrackedPart> unsent = new ArrayList<>();
        double weight = query.answeredWeight();
        for (TrackedPart part : query.parts) {
            if (part.hasTimelyAttempt()) {
                weight += part.weight;
            } else if (!part.answered) {
                (part.attemptCount == 0 ? unsent : failedOrLate).add(part);
            }
        }
        query.awaitingCanary &= query.answeredWeight() == 0;
        double needed = query.awaitingCanary ? TuningParameters.WEIGHT_TOLERANCE
                : query.completeShare() - TuningParameters.WEIGHT_TOLERANCE;
        if (weight >= needed) {
            return true;
        }
        for (TrackedPart part : selector.ranked(unsent)) {
            if (weight < needed && sender.send(part, false) != null) {
                weight += part.weight;
            }
        }
        for (TrackedPart part : failedOrLate) {
            if (weight < needed && retry(part)) {
                weight += part.weight;
            }
        }
        return query.arrival.needsEveryPart() ? mayAnswerFurtherPart(query)
                : attainableWeight(query) >= query.minimumShare() - TuningParameters.WEIGHT_TOLERANCE;
    }

    /**
     * Returns whether any unanswered part may still be answered. A query that needs every part goes on while this is
     * so, as each further result may decide it, although another part can no longer be answered.
     */
    private boolean mayAnswerFurtherPart(TrackedQuery query) {
        for (TrackedPart part : query.parts) {
            boolean inFlight = !part.finished && !part.inFlight.isEmpty();
            if (!part.answered && (inFlight || (retryPolicy.mayAttempt(part) && selector.choose(part) != null))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the weight of the parts that have been answered or still may be. This is a loop because a stream would
     * load its classes at the first failure after each start; the statistics object sums with the same compensation for
     * rounding errors as a stream.
     */
    private double attainableWeight(TrackedQuery query) {
        var weights = new DoubleSummaryStatistics();
        for (TrackedPart part : query.parts) {
            boolean inFlight = !part.finished && !part.inFlight.isEmpty();
            if (part.answered || inFlight || retryPolicy.mayAttempt(part)) {
                weights.accept(part.weight);
            }
        }
        return weights.getSum();
    }

    /**
     * Sends a further attempt of a part that failed or is late. While all workers are slow, late parts just wait.
     *
     * @return whether the part has a timely attempt or will get one
     */
    private boolean retry(TrackedPart part) {
        if (part.inFlight.isEmpty()) {
            return sender.send(part, false) != null;
        }
        if (part.inFlight.values().stream().anyMatch(attempt -> attempt.cancelled)) {
            return true;
        }
        boolean workersSilent = part.inFlight.values().stream()
                .allMatch(attempt -> attempt.worker.ejected || outliers.silence(attempt.worker) >= 1);
        TrackedWorker other = selector.choose(part);
        if (!isBetterElsewhere(part, other) || (!workersSilent && outliers.isEverythingSlow())
                || context.now() >= retryPolicy.retryUntil(part)) {
            return false;
        }
        if (part.inFlight.size() == 1 && sender.send(part, true) != null) {
            return true;
        }
        return workersSilent && cancelForRetry(part);
    }

    private boolean isBetterElsewhere(TrackedPart part, TrackedWorker other) {
        return other != null && !part.triedWorkers.contains(other) && !other.ejected
                && other.failureRate.rate(context.now()) <= TuningParameters.MAX_HEDGE_TARGET_FAILURE_RATE;
    }

    /**
     * Cancels the oldest attempt of a part if no further attempt may run in parallel and a retry is allowed after its
     * end.
     */
    private boolean cancelForRetry(TrackedPart part) {
        PlatformLimits limits = context.settings().limits();
        boolean isAtParallelLimit = part.inFlight.size() > (limits.parallelAttempts() ? 1 : 0);
        if (!isAtParallelLimit || !limits.cancellation() || part.attemptCount >= limits.maxAttempts()
                || !retryBudget.allowsRetry()) {
            return false;
        }
        sender.cancel(part.inFlight.values().iterator().next());
        return true;
    }
}
