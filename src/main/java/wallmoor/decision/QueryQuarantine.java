package wallmoor.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects poison queries, which crash the workers that execute them, and rejects similar queries for some time.
 * Evidence against a query grows with each worker that breaks its connection during the query. While a quarantine is
 * recent, each query starts with one part as a canary, and the other parts wait for its answer.
 */
final class QueryQuarantine {
    private final PolicyContext context;
    /** When the rejection of each signature ends (microseconds), see {@link TrackedQuery#signature}. */
    private final Map<Integer, Long> rejectedUntil = new LinkedHashMap<>();
    private long canaryUntil;

    QueryQuarantine(PolicyContext context) {
        this.context = context;
    }

    /** Returns whether queries with this query's signature are currently rejected. */
    boolean isQuarantined(TrackedQuery query) {
        return rejectedUntil.getOrDefault(query.signature(), 0L) > context.now();
    }

    /**
     * Returns whether queries must start with a canary part because a signature was quarantined recently: the query
     * that crashes workers may come back with another signature.
     */
    boolean requiresCanary() {
        return context.now() < canaryUntil;
    }

    /** Returns whether there is enough evidence that this query crashes its workers. */
    boolean isPoison(TrackedQuery query) {
        return query.poisonEvidence >= TuningParameters.QUARANTINE_EVIDENCE;
    }

    /** Rejects queries of this signature for this duration (microseconds). */
    void add(int signature, long duration) {
        rejectedUntil.values().removeIf(end -> end <= context.now());
        long until = context.now() + duration;
        rejectedUntil.put(signature, until);
        canaryUntil = Math.max(canaryUntil, until);
    }

    /**
     * Records that a worker broke its connection during a query.
     *
     * @param duration time since the part was sent (microseconds)
     */
    void recordReset(TrackedQuery query, TrackedWorker worker, long duration) {
        if (!query.resetWorkers.add(worker)) {
            return;
        }
        boolean isImmediate = duration < TuningParameters.IMMEDIATE_RESET_LATENCIES
                * context.typicalLatency(query.classIndex);
        query.poisonEvidence += isImmediate || (query.awaitingCanary && requiresCanary())
                ? TuningParameters.STRONG_POISON_EVIDENCE : TuningParameters.WEAK_POISON_EVIDENCE;
        // a query that crashes workers must not reach the other replicas too
        query.awaitingCanary |= query.answeredWeight() == 0;
    }
}
