package wallmoor.service;

import wallmoor.decision.RouterApi.Limits;
import wallmoor.decision.RouterApi.Settings;
import wallmoor.versions.Act;
import wallmoor.versions.Body;

/**
 * What this gatherer takes from the agreed {@code settings}: bounds that lower those of its own file and never raise
 * them. That an agreed bound goes down at once and up only by agreement is what the {@link Act} brings; here it is only
 * read.
 */
final class AgreedLimits {
    /** Queries and requests held at once; below it nothing more is taken in. */
    static final String OPEN = "limits.open";
    /** Tries of one part, the first included. */
    static final String ATTEMPTS = "limits.attempts";

    private AgreedLimits() {}

    /** The gatherer's own settings, lowered to what is agreed. */
    static Settings of(Settings own, Act agreed) {
        return with(own, lower(own.limits().maxAttempts(), agreed.body(), ATTEMPTS),
                lower(own.limits().maxOpen(), agreed.body(), OPEN));
    }

    /** The same for a process that holds so much; of one that may hold nothing the bound is 1, and no query fits. */
    static Settings holding(Settings whole, int maxOpen) {
        return with(whole, whole.limits().maxAttempts(), Math.max(1, maxOpen));
    }

    private static Settings with(Settings s, int maxAttempts, int maxOpen) {
        Limits l = s.limits();
        return s.withLimits(new Limits(l.cancelling(), l.parallelTries(), l.probes(), l.peers(), l.retryAfter(),
                l.maxRetryAfter(), maxAttempts, maxOpen, l.bundleMax(), l.connectTimeout()));
    }

    /** Never below one: a gatherer that takes nothing in is one that is told to leave. */
    private static int lower(int own, Body agreed, String field) {
        return (int) Math.max(1, Math.min(own, agreed.amount(field, own)));
    }
}
