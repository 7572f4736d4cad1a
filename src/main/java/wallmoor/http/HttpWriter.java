package wallmoor.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Writes HTTP/1.1 messages, each in a single write; a body has a {@code Content-Length}. */
public final class HttpWriter {
    private static final Map<Integer, String> REASON_PHRASES = Map.ofEntries(Map.entry(200, "OK"),
            Map.entry(202, "Accepted"), Map.entry(206, "Partial Content"), Map.entry(401, "Unauthorized"),
            Map.entry(409, "Conflict"), Map.entry(410, "Gone"), Map.entry(415, "Unsupported Media Type"),
            Map.entry(416, "Range Not Satisfiable"),
            Map.entry(400, "Bad Request"), Map.entry(404, "Not Found"), Map.entry(405, "Method Not Allowed"),
            Map.entry(406, "Not Acceptable"), Map.entry(408, "Request Timeout"),
            Map.entry(413, "Content Too Large"), Map.entry(414, "URI Too Long"),
            Map.entry(429, "Too Many Requests"), Map.entry(431, "Request Header Fields Too Large"),
            Map.entry(500, "Internal Server Error"), Map.entry(501, "Not Implemented"),
            Map.entry(502, "Bad Gateway"), Map.entry(503, "Service Unavailable"), Map.entry(504, "Gateway Timeout"),
            Map.entry(505, "HTTP Version Not Supported"));

    private HttpWriter() {}

    /** Encodes a response; {@code headers} are complete lines, each with its line end. */
    static byte[] response(int status, String headers, byte[] body, boolean withBody, boolean keepAlive) {
        String head = "HTTP/1.1 " + status + " " + REASON_PHRASES.getOrDefault(status, "Status") + "\r\n" + headers
                + "Content-Length: " + body.length + "\r\n" + (keepAlive ? "" : "Connection: close\r\n") + "\r\n";
        return concatenate(head, withBody ? body : ByteSlice.EMPTY.buffer());
    }

    /** Writes a request without a body. */
    public static void get(OutputStream out, String host, String target, String headers) throws IOException {
        out.write(concatenate("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers + "\r\n",
                ByteSlice.EMPTY.buffer()));
    }

    /** Writes a request with a JSON body. */
    public static void post(OutputStream out, String host, String target, byte[] json) throws IOException {
        out.write(concatenate("POST " + target + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + json.length + "\r\n\r\n", json));
    }

    private static byte[] concatenate(String head, byte[] body) {
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        return all;
    }
}
