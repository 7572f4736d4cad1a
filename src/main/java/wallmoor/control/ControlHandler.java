package wallmoor.control;

import java.io.IOException;
import java.io.OutputStream;

/** Handles the requests of one control port. */
@FunctionalInterface
public interface ControlHandler {
    /**
     * Writes the response to one request; the connection is closed after this returns.
     *
     * @param request  the request line with its line end
     * @param response receives the response; must not be closed
     * @throws IOException if the requester has disconnected or the request is invalid; no further response is sent
     */
    void handle(byte[] request, OutputStream response) throws IOException, InterruptedException;
}
