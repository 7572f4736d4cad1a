package wallmoor.service;

import wallmoor.decision.PlatformLimits;
import wallmoor.decision.RoutingSettings;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.RuleBody;

/**
 * What this gatherer takes from the agreed {@code settings}: bounds that lower those of its own file and never raise
 * them. That an agreed bound goes down at once and up only by agreement is what the {@link EffectiveRule} brings; here
 * it is only
 * read.
 */
final class AgreedLimits {
    /** Queries and requests held at once; below it nothing more is taken in. */
    static final String MAX_OPEN_FIELD = "limits.open";
    /** Tries of one part, the first included. */
    static final String MAX_ATTEMPTS_FIELD = "limits.attempts";

    private AgreedLimits() {}

    /** The gatherer's own settings, lowered to what is agreed. */
    static RoutingSettings of(RoutingSettings own, EffectiveRule agreed) {
        return with(own, lower(own.limits().maxAttempts(), agreed.body(), MAX_ATTEMPTS_FIELD),
                lower(own.limits().maxInFlight(), agreed.body(), MAX_OPEN_FIELD));
    }

    /** The same for a process that holds so much; of one that may hold nothing the bound is 1, and no query fits. */
    static RoutingSettings holding(RoutingSettings whole, int maxOpen) {
        return with(whole, whole.limits().maxAttempts(), Math.max(1, maxOpen));
    }

    private static RoutingSettings with(RoutingSettings s, int maxAttempts, int maxOpen) {
        PlatformLimits l = s.limits();
        return s.withLimits(
                new PlatformLimits(l.cancellation(), l.parallelAttempts(), l.healthChecks(), l.gossip(), l.retryAfter(),
                        l.maxRetryAfter(), maxAttempts, maxOpen, l.maxBatch(), l.connectTimeout()));
    }

    /** Never below one: a gatherer that takes nothing in is one that is told to leave. */
    private static int lower(int own, RuleBody agreed, String field) {
        return (int) Math.max(1, Math.min(own, agreed.amount(field, own)));
    }
}
