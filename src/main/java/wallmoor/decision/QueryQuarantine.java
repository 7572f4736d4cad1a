package wallmoor.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects poison queries, which crash the workers that execute them, and keeps their like out for a while. A query
 * under which workers break their connections gathers evidence; while there is an alarm, one part of each query goes
 * ahead, and the others wait for its answer.
 */
final class QueryQuarantine {
    private final PolicyContext context;
    /** Until when a signature is rejected (microseconds), see {@link TrackedQuery#signature}. */
    private final Map<Integer, Long> rejectedUntil = new LinkedHashMap<>();
    private long alarmUntil;

    QueryQuarantine(PolicyContext context) {
        this.context = context;
    }

    /** Whether queries like this one are rejected now. */
    boolean isQuarantined(TrackedQuery query) {
        return rejectedUntil.getOrDefault(query.signature(), 0L) > context.now();
    }

    /** Whether any signature was quarantined lately: what crashes workers may come with another signature. */
    boolean isAlarmed() {
        return context.now() < alarmUntil;
    }

    /** Whether there is enough evidence that this query crashes its workers. */
    boolean isPoison(TrackedQuery query) {
        return query.poisonEvidence >= TuningParameters.QUARANTINE_EVIDENCE;
    }

    /** Rejects queries of this signature for so long (microseconds). */
    void add(int signature, long duration) {
        rejectedUntil.values().removeIf(end -> end <= context.now());
        long until = context.now() + duration;
        rejectedUntil.put(signature, until);
        alarmUntil = Math.max(alarmUntil, until);
    }

    /** A worker broke its connection under a query, this long after the send (microseconds). */
    void recordReset(TrackedQuery query, TrackedWorker worker, long duration) {
        if (!query.resetWorkers.add(worker)) {
            return;
        }
        boolean immediate = duration < TuningParameters.IMMEDIATE_RESET_LATENCIES
                * context.typicalLatency(query.classIndex);
        query.poisonEvidence += immediate || (query.scouting && isAlarmed()) ? TuningParameters.STRONG_POISON_EVIDENCE
                : TuningParameters.WEAK_POISON_EVIDENCE;
        query.scouting |= query.answeredWeight() == 0; // one that crashes workers is not to take the other replicas too
    }
}
