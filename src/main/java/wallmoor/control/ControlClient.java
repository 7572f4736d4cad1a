package wallmoor.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import wallmoor.json.Json;

/** Sends requests to the control port of a gatherer on this machine. */
public final class ControlClient {
    /** Longer than a busy gatherer on this machine takes to accept. */
    private static final int CONNECT_TIMEOUT_MILLIS = 5_000;

    private ControlClient() {}

    /**
     * Sends one request and returns the response.
     *
     * @param readTimeoutMillis the timeout of each read
     * @param maxBytes          the size limit of the response; the rest is cut off
     * @throws IOException if nothing listens at the address, or no response arrives
     */
    public static String ask(InetSocketAddress address, String request, long readTimeoutMillis, int maxBytes)
            throws IOException {
        try (var socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            socket.setSoTimeout((int) readTimeoutMillis);
            socket.getOutputStream().write((request + "\n").getBytes(StandardCharsets.UTF_8));
            byte[] response = socket.getInputStream().readNBytes(maxBytes);
            if (response.length == 0) {
                throw new IOException("no response from control port " + address);
            }
            return new String(response, StandardCharsets.UTF_8);
        }
    }

    /** Parses one line of a response. */
    public static Json.Obj parse(String line) throws Json.Malformed {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        return Json.object(bytes, 0, bytes.length);
    }
}
