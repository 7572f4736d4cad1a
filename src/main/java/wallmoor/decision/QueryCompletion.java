package wallmoor.decision;

import java.util.ArrayList;

/** Ends queries: the final answer, the rejection with its Retry-After, or the failure, and what is let go with it. */
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

    /** Ends a query whose time or use is over; whether it did. */
    boolean endIfTimeIsUp(TrackedQuery query) {
        long left = query.arrival.deadline() - context.now();
        if (left > 2L * TuningParameters.SWEEP_ROUNDS * context.settings().roundInterval()
                && context.now() < query.usefulUntil()) {
            return false;
        }
        double answered = query.answeredWeight();
        if (answered >= query.queryClass.minimumShare() - TuningParameters.WEIGHT_TOLERANCE
                && (query.phase == 2 || query.queryClass.followUpParts() == 0)) {
            answer(query, query.phase == 1
                    && answered >= query.completeShare() - TuningParameters.WEIGHT_TOLERANCE);
        } else {
            giveUp(query);
        }
        return true;
    }

    /** Answers a phase of a query from the parts that are in. A first phase with a follow-up starts the second. */
    void answer(TrackedQuery query, boolean complete) {
        context.actions.answer(query.arrival.id(), complete);
        int followUp = query.queryClass.followUpParts();
        if (query.phase == 1 && followUp > 0) {
            query.firstPhaseComplete = complete;
            query.expectedParts = (int) Math.min(followUp, query.parts.stream().filter(p -> p.answered).count());
            letGo(query);
            query.parts = new ArrayList<>();
            query.phase = 2;
            query.started = false;
            return;
        }
        long took = context.now() - query.arrivedAt;
        if (query.predictedPartTime > 0 && !context.stalled()) {
            context.latencies.queryStretch(query.classIndex)
                    .add(Math.min(TuningParameters.MAX_QUERY_STRETCH, took / query.predictedPartTime));
        }
        close(query, took <= query.latencyObjective());
    }

    /** The final answer to a query that is given up, at once: a rejection where the rules let it be one. */
    void giveUp(TrackedQuery query) {
        if (query.started && query.predictedPartTime > 0 && !context.stalled()) {
            MovingAverage stretch = context.latencies.queryStretch(query.classIndex);
            double soFar = (context.now() - query.arrivedAt) / query.predictedPartTime;
            stretch.add(Math.min(TuningParameters.MAX_QUERY_STRETCH, Math.max(soFar, stretch.orElse(0))));
        }
        if (query.queryClass.idempotency() != Idempotency.IDEMPOTENT && query.mayHaveExecuted()) {
            context.actions.fail(query.arrival.id());
        } else {
            context.actions.reject(query.arrival.id(), retryAfter(query));
        }
        close(query, false);
    }

    /** Closes a query that has had its final answer, or needs none as its client has left. */
    void close(TrackedQuery query, boolean inTime) {
        admission.recordEnd(query, inTime);
        requests.remove(query);
        letGo(query);
    }

    private long retryAfter(TrackedQuery query) {
        PlatformLimits limits = context.settings().limits();
        double longest = limits.retryAfter() ? limits.maxRetryAfter() : 0;
        return (long) Math.min(longest, TuningParameters.RETRY_AFTER_OBJECTIVE_SHARE
                * query.queryClass.latencyObjective() * context.jitter(TuningParameters.RETRY_AFTER_JITTER));
    }

    private void letGo(TrackedQuery query) {
        for (TrackedPart part : query.parts) {
            part.finished = true;
            part.inFlight.values().forEach(sender::cancel);
            requests.removeIfUnused(part);
        }
    }
}
