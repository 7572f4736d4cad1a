package wallmoor.maintenance;

/** A maintenance request lacks a part without which it means nothing. */
public final class InvalidRequestException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
        super(message);
    }
}
