package wallmoor.core;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.slf4j.Logger;
import wallmoor.decision.RoutingActions;

/**
 * Turns the actions of the routing policy into steps of queries, timers and requests for a watch. Called in a round
 * alone, so guarded by the gatherer's lock.
 */
final class PolicyActions implements RoutingActions {
    /** A query that ends this close to its deadline has run out of time (microseconds). */
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

    /** So many attempts at one worker may go out in one call, by the settings; fewer than one count as one. */
    void setMaxAttemptsPerCall(int max) {
        maxAttemptsPerCall = Math.max(1, max);
    }

    @Override
    public void startAttempt(String partId, String workerId, long giveUpAfter, long beginWithin) {
        Query query = requests.queryOfPart(partId);
        Query.QueryPart part = query.part(partId);
        Worker worker = workers.get(workerId);
        long now = round.now();
        long deadline = Math.min(query.deadline, now + giveUpAfter);
        long beginBefore = beginWithin < deadline - now ? now + beginWithin : deadline;
        var attempt = new Attempt(query, part, part.attempts++, worker, now, deadline, beginBefore);
        query.inFlight.add(attempt);
        timers.addAttemptTimeout(attempt);
        if (!joinCallOfThisRound(query, attempt)) {
            round.addStep(query, new Step.Send(worker, new ArrayList<>(List.of(attempt)),
                    round.takeCloseIdle(workerId)));
        }
    }

    /** Adds an attempt to the call to its worker that waits for the query's thread, if that is of the same moment. */
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

    /** Whether waiting in vain, rather than answers that failed, brought a query to its end. */
    private boolean timedOut(Query query) {
        return query.cancelledUnanswered || round.now() >= query.deadline - NEAR_DEADLINE_MICROS;
    }

    @Override
    public void scheduleTimer(long in, String token) {
        timers.addPolicyTimer(round.now() + in, token);
    }

    @Override
    public void closeIdleConnections(String workerId) {
        round.closeIdleBeforeNextSend(workerId);
    }

    @Override
    public void broadcast(byte[] contents) {
        // gatherers have no way to talk to each other here
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
