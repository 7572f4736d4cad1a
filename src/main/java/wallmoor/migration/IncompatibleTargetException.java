package wallmoor.migration;

/** A new placement target lacks nodes that the present plan cannot do without. The message names them. */
public final class IncompatibleTargetException extends Exception {
    private static final long serialVersionUID = 1L;

    IncompatibleTargetException(String message) {
        super(message);
    }
}
