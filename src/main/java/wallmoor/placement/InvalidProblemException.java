package wallmoor.placement;

/** A placement problem has a value out of bounds, an id twice, or a name that refers to nothing. */
public final class InvalidProblemException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidProblemException(String message) {
        super(message);
    }
}
