package wallmoor.discovery;

import java.io.IOException;

/** Discovery sent what is no list: nothing of it was taken, and the whole list is to be asked for. */
final class MalformedEndpointListException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedEndpointListException(String message) {
        super(message);
    }
}
