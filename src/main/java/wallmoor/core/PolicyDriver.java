package wallmoor.core;

import java.util.function.LongSupplier;
import org.slf4j.Logger;
import wallmoor.decision.RoutingPolicy;

/**
 * Runs the routing policy in rounds: events of one moment, then the policy's decisions on them, which
 * {@link PolicyActions} carries out. Guarded by the gatherer's lock.
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

    /** The policy, for its events inside a round and for what it can be asked at any time. */
    RoutingPolicy policy() {
        return policy;
    }

    /** The time of the round, microseconds on the gatherer's clock. */
    long now() {
        return round.now();
    }

    /** Sets the time to that of the clock, never back, and returns it: for an event outside a round. */
    long advance() {
        round.advanceTo(clock.getAsLong());
        return round.now();
    }

    /** Runs a round. What the policy throws is logged and ends no thread: queries it forgot end at their deadline. */
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
