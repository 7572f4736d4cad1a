package wallmoor.endpoints;

/**
 * The tuning parameters of {@link FlapDamping}. Times are microseconds.
 *
 * @param first    the first suppression of an endpoint that flaps: its second return within {@code quiet} has it
 * @param most     no suppression of an endpoint that flaps is longer
 * @param quiet    after this time without a removal, earlier ones are forgotten
 * @param failures this many consecutive connections must have failed before an address counts as unreachable
 * @param failing  and this is the least time that these failures must span
 * @param mostDead no suppression of an unreachable address is longer: then it is tried again
 */
public record DampingParameters(long first, long most, long quiet, int failures, long failing, long mostDead) {
    /** Starting values; the operators' page gives their reasons. */
    public static final DampingParameters DEFAULTS = new DampingParameters(5_000_000, 300_000_000, 600_000_000, 3,
            2_000_000, 30_000_000);

    /** Checks the bounds. */
    public DampingParameters {
        if (first <= 0 || most < first || quiet <= 0 || failures < 1 || failing < 0 || mostDead < first) {
            throw new IllegalArgumentException("damping parameters are out of bounds");
        }
    }
}
