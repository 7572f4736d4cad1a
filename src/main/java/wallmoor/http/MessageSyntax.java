package wallmoor.http;

import java.util.List;
import java.util.Locale;

/** The syntax of HTTP/1.1 messages and the limits on their size, for {@link HttpReader} and {@link RequestScanner}. */
final class MessageSyntax {
    static final int MAX_HEAD_BYTES = 16 * 1024;
    static final int MAX_HEADERS = 64;
    static final int MAX_CHUNK_LINE_BYTES = 1024;
    private static final String DIGITS = "0123456789";
    private static final String HEX_DIGITS = "0123456789abcdefABCDEF";
    private static final int MAX_LENGTH_DIGITS = 18;
    private static final int MAX_CHUNK_SIZE_DIGITS = 7;

    private MessageSyntax() {}

    /**
     * How the end of a body is found.
     *
     * @param length  the length given by the head; -1 if it gives none
     * @param chunked whether the body is sent in chunks
     */
    record BodyFraming(int length, boolean chunked) {}

    /** Splits a request line into method, target and version. */
    static String[] parseRequestLine(String line) throws HttpProtocolException {
        String[] fields = line.split(" ", -1);
        if (fields.length != 3 || fields[0].isEmpty() || !fields[1].startsWith("/") || !fields[2].startsWith("HTTP/")) {
            throw new HttpProtocolException(400, "malformed request line");
        }
        if (!fields[2].equals("HTTP/1.1") && !fields[2].equals("HTTP/1.0")) {
            throw new HttpProtocolException(505, "HTTP/1.1 only");
        }
        return fields;
    }

    /** Returns the status of a status line: {@code HTTP/1.0} or {@code 1.1}, 100 to 599 and an optional reason. */
    static int parseStatus(String line) throws HttpProtocolException {
        boolean isValid = (line.startsWith("HTTP/1.0 ") || line.startsWith("HTTP/1.1 ")) && line.length() >= 12
                && line.charAt(9) >= '1' && line.charAt(9) <= '5'
                && containsOnly(DIGITS, line.substring(10, 12))
                && (line.length() == 12 || line.charAt(12) == ' ') && line.indexOf('\r') < 0
                && line.indexOf('\u0085') < 0;
        if (!isValid) {
            throw new HttpProtocolException(400, "malformed status line");
        }
        return Integer.parseInt(line.substring(9, 12));
    }

    /**
     * Returns whether the connection stays open after a message.
     *
     * @param headers names and values in turn
     */
    static boolean isKeepAlive(List<String> headers, String version) {
        String connection = HttpMessage.find(headers, "Connection");
        List<String> options = connection == null ? List.of()
                : List.of(connection.toLowerCase(Locale.ROOT).split("[ ,]+"));
        return version.equals("HTTP/1.1") ? !options.contains("close") : options.contains("keep-alive");
    }

    /**
     * Checks a header line. The name may have only visible characters and the value no control characters; other
     * implementations would parse such a head differently.
     *
     * @param headersBefore  the number of header lines before this one
     * @param remainingBytes the bytes of the head that the line leaves
     * @return the index of the colon behind the name
     */
    static int checkHeaderLine(String line, int headersBefore, int remainingBytes) throws HttpProtocolException {
        int colon = line.indexOf(':');
        if (colon < 1 || !isValidHeaderLine(line, colon)) {
            throw new HttpProtocolException(400, "malformed header");
        }
        if (headersBefore >= MAX_HEADERS || remainingBytes <= 0) {
            throw new HttpProtocolException(431, "head too large");
        }
        return colon;
    }

    private static boolean isValidHeaderLine(String line, int colon) {
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            if ((c < ' ' && c != '\t') || c == 127 || (i < colon && (c <= ' ' || c > 126))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the framing that a head gives. Rejects two different lengths, and a length together with chunks: peers
     * that interpret them differently could be made to see a second message.
     *
     * @param headers names and values in turn
     */
    static BodyFraming parseFraming(List<String> headers, int maxBodyBytes) throws HttpProtocolException {
        int length = -1;
        boolean chunked = false;
        for (int i = 0; i < headers.size(); i += 2) {
            String value = headers.get(i + 1);
            if (headers.get(i).equalsIgnoreCase("Transfer-Encoding")) {
                if (!value.equalsIgnoreCase("chunked") || chunked) {
                    throw new HttpProtocolException(501, "unknown transfer coding");
                }
                chunked = true;
            } else if (headers.get(i).equalsIgnoreCase("Content-Length")) {
                int declaredLength = parseLength(value, maxBodyBytes);
                if (length >= 0 && length != declaredLength) {
                    throw new HttpProtocolException(400, "two lengths");
                }
                length = declaredLength;
            }
        }
        if (chunked && length >= 0) {
            throw new HttpProtocolException(400, "both a length and chunks");
        }
        return new BodyFraming(length, chunked);
    }

    private static int parseLength(String value, int maxBodyBytes) throws HttpProtocolException {
        if (value.length() > MAX_LENGTH_DIGITS || !containsOnly(DIGITS, value)) {
            throw new HttpProtocolException(400, "malformed Content-Length");
        }
        long length = Long.parseLong(value);
        if (length > maxBodyBytes) {
            throw new HttpProtocolException(413, "body too large");
        }
        return (int) length;
    }

    /** Returns the size of a chunk from the line before it. */
    static int parseChunkSize(String line) throws HttpProtocolException {
        String size = line.split(";", 2)[0].trim();
        if (size.length() > MAX_CHUNK_SIZE_DIGITS || !containsOnly(HEX_DIGITS, size)) {
            throw new HttpProtocolException(400, "malformed chunk size");
        }
        return Integer.parseInt(size, 16);
    }

    /** Returns whether a text is not empty and has only these characters. Avoids a regular expression per message. */
    static boolean containsOnly(String allowed, String text) {
        for (int i = 0; i < text.length(); i++) {
            if (allowed.indexOf(text.charAt(i)) < 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }
}
