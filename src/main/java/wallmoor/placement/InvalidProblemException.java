package wallmoor.placement;

/** Thrown for a placement problem with a value out of range, a duplicate id, or a reference to an unknown node. */
public final class InvalidProblemException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidProblemException(String message) {
        super(message);
    }
}
