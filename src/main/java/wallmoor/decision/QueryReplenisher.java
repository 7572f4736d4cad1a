package wallmoor.decision;

import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;

/**
 * Keeps the timely attempts of a query up to what it needs: parts not sent yet come first, then retries of failed
 * parts, and hedged requests for late ones.
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
     * Sends what a query lacks.
     *
     * @return whether the query can still get an answer
     */
    boolean replenish(TrackedQuery query) {
        List<TrackedPart> untimely = new ArrayList<>();
        List<TrackedPart> unsent = new ArrayList<>();
        double weight = query.answeredWeight();
        for (TrackedPart part : query.parts) {
            if (part.hasTimelyAttempt()) {
                weight += part.weight;
            } else if (!part.answered) {
                (part.attemptCount == 0 ? unsent : untimely).add(part);
            }
        }
        query.scouting &= query.answeredWeight() == 0;
        double needed = query.scouting ? TuningParameters.WEIGHT_TOLERANCE
                : query.completeShare() - TuningParameters.WEIGHT_TOLERANCE;
        if (weight >= needed) {
            return true;
        }
        for (TrackedPart part : selector.ranked(unsent)) {
            if (weight < needed && sender.send(part, false) != null) {
                weight += part.weight;
            }
        }
        for (TrackedPart part : untimely) {
            if (weight < needed && retry(part)) {
                weight += part.weight;
            }
        }
        boolean hopeless = attainableWeight(query) < query.queryClass.minimumShare()
                - TuningParameters.WEIGHT_TOLERANCE;
        return !hopeless;
    }

    /**
     * The weight of the parts that have been answered or still may be. A loop, as the classes of a stream would be made
     * at the first failure of each start; these statistics sum with the same compensation for rounding.
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
     * A further attempt for a part that failed or is late. If everything is slow, late parts just wait.
     *
     * @return whether the part has or will have a timely attempt
     */
    private boolean retry(TrackedPart part) {
        if (part.inFlight.isEmpty()) {
            return sender.send(part, false) != null;
        }
        if (part.inFlight.values().stream().anyMatch(a -> a.cancelled)) {
            return true;
        }
        boolean workersSilent = part.inFlight.values().stream()
                .allMatch(a -> a.worker.ejected || outliers.silence(a.worker) >= 1);
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
                && other.failureRate.rate(context.now()) <= TuningParameters.FAILING_RATE;
    }

    /** Where no more attempts may be in flight, cancels the oldest if its end will allow a retry. */
    private boolean cancelForRetry(TrackedPart part) {
        PlatformLimits limits = context.settings().limits();
        boolean full = part.inFlight.size() > (limits.parallelAttempts() ? 1 : 0);
        if (!full || !limits.cancellation() || part.attemptCount >= limits.maxAttempts()
                || !retryBudget.allowsRetry()) {
            return false;
        }
        sender.cancel(part.inFlight.values().iterator().next());
        return true;
    }
}
