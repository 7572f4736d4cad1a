package wallmoor.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import wallmoor.decision.AttemptEnded;
import wallmoor.decision.RoutingPolicy;

/**
 * Follows attempts from the policy's decision to their end: withdrawn before they are handed to the transport, timed
 * out, cancelled because their query has its final step, or reported by the transport. Guarded by the gatherer's lock.
 */
final class AttemptLifecycle {
    private final PolicyDriver driver;
    private final RoundState round;
    private final OpenRequests requests;
    private final TimerQueue timers;
    private final LongSupplier clock;

    AttemptLifecycle(PolicyDriver driver, RoundState round, OpenRequests requests, TimerQueue timers,
            LongSupplier clock) {
        this.driver = driver;
        this.round = round;
        this.requests = requests;
        this.timers = timers;
        this.clock = clock;
    }

    /**
     * Returns the next step of a query that is still valid, or null. Attempts that may no longer be sent end here as
     * {@link AttemptOutcome#NOT_SENT}; cancellations of attempts that have ended are skipped.
     */
    Step nextStep(Query query) {
        while (true) {
            Step step = query.steps.poll();
            if (step instanceof Step.Send send) {
                withdrawForbidden(send);
                if (!send.attempts().isEmpty()) {
                    return send;
                }
            } else if (!(step instanceof Step.Cancel cancel && cancel.attempt().ended)) {
                return step;
            }
        }
    }

    /** Removes from a call the attempts that may no longer be sent, and ends them. */
    private void withdrawForbidden(Step.Send send) {
        var forbidden = new ArrayList<Attempt>();
        String address = send.worker().address();
        long now = clock.getAsLong();
        for (Attempt attempt : send.attempts()) {
            if (!attempt.checkPermission(now, address).granted()) {
                forbidden.add(attempt);
            }
        }
        if (!forbidden.isEmpty()) {
            send.attempts().removeAll(forbidden);
            driver.run(() -> endAll(forbidden, AttemptOutcome.NOT_SENT));
        }
    }

    private void endAll(List<Attempt> attempts, AttemptOutcome outcome) {
        for (Attempt attempt : attempts) {
            end(attempt, outcome, null);
        }
    }

    /**
     * Cancels the attempts of a query that are in flight, so that none remains after its final step.
     *
     * @return whether there are steps to hand out before the final one
     */
    boolean cancelInFlight(Query query) {
        for (Attempt attempt : query.inFlight) {
            if (!attempt.cancelled) {
                attempt.cancelled = true;
                query.steps.add(new Step.Cancel(attempt, AttemptOutcome.CANCELLED));
            }
        }
        return !query.steps.isEmpty();
    }

    /** Runs the timers that are due. Called within a round. */
    void runDueTimers() {
        while (timers.hasDue(round.now())) {
            TimerQueue.Timer timer = timers.poll();
            if (timer.isAttemptTimeout()) {
                timeOut(timer.attempt());
            } else {
                driver.policy().onTimer(round.now(), timer.token());
            }
        }
    }

    private void timeOut(Attempt attempt) {
        if (!attempt.ended && !attempt.cancelled) {
            attempt.cancelled = true;
            round.addStep(attempt.query, new Step.Cancel(attempt, AttemptOutcome.TIMED_OUT));
        }
    }

    /** Ends an attempt, unless it has ended, and reports that to the policy. Called within a round. */
    void end(Attempt attempt, AttemptOutcome outcome, byte[] value) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        Query query = attempt.query;
        query.inFlight.remove(attempt);
        timers.removeAttemptTimeout(attempt);
        boolean finished = query.finalStep != null;
        query.cancelledUnanswered |= attempt.cancelled && !finished;
        query.attemptMayHaveRun |= !outcome.endReason.neverRan;
        if (outcome == AttemptOutcome.SERVED && !finished) {
            attempt.part.value = value;
            if (query.isDecidedBy(value)) {
                driver.policy().onQueryDecided(round.now(), query.id);
            }
        }
        if (finished) {
            requests.removePartsUnlessInFlight(query);
        }
        reportToPolicy(attempt, outcome, finished || outcome == AttemptOutcome.SERVED);
    }

    private void reportToPolicy(Attempt attempt, AttemptOutcome outcome, boolean partOver) {
        RoutingPolicy policy = driver.policy();
        long now = round.now();
        policy.onAttemptEnded(now, new AttemptEnded(attempt.part.id, attempt.number, attempt.worker.id(),
                outcome.endReason, now - attempt.startedAt(outcome), partOver, Map.of()));
    }
}
