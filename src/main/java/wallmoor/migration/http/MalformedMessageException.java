package wallmoor.migration.http;

import java.io.IOException;

/** Thrown when a request, response or replica record is not in the form that {@link MigrationCodec} writes. */
public final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
