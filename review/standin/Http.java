import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A client's connection: HTTP/1.1 over plain TCP, one request at a time. */
final class Http implements AutoCloseable {
    /** An answer; its time is that of its last byte. */
    record Response(int status, Map<String, String> headers, String body) {}

    private final Socket socket = new Socket();
    private final InputStream in;

    Http(int port) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
        socket.setTcpNoDelay(true);
        in = socket.getInputStream();
    }

    /** Sends a request and reads its answer. */
    Response request(String methodAndTarget, Map<String, String> headers, String body, int timeoutMillis)
            throws IOException {
        send(methodAndTarget, headers, body);
        return read(timeoutMillis);
    }

    /** Writes a request completely. */
    void send(String methodAndTarget, Map<String, String> headers, String body) throws IOException {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        var head = new StringBuilder(methodAndTarget).append(" HTTP/1.1\r\nHost: service.internal\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (!methodAndTarget.startsWith("GET")) {
            head.append("Content-Length: ").append(content.length).append("\r\n");
        }
        var message = new ByteArrayOutputStream();
        message.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        message.writeBytes(content);
        socket.getOutputStream().write(message.toByteArray());
        socket.getOutputStream().flush();
    }

    /** Reads an answer. Throws EOFException if the connection ends without a whole one. */
    Response read(int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        String[] status = line().split(" ", 3);
        var headers = new TreeMap<String, String>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            String[] header = line.split(":", 2);
            headers.put(header[0].toLowerCase(Locale.ROOT), header[1].trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended within an answer");
        }
        return new Response(Integer.parseInt(status[1]), headers, new String(body, StandardCharsets.UTF_8));
    }

    private String line() throws IOException {
        var bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the connection ended without an answer");
            }
            if (b != '\r') {
                bytes.write(b);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
