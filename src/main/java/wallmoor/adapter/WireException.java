package wallmoor.adapter;

/** A line that can't be read. Its message names the line and the field. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
