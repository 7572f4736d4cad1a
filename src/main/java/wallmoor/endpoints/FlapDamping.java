package wallmoor.endpoints;

/**
 * How long an endpoint is suppressed that comes and goes, or that can't be connected to, though its sources say that it
 * serves. Both times double up to a bound, and are forgotten after a quiet while: the flap damping of RFC 2439 without
 * its decay curve, which a bounded exponential backoff does not need. Times are microseconds.
 */
final class FlapDamping {
    /** Doublings beyond this many change nothing, as every bound is lower. */
    private static final int MAX_DOUBLINGS = 20;
    private static final long NEVER = Long.MIN_VALUE;

    private final DampingParameters parameters;
    private int returns;
    private long removedAt = NEVER;
    private int connectFailures;
    private long failingSince;
    private int unreachablePeriods;
    private long suppressedUntil = NEVER;
    private long unreachableUntil = NEVER;
    private String suppressionReason;

    FlapDamping(DampingParameters parameters) {
        this.parameters = parameters;
    }

    /** The sources have ceased to name the endpoint as serving. */
    void onRemoved(long now) {
        if (removedAt != NEVER && now - removedAt > parameters.quietMicros()) {
            returns = 0;
        }
        removedAt = now;
    }

    /** They name it again. The first return is free: an endpoint may be restarted once without being suppressed. */
    void onReturned(long now) {
        boolean removedLately = removedAt != NEVER && now - removedAt <= parameters.quietMicros();
        returns = removedLately ? returns + 1 : 0;
        if (returns > 1) {
            suppress(now, backoff(returns - 2, parameters.maxMicros()), "returned " + returns + " times");
        }
    }

    /** A connection came up. */
    void onConnectSucceeded() {
        connectFailures = 0;
        unreachablePeriods = 0;
    }

    /**
     * A connection did not come up.
     *
     * @return whether the address counts as unreachable from now on
     */
    boolean onConnectFailed(long now) {
        if (connectFailures++ == 0) {
            failingSince = now;
        }
        if (isSuppressed(now) || !hasFailedEnough(now)) {
            return false;
        }
        suppress(now, backoff(unreachablePeriods++, parameters.maxUnreachableMicros()), "can't be connected to");
        connectFailures = 0;
        unreachableUntil = suppressedUntil;
        return true;
    }

    /** One that was suppressed before has a single attempt to show that it is back. */
    private boolean hasFailedEnough(long now) {
        boolean onProbation = unreachablePeriods > 0;
        return onProbation
                || (connectFailures >= parameters.minFailures() && now - failingSince >= parameters.minFailingMicros());
    }

    /** Whether it is suppressed because it can't be connected to. */
    boolean isUnreachable(long now) {
        return now < unreachableUntil;
    }

    boolean isSuppressed(long now) {
        return now < suppressedUntil;
    }

    /** Whether a recent removal still bears on what a return means. */
    boolean hasHistory(long now) {
        return removedAt != NEVER && now < historyExpiresAt();
    }

    long historyExpiresAt() {
        return removedAt + parameters.quietMicros();
    }

    long suppressedUntil() {
        return suppressedUntil;
    }

    String suppressionReason() {
        return suppressionReason;
    }

    private void suppress(long now, long time, String reason) {
        if (now + time > suppressedUntil) {
            suppressedUntil = now + time;
            suppressionReason = reason;
        }
    }

    private long backoff(int doublings, long most) {
        return Math.min(most, parameters.firstMicros() << Math.min(doublings, MAX_DOUBLINGS));
    }
}
