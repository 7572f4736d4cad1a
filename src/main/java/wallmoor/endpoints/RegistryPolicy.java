package wallmoor.endpoints;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The tuning parameters of an {@link EndpointRegistry}. Times are in microseconds.
 *
 * @param sources             the sources' policies by rank, the one whose claims take precedence first
 * @param removalWindowMicros the time within which at most a share of a source's endpoints is removed on its claim
 * @param confirmations       how many snapshots in a row must lack an endpoint before it is removed, where a snapshot
 *                            lacks more endpoints than may be removed at once
 * @param drainMicros         how long an endpoint drains before it is gone; longer than any query's deadline
 * @param tombstoneMicros     how long a tombstone is retained after the last lower-ranked source stopped naming the
 *                            endpoint
 * @param damping             the parameters by which endpoints that flap or can't be reached are suppressed
 */
public record RegistryPolicy(List<SourcePolicy> sources, long removalWindowMicros, int confirmations, long drainMicros,
        long tombstoneMicros, DampingParameters damping) {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long DEFAULT_REMOVAL_WINDOW_MICROS = 10 * SECOND_MICROS;
    private static final int DEFAULT_CONFIRMATIONS = 3;
    private static final long DEFAULT_DRAIN_MICROS = 10 * SECOND_MICROS;
    private static final long DEFAULT_TOMBSTONE_MICROS = 600 * SECOND_MICROS;

    /** Returns the default policy for these sources; the operators' page gives the reasons for its values. */
    public static RegistryPolicy of(List<SourcePolicy> sources) {
        return new RegistryPolicy(List.copyOf(sources), DEFAULT_REMOVAL_WINDOW_MICROS, DEFAULT_CONFIRMATIONS,
                DEFAULT_DRAIN_MICROS, DEFAULT_TOMBSTONE_MICROS, DampingParameters.DEFAULTS);
    }

    /** Checks the bounds. */
    public RegistryPolicy {
        if (removalWindowMicros <= 0 || confirmations < 1 || drainMicros < 0 || tombstoneMicros < 0
                || sources.isEmpty() || hasDuplicateNames(sources)) {
            throw new IllegalArgumentException("registry policy out of bounds: removalWindowMicros="
                    + removalWindowMicros + " (above 0), confirmations=" + confirmations + " (at least 1), drainMicros="
                    + drainMicros + " (at least 0), tombstoneMicros=" + tombstoneMicros
                    + " (at least 0), sources=" + sources
                    + " (at least one, each name once)");
        }
    }

    private static boolean hasDuplicateNames(List<SourcePolicy> sources) {
        Set<String> names = new HashSet<>();
        for (SourcePolicy source : sources) {
            if (!names.add(source.name())) {
                return true;
            }
        }
        return false;
    }
}
