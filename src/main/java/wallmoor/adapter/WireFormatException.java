package wallmoor.adapter;

/** A line that can't be read. Its message names the line and the field. */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(String message) {
        super(message);
    }
}
