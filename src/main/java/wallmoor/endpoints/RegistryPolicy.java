package wallmoor.endpoints;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The tuning parameters of an {@link EndpointRegistry}. Times are microseconds.
 *
 * @param sources             by rank, from the one whose claim goes first to the one whose claim goes last
 * @param removalWindowMicros no more than a share of a source's endpoints is removed on its claim within this time
 * @param confirmations       this many consecutive good snapshots must lack an endpoint, where too many are lacking to
 *                            be believed at once
 * @param drainMicros         how long an endpoint drains before it is gone: more than the longest deadline
 * @param tombstoneMicros     how long the claim that an endpoint is gone is kept after the last lower source has ceased
 *                            to name it
 * @param damping             when endpoints that flap or can't be reached are suppressed
 */
public record RegistryPolicy(List<SourcePolicy> sources, long removalWindowMicros, int confirmations, long drainMicros,
        long tombstoneMicros, DampingParameters damping) {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long DEFAULT_REMOVAL_WINDOW_MICROS = 10 * SECOND_MICROS;
    private static final int DEFAULT_CONFIRMATIONS = 3;
    private static final long DEFAULT_DRAIN_MICROS = 10 * SECOND_MICROS;
    private static final long DEFAULT_TOMBSTONE_MICROS = 600 * SECOND_MICROS;

    /** Starting values for these sources; the operators' page gives their reasons. */
    public static RegistryPolicy of(List<SourcePolicy> sources) {
        return new RegistryPolicy(List.copyOf(sources), DEFAULT_REMOVAL_WINDOW_MICROS, DEFAULT_CONFIRMATIONS,
                DEFAULT_DRAIN_MICROS, DEFAULT_TOMBSTONE_MICROS, DampingParameters.DEFAULTS);
    }

    /** Checks the bounds. */
    public RegistryPolicy {
        if (removalWindowMicros <= 0 || confirmations < 1 || drainMicros < 0 || tombstoneMicros < 0
                || sources.isEmpty() || namesTwice(sources)) {
            throw new IllegalArgumentException("policy is out of bounds, or names a source twice");
        }
    }

    private static boolean namesTwice(List<SourcePolicy> sources) {
        Set<String> names = new HashSet<>();
        for (SourcePolicy source : sources) {
            if (!names.add(source.name())) {
                return true;
            }
        }
        return false;
    }
}
