package wallmoor.migration;

/** Thrown when a new placement target lacks nodes that the present plan requires. The message names them. */
public final class IncompatibleTargetException extends Exception {
    private static final long serialVersionUID = 1L;

    IncompatibleTargetException(String message) {
        super(message);
    }
}
