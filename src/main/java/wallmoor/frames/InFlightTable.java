package wallmoor.frames;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;

/**
 * The attempts in flight on one connection, by part id, and the parts that it recently carried. An attempt is listed
 * until it is reported; the caller that removes it reports it. Guarded by the connection's lock.
 */
final class InFlightTable {
    /**
     * The number of cancelled and of answered parts that are remembered; the deadline of an older one passed long ago.
     */
    private static final int MAX_REMEMBERED = 512;

    private final Map<String, InFlightAttempt> byPartId = new LinkedHashMap<>();
    /**
     * Cancelled parts whose answer may still arrive. Another attempt of such a part uses another connection: a late
     * answer to the first attempt, mistaken for one to the second, would allow a third to run at the same time.
     */
    private final Set<String> cancelledParts = new LinkedHashSet<>();
    /** Recently answered parts: a duplicate of an answer does not close the connection. */
    private final Set<String> answeredParts = new LinkedHashSet<>();

    boolean isEmpty() {
        return byPartId.isEmpty();
    }

    int size() {
        return byPartId.size();
    }

    /** Returns the attempt that has been in flight for the longest time; there must be one. */
    InFlightAttempt oldest() {
        return byPartId.values().iterator().next();
    }

    /**
     * Returns whether an answer to any of these attempts would be ambiguous, as an earlier attempt of its part was sent
     * on this connection.
     */
    boolean conflictsWith(List<Attempt> attempts) {
        for (Attempt attempt : attempts) {
            if (byPartId.containsKey(attempt.partId()) || cancelledParts.contains(attempt.partId())) {
                return true;
            }
        }
        return false;
    }

    void add(Attempt attempt) {
        byPartId.put(attempt.partId(), new InFlightAttempt(attempt));
    }

    /** Returns the entry of an attempt, or null if it is not in flight on this connection. */
    InFlightAttempt find(Attempt attempt) {
        InFlightAttempt found = byPartId.get(attempt.partId());
        return found != null && found.attempt == attempt ? found : null;
    }

    /** Removes an attempt of which nothing was written. */
    void remove(Attempt attempt) {
        byPartId.remove(attempt.partId());
    }

    /** Removes an attempt whose cancellation has been written. Returns false if it was answered before. */
    boolean removeCancelled(InFlightAttempt cancelled) {
        String partId = cancelled.attempt.partId();
        boolean removed = byPartId.remove(partId, cancelled);
        if (removed) {
            remember(cancelledParts, partId);
        }
        return removed;
    }

    /** The relation of an answer to the attempts on this connection. */
    enum AnswerMatch {
        /** The answer belongs to an attempt that was written. */
        IN_FLIGHT,
        /** The answer crossed a cancellation, or is a duplicate. */
        LATE,
        /** The part was not requested: the attempt that the answer was meant for will never be answered. */
        UNKNOWN
    }

    /** Classifies an answer to a part; the caller removes an answered attempt by {@link #removeAnswered}. */
    AnswerMatch match(String partId) {
        boolean crossedCancellation = cancelledParts.remove(partId);
        InFlightAttempt found = byPartId.get(partId);
        if (found != null && found.state != WriteState.QUEUED) {
            return AnswerMatch.IN_FLIGHT;
        }
        return crossedCancellation || answeredParts.contains(partId) ? AnswerMatch.LATE : AnswerMatch.UNKNOWN;
    }

    /** Removes and returns the attempt of an answered part. */
    InFlightAttempt removeAnswered(String partId) {
        remember(answeredParts, partId);
        return byPartId.remove(partId);
    }

    /** Removes all attempts. Returns the outcome of each when the connection ends. */
    Map<Attempt, AttemptOutcome> removeAll(boolean connected) {
        var outcomes = new LinkedHashMap<Attempt, AttemptOutcome>();
        for (InFlightAttempt entry : byPartId.values()) {
            outcomes.put(entry.attempt, entry.outcomeAtClose(connected));
        }
        byPartId.clear();
        return outcomes;
    }

    private static void remember(Set<String> parts, String partId) {
        parts.add(partId);
        if (parts.size() > MAX_REMEMBERED) {
            parts.remove(parts.iterator().next());
        }
    }
}
