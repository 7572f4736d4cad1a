package wallmoor.adapter;

/** Thrown when a line of the wire protocol is malformed. Its message names the line and the field. */
public final class WireFormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireFormatException(String message) {
        super(message);
    }
}
