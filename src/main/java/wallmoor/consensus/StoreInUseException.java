package wallmoor.consensus;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown when another process owns the directory of a voter's stored state. The message has the remedy. */
public final class StoreInUseException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for a directory. */
    public StoreInUseException(Path directory) {
        super("rules.directory " + directory + " is in use by another process: a voter can't be started beside the one"
                + " that runs; end that process first, or give each gatherer a directory of its own");
    }
}
