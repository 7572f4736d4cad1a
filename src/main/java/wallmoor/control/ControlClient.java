package wallmoor.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import wallmoor.json.Json;

/** Asks a gatherer on this machine at its control port. */
public final class ControlClient {
    /** Longer than a gatherer on this machine takes to accept, however busy it is. */
    private static final int CONNECT_TIMEOUT_MILLIS = 5_000;

    private ControlClient() {}

    /**
     * Sends one request; gives the answer's lines as they came.
     *
     * @param readTimeoutMillis for each piece of the answer
     * @param maxBytes          of the answer; what is beyond is cut off
     * @throws IOException where nobody listens, or no answer comes
     */
    public static String ask(InetSocketAddress address, String request, long readTimeoutMillis, int maxBytes)
            throws IOException {
        try (var socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            socket.setSoTimeout((int) readTimeoutMillis);
            socket.getOutputStream().write((request + "\n").getBytes(StandardCharsets.UTF_8));
            byte[] answer = socket.getInputStream().readNBytes(maxBytes);
            if (answer.length == 0) {
                throw new IOException("it did not answer");
            }
            return new String(answer, StandardCharsets.UTF_8);
        }
    }

    /** One line of an answer. */
    public static Json.Obj parse(String line) throws Json.Malformed {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        return Json.object(bytes, 0, bytes.length);
    }
}
