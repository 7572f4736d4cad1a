package wallmoor.core;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.slf4j.Logger;
import wallmoor.decision.RoutingActions;

/**
 * Carries out the actions of the routing policy as steps of queries, timers and requests for a watch. Called only
 * within a round, and therefore guarded by the gatherer's lock.
 */
final class PolicyActions implements RoutingActions {
    /** A query that ends within this time before its deadline counts as timed out (microseconds). */
    private static final long NEAR_DEADLINE_MICROS = 100_000;

    private final RoundState round;
    private final OpenRequests requests;
    private final WorkerRegistry workers;
    private final TimerQueue timers;
    private final WatchDemand watch;
    private final Logger log;
    private int maxAttemptsPerCall = 1;

    PolicyActions(RoundState round, OpenRequests requests, WorkerRegistry workers, TimerQueue timers, WatchDemand watch,
            Logger log) {
        this.round = round;
        this.requests = requests;
        this.workers = workers;
        this.timers = timers;
        this.watch = watch;
        this.log = log;
    }

    /** Sets how many attempts one call to a worker may carry; a value below 1 counts as 1. */
    void setMaxAttemptsPerCall(int max) {
        maxAttemptsPerCall = Math.max(1, max);
    }

    @Override
    public void startAttempt(String partId, String workerId, long giveUpAfter, long startWithin) {
        Query query = requests.queryOfPart(partId);
        Query.QueryPart part = query.part(partId);
        Worker worker = workers.get(workerId);
        long now = round.now();
        long deadline = Math.min(query.deadline(), now + giveUpAfter);
        long startBefore = startWithin < deadline - now ? now + startWithin : deadline;
        var attempt = new Attempt(query, part, part.attempts++, worker, now, deadline, startBefore);
        query.inFlight.add(attempt);
        timers.addAttemptTimeout(attempt);
        if (!joinCallOfThisRound(query, attempt)) {
            round.addStep(query, new Step.Send(worker, new ArrayList<>(List.of(attempt)),
                    round.takeCloseIdle(workerId)));
        }
    }

    /** Adds an attempt to a pending call to the same worker, if that call was created in the same round. */
    private boolean joinCallOfThisRound(Query query, Attempt attempt) {
        for (Iterator<Step> steps = query.steps.descendingIterator(); steps.hasNext();) {
            if (steps.next() instanceof Step.Send send && send.worker() == attempt.worker
                    && send.attempts().size() < maxAttemptsPerCall
                    && send.attempts().get(0).assignedAt == attempt.assignedAt) {
                send.attempts().add(attempt);
                return true;
            }
        }
        return false;
    }

    @Override
    public void cancelAttempt(String partId, int number) {
        Query query = requests.queryOfPart(partId);
        if (query == null) {
            return;
        }
        for (Attempt attempt : query.inFlight) {
            if (attempt.part.id.equals(partId) && attempt.number == number && !attempt.cancelled) {
                attempt.cancelled = true;
                round.addStep(query, new Step.Cancel(attempt, AttemptOutcome.CANCELLED));
            }
        }
    }

    @Override
    public void answer(String queryId, boolean complete) {
        Query query = requests.openQuery(queryId);
        if (query != null) {
            requests.finish(query, new Step.Answer(complete, query.receivedValues()));
        }
    }

    @Override
    public void reject(String queryId, long retryAfter) {
        Query query = requests.openQuery(queryId);
        if (query != null) {
            requests.finish(query, new Step.Reject(retryAfter, query.wasAttempted(), timedOut(query)));
        }
    }

    @Override
    public void fail(String queryId) {
        Query query = requests.openQuery(queryId);
        if (query != null) {
            requests.finish(query, new Step.Fail(timedOut(query), query.mayHaveRun()));
        }
    }

    /** Returns whether a query ended for lack of an answer in time, rather than because of failed attempts. */
    private boolean timedOut(Query query) {
        return query.cancelledUnanswered || round.now() >= query.deadline() - NEAR_DEADLINE_MICROS;
    }

    @Override
    public void scheduleTimer(long delay, String token) {
        timers.addPolicyTimer(round.now() + delay, token);
    }

    @Override
    public void closeIdleConnections(String workerId) {
        round.closeIdleBeforeNextSend(workerId);
    }

    @Override
    public void broadcast(byte[] contents) {
        // does nothing: this transport has no connection between gatherers
    }

    @Override
    public void watchWorkerList() {
        watch.request();
    }

    @Override
    public void log(String line) {
        log.info(line);
    }
}
