package wallmoor.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Writes HTTP/1.1 messages, each with its length and in one write. */
public final class HttpWriter {
    private static final Map<Integer, String> REASONS = Map.ofEntries(Map.entry(200, "OK"),
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

    /** An answer as it is sent; {@code headers} are whole lines, each with its end. */
    static byte[] bytes(int status, String headers, byte[] body, boolean withBody, boolean keep) {
        String head = "HTTP/1.1 " + status + " " + REASONS.getOrDefault(status, "Status") + "\r\n" + headers
                + "Content-Length: " + body.length + "\r\n" + (keep ? "" : "Connection: close\r\n") + "\r\n";
        return joined(head, withBody ? body : ByteSlice.EMPTY.buffer());
    }

    /** Writes a request without a body. */
    public static void get(OutputStream out, String host, String target, String headers) throws IOException {
        out.write(joined("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers + "\r\n",
                ByteSlice.EMPTY.buffer()));
    }

    /** Writes a request with a body of JSON. */
    public static void post(OutputStream out, String host, String target, byte[] json) throws IOException {
        out.write(joined("POST " + target + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + json.length + "\r\n\r\n", json));
    }

    private static byte[] joined(String head, byte[] body) {
        byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(first, first.length + body.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        return all;
    }
}
