package wallmoor.decision;

import java.util.ArrayList;

/**
 * Ends queries with a final answer, a rejection with its Retry-After, or a failure, and cancels their remaining
 * attempts.
 */
final class QueryCompletion {
    private final PolicyContext context;
    private final RequestTable requests;
    private final AdmissionControl admission;
    private final AttemptSender sender;

    QueryCompletion(PolicyContext context, RequestTable requests, AdmissionControl admission, AttemptSender sender) {
        this.context = context;
        this.requests = requests;
        this.admission = admission;
        this.sender = sender;
    }

    /**
     * Ends a query that has reached its deadline or can no longer earn anything.
     *
     * @return whether the query was ended
     */
    boolean endIfTimeIsUp(TrackedQuery query) {
        long timeLeft = query.deadline - context.now();
        if (timeLeft > 2L * TuningParameters.SWEEP_ROUNDS * context.settings().roundInterval()
                && context.now() < query.usefulUntil()) {
            return false;
        }
        double answered = query.answeredWeight();
        if ((query.decided || answered >= query.minimumShare() - TuningParameters.WEIGHT_TOLERANCE)
                && (query.phase == 2 || query.queryClass.followUpParts() == 0)) {
            answer(query, query.phase == 1
                    && answered >= query.completeShare() - TuningParameters.WEIGHT_TOLERANCE);
        } else {
            giveUp(query);
        }
        return true;
    }

    /**
     * Answers a phase of a query from the parts that have been answered. Starts the second phase if the class has one.
     */
    void answer(TrackedQuery query, boolean complete) {
        context.actions.answer(query.arrival.id(), complete);
        int followUpParts = query.queryClass.followUpParts();
        if (query.phase == 1 && followUpParts > 0) {
            query.firstPhaseComplete = complete;
            query.expectedParts = (int) Math.min(followUpParts, query.parts.stream().filter(p -> p.answered).count());
            finishParts(query);
            query.parts = new ArrayList<>();
            query.phase = 2;
            query.started = false;
            return;
        }
        long elapsed = context.now() - query.arrivedAt;
        if (query.predictedPartTime > 0 && !context.isStalled()) {
            context.latencies.queryLatencyRatio(query.classIndex)
                    .add(Math.min(TuningParameters.MAX_QUERY_LATENCY_RATIO, elapsed / query.predictedPartTime));
        }
        close(query, elapsed <= query.latencyObjective());
    }

    /**
     * Ends a query without an answer: with a rejection if no part may have been executed or a second execution is
     * harmless, else with a failure.
     */
    void giveUp(TrackedQuery query) {
        if (query.started && query.predictedPartTime > 0 && !context.isStalled()) {
            MovingAverage latencyRatio = context.latencies.queryLatencyRatio(query.classIndex);
            double ratioSoFar = (context.now() - query.arrivedAt) / query.predictedPartTime;
            latencyRatio.add(Math.min(TuningParameters.MAX_QUERY_LATENCY_RATIO,
                    Math.max(ratioSoFar, latencyRatio.orElse(0))));
        }
        if (query.queryClass.idempotency() != Idempotency.IDEMPOTENT && query.mayHaveExecuted()) {
            context.actions.fail(query.arrival.id());
        } else {
            context.actions.reject(query.arrival.id(), retryAfter(query));
        }
        close(query, false);
    }

    /** Removes a query that has had its final answer, or needs none because its client has disconnected. */
    void close(TrackedQuery query, boolean inTime) {
        admission.recordEnd(query, inTime);
        requests.remove(query);
        finishParts(query);
    }

    private long retryAfter(TrackedQuery query) {
        PlatformLimits limits = context.settings().limits();
        double maxRetryAfter = limits.retryAfter() ? limits.maxRetryAfter() : 0;
        return (long) Math.min(maxRetryAfter, TuningParameters.RETRY_AFTER_OBJECTIVE_SHARE
                * query.queryClass.latencyObjective() * context.jitter(TuningParameters.RETRY_AFTER_JITTER));
    }

    private void finishParts(TrackedQuery query) {
        for (TrackedPart part : query.parts) {
            part.finished = true;
            part.inFlight.values().forEach(sender::cancel);
            requests.removeIfUnused(part);
        }
    }
}
