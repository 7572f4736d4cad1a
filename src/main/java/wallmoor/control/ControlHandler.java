package wallmoor.control;

import java.io.IOException;
import java.io.OutputStream;

/** Answers the requests of one control port. */
@FunctionalInterface
public interface ControlHandler {
    /**
     * Answers one request; the connection is closed once this returns.
     *
     * @param request  the line that asks, with its line end
     * @param response where the answer goes; not to be closed
     * @throws IOException where the requester has gone, or asks what can't be read: it gets no further answer
     */
    void handle(byte[] request, OutputStream response) throws IOException, InterruptedException;
}
