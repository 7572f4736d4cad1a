package wallmoor.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import wallmoor.json.Json;

/** A gatherer's control port on this machine: a line asks, JSON objects answer, one a line, and the connection ends. */
final class ControlClient {
    /** Longer than a gatherer on this machine takes to accept, however busy it is. */
    private static final int CONNECT_MILLIS = 5_000;

    private ControlClient() {}

    /** Asks; waits so long for each piece of the answer, and takes so many bytes of it at most. */
    static String ask(InetSocketAddress at, String line, long millis, int most) throws IOException {
        try (var socket = new Socket()) {
            socket.connect(at, CONNECT_MILLIS);
            socket.setSoTimeout((int) millis);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            byte[] answer = socket.getInputStream().readNBytes(most);
            if (answer.length == 0) {
                throw new IOException("it did not answer");
            }
            return new String(answer, StandardCharsets.UTF_8);
        }
    }

    static Json.Obj object(String line) throws Json.Malformed {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        return Json.object(bytes, 0, bytes.length);
    }

    /** An object's values in their order, each after its name; those of an object in it as well. */
    static String text(Json.Obj object) {
        var text = new StringBuilder();
        object.members().forEach((name, value) -> text.append(text.isEmpty() ? "" : "  ").append(name).append(' ')
                .append(plain(value)));
        return text.toString();
    }

    /** A value for people: whole numbers without a point. */
    static String plain(Object value) {
        return value instanceof Json.Obj inner ? text(inner)
                : value instanceof Double d && d == Math.rint(d) ? String.valueOf(d.longValue())
                        : String.valueOf(value);
    }
}
