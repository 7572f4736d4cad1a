package wallmoor.ogc;

/** Thrown when a feature that was parsed on receipt can't be parsed again, which is an internal error. */
final class MalformedFeatureException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFeatureException(Exception cause) {
        super("feature that was parsed on receipt can't be parsed again: " + cause.getMessage(), cause);
    }
}
