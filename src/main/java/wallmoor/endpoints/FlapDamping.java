package wallmoor.endpoints;

/**
 * Suppresses an endpoint that repeatedly comes and goes (flaps), or that can't be connected to although its sources
 * claim that it serves. Both suppression times double up to a bound and are reset after a quiet period. This is the
 * flap damping of RFC 2439 without its decay curve, which a bounded exponential backoff does not need. Times are in
 * microseconds.
 */
final class FlapDamping {
    /** Further doublings have no effect, as every bound is lower. */
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

    /** Records that the sources no longer claim that the endpoint serves. */
    void onRemoved(long now) {
        if (removedAt != NEVER && now - removedAt > parameters.quietMicros()) {
            returns = 0;
        }
        removedAt = now;
    }

    /**
     * Records that the sources claim again that the endpoint serves. The first return does not suppress it, so that an
     * endpoint can be restarted once.
     */
    void onReturned(long now) {
        boolean wasRemovedRecently = removedAt != NEVER && now - removedAt <= parameters.quietMicros();
        returns = wasRemovedRecently ? returns + 1 : 0;
        if (returns > 1) {
            suppress(now, backoff(returns - 2, parameters.maxMicros()), "returned " + returns + " times");
        }
    }

    /** Records that a connection was established. */
    void onConnectSucceeded() {
        connectFailures = 0;
        unreachablePeriods = 0;
    }

    /**
     * Records that a connection attempt failed.
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
        suppress(now, backoff(unreachablePeriods++, parameters.maxUnreachableMicros()), "connections failed");
        connectFailures = 0;
        unreachableUntil = suppressedUntil;
        return true;
    }

    /** Returns whether the address is unreachable. After a first suppression a single failure is enough. */
    private boolean hasFailedEnough(long now) {
        boolean isOnProbation = unreachablePeriods > 0;
        return isOnProbation
                || (connectFailures >= parameters.minFailures() && now - failingSince >= parameters.minFailingMicros());
    }

    /** Returns whether the endpoint is suppressed because it can't be connected to. */
    boolean isUnreachable(long now) {
        return now < unreachableUntil;
    }

    boolean isSuppressed(long now) {
        return now < suppressedUntil;
    }

    /** Returns whether a removal is recent enough that the next return counts as a flap. */
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

    private void suppress(long now, long durationMicros, String reason) {
        if (now + durationMicros > suppressedUntil) {
            suppressedUntil = now + durationMicros;
            suppressionReason = reason;
        }
    }

    private long backoff(int doublings, long maxMicros) {
        return Math.min(maxMicros, parameters.firstMicros() << Math.min(doublings, MAX_DOUBLINGS));
    }
}
