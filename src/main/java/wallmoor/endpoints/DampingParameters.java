package wallmoor.endpoints;

/**
 * The tuning parameters of {@link FlapDamping}. Times are in microseconds.
 *
 * @param firstMicros          the first suppression of a flapping endpoint, which starts at its second return within
 *                             {@code quietMicros}
 * @param maxMicros            the longest suppression of a flapping endpoint
 * @param quietMicros          the time without a removal after which earlier removals are forgotten
 * @param minFailures          how many consecutive connection attempts must fail before an address counts as
 *                             unreachable
 * @param minFailingMicros     the shortest time that these failures must span
 * @param maxUnreachableMicros the longest suppression of an unreachable address, after which it is tried again
 */
public record DampingParameters(long firstMicros, long maxMicros, long quietMicros, int minFailures,
        long minFailingMicros, long maxUnreachableMicros) {
    /** The default parameters; the operators' page gives the reasons. */
    public static final DampingParameters DEFAULTS = new DampingParameters(5_000_000, 300_000_000, 600_000_000, 3,
            2_000_000, 30_000_000);

    /** Checks the bounds. */
    public DampingParameters {
        boolean isFlappingValid = firstMicros > 0 && maxMicros >= firstMicros && quietMicros > 0;
        boolean isUnreachableValid = minFailures >= 1 && minFailingMicros >= 0 && maxUnreachableMicros >= firstMicros;
        if (!isFlappingValid || !isUnreachableValid) {
            throw new IllegalArgumentException("damping parameters out of bounds: firstMicros=" + firstMicros
                    + " (above 0), maxMicros=" + maxMicros + " (at least firstMicros), quietMicros=" + quietMicros
                    + " (above 0), minFailures=" + minFailures + " (at least 1), minFailingMicros=" + minFailingMicros
                    + " (at least 0), maxUnreachableMicros=" + maxUnreachableMicros + " (at least firstMicros)");
        }
    }
}
