package wallmoor.net;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** An HTTP client on a raw socket, with which a test can send requests that no HTTP library would send. */
final class Client implements AutoCloseable {
    /** An HTTP response. {@code head} is the status line and the headers. */
    static final class Answer {
        int status;
        String head;
        String body;

        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return null;
        }
    }

    final Socket socket;

    Client(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(15_000);
        socket.setTcpNoDelay(true);
    }

    static Answer get(int port, String target) throws IOException {
        try (var client = new Client(port)) {
            return client.send("GET " + target + " HTTP/1.1\r\nHost: localhost\r\n\r\n").answer();
        }
    }

    static Answer post(int port, String id, String queryClass, int millis, int... shards) throws IOException {
        try (var client = new Client(port)) {
            return client.send(query(id, queryClass, millis, shards)).answer();
        }
    }

    static String query(String id, String queryClass, int millis, int... shards) {
        String body = body(shards);
        return "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: " + id + "\r\nX-Class: " + queryClass
                + "\r\nX-Deadline: " + millis + "m\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String body(int... shards) {
        var parts = new StringBuilder();
        for (int s : shards) {
            parts.append(parts.length() == 0 ? "" : ",").append("{\"shard\":" + s + ",\"weight\":"
                    + 1.0 / shards.length + "}");
        }
        return "{\"shards\":[" + parts + "],\"q\":\"c41e77d0\"}";
    }

    Client send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    Answer answer() throws IOException {
        InputStream in = socket.getInputStream();
        var answer = new Answer();
        answer.head = head(in);
        answer.status = Integer.parseInt(answer.head.split(" ")[1]);
        int length = Integer.parseInt(answer.header("Content-Length"));
        answer.body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        if (answer.body.getBytes(StandardCharsets.UTF_8).length < length) {
            throw new EOFException("connection closed before all " + length + " bytes of the body were received");
        }
        return answer;
    }

    /** Reads the status line and the headers, up to and including the empty line. */
    static String head(InputStream in) throws IOException {
        var head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int c = in.read();
            if (c < 0) {
                throw new EOFException("connection closed after " + head.size() + " bytes of the head");
            }
            head.write(c);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
