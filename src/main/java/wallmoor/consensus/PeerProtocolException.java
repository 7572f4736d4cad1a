package wallmoor.consensus;

import java.io.IOException;

/** Thrown when a peer violates the protocol; its connection is closed. */
final class PeerProtocolException extends IOException {
    private static final long serialVersionUID = 1L;

    PeerProtocolException(String message) {
        super(message);
    }

    PeerProtocolException(String message, Throwable cause) {
        super(message, cause);
    }
}
