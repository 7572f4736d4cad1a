package wallmoor.endpoints;

/**
 * The tuning parameters of {@link FlapDamping}. Times are microseconds.
 *
 * @param firstMicros          the first suppression of an endpoint that flaps: its second return within
 *                             {@code quietMicros} has it
 * @param maxMicros            no suppression of an endpoint that flaps is longer
 * @param quietMicros          after this time without a removal, earlier ones are forgotten
 * @param minFailures          this many consecutive connections must have failed before an address counts as
 *                             unreachable
 * @param minFailingMicros     and this is the least time that these failures must span
 * @param maxUnreachableMicros no suppression of an unreachable address is longer: then it is tried again
 */
public record DampingParameters(long firstMicros, long maxMicros, long quietMicros, int minFailures,
        long minFailingMicros, long maxUnreachableMicros) {
    /** Starting values; the operators' page gives their reasons. */
    public static final DampingParameters DEFAULTS = new DampingParameters(5_000_000, 300_000_000, 600_000_000, 3,
            2_000_000, 30_000_000);

    /** Checks the bounds. */
    public DampingParameters {
        boolean flapping = firstMicros > 0 && maxMicros >= firstMicros && quietMicros > 0;
        boolean unreachable = minFailures >= 1 && minFailingMicros >= 0 && maxUnreachableMicros >= firstMicros;
        if (!flapping || !unreachable) {
            throw new IllegalArgumentException("damping parameters are out of bounds");
        }
    }
}
