package wallmoor.discovery;

import java.io.IOException;

/** Discovery sent something that is no endpoint list: nothing of it was applied, and the full list is to be polled. */
final class MalformedEndpointListException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedEndpointListException(String message) {
        super(message);
    }
}
