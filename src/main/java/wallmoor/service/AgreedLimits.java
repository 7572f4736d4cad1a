package wallmoor.service;

import wallmoor.decision.PlatformLimits;
import wallmoor.decision.RoutingSettings;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.RuleBody;

/**
 * The limits that this gatherer takes from the agreed rule {@code settings}. They lower the limits of its own file and
 * never raise them. The {@link EffectiveRule} guarantees that an agreed limit is lowered at once and raised only once
 * all gatherers agree; this class only reads it.
 */
final class AgreedLimits {
    /** The maximum number of queries and requests in flight; beyond it no query is admitted. */
    static final String MAX_OPEN_FIELD = "limits.open";
    /** The maximum number of attempts at one part, including the first. */
    static final String MAX_ATTEMPTS_FIELD = "limits.attempts";

    private AgreedLimits() {}

    /** Returns the gatherer's own settings, lowered by the agreed rule. */
    static RoutingSettings lower(RoutingSettings own, EffectiveRule agreed) {
        return with(own, lower(own.limits().maxAttempts(), agreed.body(), MAX_ATTEMPTS_FIELD),
                lower(own.limits().maxInFlight(), agreed.body(), MAX_OPEN_FIELD));
    }

    /** Returns the settings with this limit of queries in flight; a limit below 1 becomes 1, which admits no query. */
    static RoutingSettings withMaxOpen(RoutingSettings settings, int maxOpen) {
        return with(settings, settings.limits().maxAttempts(), Math.max(1, maxOpen));
    }

    private static RoutingSettings with(RoutingSettings settings, int maxAttempts, int maxOpen) {
        PlatformLimits limits = settings.limits();
        return settings.withLimits(new PlatformLimits(limits.cancellation(), limits.parallelAttempts(),
                limits.healthChecks(), limits.gossip(), limits.retryAfter(), limits.maxRetryAfter(), maxAttempts,
                maxOpen, limits.maxBatch(), limits.connectTimeout()));
    }

    /** Returns the lower limit, at least 1: a gatherer that should admit nothing is drained instead. */
    private static int lower(int own, RuleBody agreed, String field) {
        return (int) Math.max(1, Math.min(own, agreed.amount(field, own)));
    }
}
