package wallmoor.core;

import java.util.function.LongSupplier;
import org.slf4j.Logger;
import wallmoor.decision.RoutingPolicy;

/**
 * Runs the routing policy in rounds. A round passes the events of one point in time to the policy and then lets it
 * decide; {@link PolicyActions} carries out the decisions. Guarded by the gatherer's lock.
 */
final class PolicyDriver {
    private final RoutingPolicy policy;
    private final RoundState round;
    private final LongSupplier clock;
    private final Logger log;

    PolicyDriver(RoutingPolicy policy, RoundState round, LongSupplier clock, Logger log) {
        this.policy = policy;
        this.round = round;
        this.clock = clock;
        this.log = log;
    }

    /** Returns the policy, which takes events within a round and answers queries about its state at any time. */
    RoutingPolicy policy() {
        return policy;
    }

    /** Returns the time of the round, microseconds on the gatherer's clock. */
    long now() {
        return round.now();
    }

    /** Advances the time to that of the clock, never back, and returns it; for an event outside a round. */
    long advance() {
        round.advanceTo(clock.getAsLong());
        return round.now();
    }

    /**
     * Runs a round. An exception of the policy is logged and does not end the calling thread; queries that the policy
     * then no longer decides are failed at their deadline.
     */
    void run(Runnable events) {
        advance();
        try {
            events.run();
            policy.onRoundEnd(round.now());
        } catch (RuntimeException e) {
            log.info("routing policy failed", e);
        }
        round.end();
    }
}
