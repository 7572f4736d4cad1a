package wallmoor.frames;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;

/**
 * The attempts in flight on one connection, by the id of their part, and which parts it had lately. An attempt stands
 * here until it is reported, and is reported by whoever takes it out. Guarded by the connection's lock.
 */
final class InFlightTable {
    /** Parts that are remembered of each kind: an older one is long past its query's deadline. */
    private static final int MAX_REMEMBERED = 512;

    private final Map<String, InFlightAttempt> byPartId = new LinkedHashMap<>();
    /**
     * Parts cancelled here whose answer may still be on its way. Another attempt of such a part takes another
     * connection: a late answer to the first, mistaken for one to the second, would let a third out beside it.
     */
    private final Set<String> cancelledParts = new LinkedHashSet<>();
    /** Parts answered here last: a duplicate of a good answer takes nothing from the connection. */
    private final Set<String> answeredParts = new LinkedHashSet<>();

    boolean isEmpty() {
        return byPartId.isEmpty();
    }

    int size() {
        return byPartId.size();
    }

    /** The attempt that has been in flight for longest; there must be one. */
    InFlightAttempt oldest() {
        return byPartId.values().iterator().next();
    }

    /** Whether an answer to any of these attempts could not be told from one to an earlier attempt of its part. */
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

    /** This attempt as it stands here, or null if it is not in flight here. */
    InFlightAttempt find(Attempt attempt) {
        InFlightAttempt found = byPartId.get(attempt.partId());
        return found != null && found.attempt == attempt ? found : null;
    }

    /** Takes out an attempt of which nothing was written. */
    void remove(Attempt attempt) {
        byPartId.remove(attempt.partId());
    }

    /** Takes out an attempt whose cancellation has been written; false if it was answered before. */
    boolean removeCancelled(InFlightAttempt cancelled) {
        String partId = cancelled.attempt.partId();
        boolean removed = byPartId.remove(partId, cancelled);
        if (removed) {
            remember(cancelledParts, partId);
        }
        return removed;
    }

    /** What an answer to a part means. */
    enum AnswerMatch {
        /** It answers an attempt that was written here. */
        IN_FLIGHT,
        /** It crossed a cancellation, or is a duplicate. */
        LATE,
        /** Nobody asked for it: what it was meant to answer will never be answered. */
        UNKNOWN
    }

    /** What an answer to this part means; an answered attempt is to be taken out by {@link #removeAnswered}. */
    AnswerMatch match(String partId) {
        boolean crossedCancellation = cancelledParts.remove(partId);
        InFlightAttempt found = byPartId.get(partId);
        if (found != null && found.state != WriteState.QUEUED) {
            return AnswerMatch.IN_FLIGHT;
        }
        return crossedCancellation || answeredParts.contains(partId) ? AnswerMatch.LATE : AnswerMatch.UNKNOWN;
    }

    /** Takes out the attempt of a part that was answered. */
    InFlightAttempt removeAnswered(String partId) {
        remember(answeredParts, partId);
        return byPartId.remove(partId);
    }

    /** Takes out all attempts, each with what the end of the connection means for it. */
    Map<Attempt, AttemptOutcome> removeAll(boolean connected) {
        var outcomes = new LinkedHashMap<Attempt, AttemptOutcome>();
        for (InFlightAttempt each : byPartId.values()) {
            outcomes.put(each.attempt, each.outcomeAtClose(connected));
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
