package wallmoor.ogc;

import java.io.IOException;

/** The gatherer cancelled the attempt, and its connection is closed. */
final class AttemptCancelledException extends IOException {
    private static final long serialVersionUID = 1L;

    AttemptCancelledException() {
        super("called off");
    }
}
