package wallmoor.discovery;

import java.io.IOException;

/**
 * Thrown for a message of discovery that is not a valid endpoint list or delta. The full list must be requested next.
 */
final class MalformedEndpointListException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedEndpointListException(String message) {
        super(message);
    }
}
