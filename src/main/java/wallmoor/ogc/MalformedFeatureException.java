package wallmoor.ogc;

/** A feature that was read as JSON when it came in can't be read again: a fault of this program's. */
final class MalformedFeatureException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFeatureException(Exception cause) {
        super("a feature that was read before: " + cause.getMessage(), cause);
    }
}
