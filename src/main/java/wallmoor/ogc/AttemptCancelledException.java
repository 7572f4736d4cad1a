package wallmoor.ogc;

import java.io.IOException;

/** Thrown when the gatherer has cancelled the attempt; its connection is closed then. */
final class AttemptCancelledException extends IOException {
    private static final long serialVersionUID = 1L;

    AttemptCancelledException() {
        super("attempt cancelled by the gatherer");
    }
}
