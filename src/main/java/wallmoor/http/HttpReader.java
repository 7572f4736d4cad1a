package wallmoor.http;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Reads HTTP/1.1 messages from a connection into one buffer. Heads and bodies are bounded, and so is the time that a
 * message may take once its first byte is in: on poor links half a message is ordinary, and none may hold a thread
 * for ever. One thread reads; a body is good until the next message is begun.
 */
public final class HttpReader {
    /** The longest body that is taken. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MOST_HEAD = 16 * 1024;
    private static final int MOST_HEADERS = 64;
    private static final int FIRST_SIZE = 2048;
    private static final int MOST_LINE = 1024;
    /** A body without a length lasts as long as its connection. */
    private static final int TO_THE_END = Integer.MAX_VALUE;

    /** How long a read waits for its first byte, for ever if 0. */
    private interface ReadTimeouts {
        void set(int millis) throws IOException;
    }

    private final ReadTimeouts patience;
    private final IncomingBytes feed;
    private final InputStream in;
    private byte[] buffer = new byte[FIRST_SIZE];
    private int at;
    private int end;
    /** When the first byte of the message at hand came, which may be while the one before was at work. */
    private long begunAt;
    /** When its reading began: the time that it may take to come in counts from here. */
    private long readSince;
    private long giveUpAt;
    /** When the bytes read last came, or sooner. */
    private long arrivedAt;
    private boolean chunked;
    private int chunkLeft;
    /** A chunk has been read, but not the line end behind it. */
    private boolean chunkBegun;
    /** What is left of a body that is read in parts and has a length. */
    private int bodyLeft;
    private int mostBody = MAX_BODY_BYTES;

    /** Reads from this connection. */
    public HttpReader(Socket socket) throws IOException {
        this.patience = socket::setSoTimeout;
        this.in = socket.getInputStream();
        this.feed = null;
    }

    /** Reads what is fed to a connection. */
    HttpReader(IncomingBytes feed) {
        this.patience = feed::timeout;
        this.in = feed;
        this.feed = feed;
    }

    /** Whether more has been read than was asked for: the beginning of another message. */
    boolean buffered() {
        return at < end;
    }

    /** Bodies of so many bytes are taken from here on, where the peer is trusted with more than
     * {@link #MAX_BODY_BYTES}. */
    public void setMaxBodyBytes(int most) {
        mostBody = most;
    }

    /** Waits for the first byte of the next message, for ever if 0; false if the peer closes instead. */
    public boolean await(int millis) throws IOException {
        if (at == end) {
            at = 0;
            end = 0;
            if (buffer.length > 8 * FIRST_SIZE) {
                buffer = new byte[FIRST_SIZE];
            }
            patience.set(millis);
            if (!more()) {
                return false;
            }
            readSince = arrivedAt;
        } else {
            readSince = System.nanoTime();
        }
        begunAt = arrivedAt;
        return true;
    }

    /** Reads a request whose first byte is in. */
    public HttpMessage request(int millis) throws IOException, HttpProtocolException {
        giveUpAt = readSince + TimeUnit.MILLISECONDS.toNanos(millis);
        String[] first = line(0, 414).split(" ", -1);
        if (first.length != 3 || first[0].isEmpty() || !first[1].startsWith("/") || !first[2].startsWith("HTTP/")) {
            throw new HttpProtocolException(400, "malformed request line");
        }
        if (!first[2].equals("HTTP/1.1") && !first[2].equals("HTTP/1.0")) {
            throw new HttpProtocolException(505, "HTTP/1.1 only");
        }
        List<String> headers = headers();
        return new HttpMessage(first[0], first[1], 0, headers, body(headers, false),
                keeps(headers, first[2]), begunAt);
    }

    /** Reads an answer: all of it, or only its head where the body is to be read in parts. */
    public HttpMessage answer(int millis, boolean withBody) throws IOException, HttpProtocolException {
        giveUpAt = readSince + TimeUnit.MILLISECONDS.toNanos(millis);
        String first = line(0, 400);
        if (!isStatus(first)) {
            throw new HttpProtocolException(400, "malformed status line");
        }
        int status = Integer.parseInt(first.substring(9, 12));
        List<String> headers = headers();
        if (!withBody) {
            int length = framing(headers);
            bodyLeft = length < 0 ? TO_THE_END : length;
        }
        boolean none = status == 204 || status == 304 || status < 200;
        boolean ends = !chunked(headers) && HttpMessage.find(headers, "Content-Length") == null && !none;
        return new HttpMessage("", "", status, headers, withBody && !none ? body(headers, true) : ByteSlice.EMPTY,
                !ends && keeps(headers, first.substring(0, 8)), begunAt);
    }

    /**
     * The next bytes of the body of an answer whose head alone was read, as many as are in; null where the body ends.
     * They are good until the next call.
     */
    public ByteSlice bodyPart(int millis) throws IOException, HttpProtocolException {
        giveUpAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        if (chunked && chunkLeft == 0) {
            if (chunkBegun) { // only now: what is in must not wait for the line end behind it
                chunkEnd();
            }
            chunkBegun = nextChunk();
        }
        if (chunked ? chunkLeft == 0 : bodyLeft == 0) {
            return null;
        }
        if (at == end) {
            at = 0;
            end = 0;
            fill();
        }
        int length = Math.min(end - at, chunked ? chunkLeft : bodyLeft);
        chunkLeft -= chunked ? length : 0;
        bodyLeft -= chunked || bodyLeft == TO_THE_END ? 0 : length;
        at += length;
        return new ByteSlice(buffer, at - length, length);
    }

    private ByteSlice body(List<String> headers, boolean answer) throws IOException, HttpProtocolException {
        int length = framing(headers);
        if (chunked) {
            return chunks();
        }
        if (length < 0 && !answer) {
            return ByteSlice.EMPTY;
        }
        if (length < 0) {
            return untilClosed();
        }
        reserve(length);
        while (end - at < length) {
            fill();
        }
        at += length;
        return new ByteSlice(buffer, at - length, length);
    }

    /** The length that the head gives, or -1; two that differ, or both kinds at once, hide a second message. */
    private int framing(List<String> headers) throws HttpProtocolException {
        int length = -1;
        chunked = false;
        chunkBegun = false;
        chunkLeft = 0;
        for (int i = 0; i < headers.size(); i += 2) {
            String value = headers.get(i + 1);
            if (headers.get(i).equalsIgnoreCase("Transfer-Encoding")) {
                if (!value.equalsIgnoreCase("chunked") || chunked) {
                    throw new HttpProtocolException(501, "unknown transfer coding");
                }
                chunked = true;
            } else if (headers.get(i).equalsIgnoreCase("Content-Length")) {
                if (value.length() > 18 || !only("0123456789", value)) {
                    throw new HttpProtocolException(400, "malformed Content-Length");
                }
                long given = Long.parseLong(value);
                if (given > mostBody) {
                    throw new HttpProtocolException(413, "body too large");
                }
                if (length >= 0 && length != given) {
                    throw new HttpProtocolException(400, "two lengths");
                }
                length = (int) given;
            }
        }
        if (chunked && length >= 0) {
            throw new HttpProtocolException(400, "both a length and chunks");
        }
        return length;
    }

    private ByteSlice chunks() throws IOException, HttpProtocolException {
        byte[] body = new byte[1024];
        int length = 0;
        while (nextChunk()) {
            if (length + chunkLeft > mostBody) {
                throw new HttpProtocolException(413, "body too large");
            }
            if (length + chunkLeft > body.length) {
                body = Arrays.copyOf(body, Math.max(2 * body.length, length + chunkLeft));
            }
            while (chunkLeft > 0) {
                if (at == end) {
                    fill();
                }
                int n = Math.min(chunkLeft, end - at);
                System.arraycopy(buffer, at, body, length, n);
                at += n;
                length += n;
                chunkLeft -= n;
            }
            chunkEnd();
        }
        return new ByteSlice(body, 0, length);
    }

    /** Reads the size of the next chunk; false at the last one, after its trailers. */
    private boolean nextChunk() throws IOException, HttpProtocolException {
        String size = line(MOST_LINE, 400).split(";", 2)[0].trim();
        if (size.length() > 7 || !only("0123456789abcdefABCDEF", size)) {
            throw new HttpProtocolException(400, "malformed chunk size");
        }
        chunkLeft = Integer.parseInt(size, 16);
        if (chunkLeft == 0) {
            headers();
        }
        return chunkLeft > 0;
    }

    private void chunkEnd() throws IOException, HttpProtocolException {
        if (!line(MOST_LINE, 400).isEmpty()) {
            throw new HttpProtocolException(400, "malformed chunk");
        }
    }

    private ByteSlice untilClosed() throws IOException, HttpProtocolException {
        try {
            while (true) {
                if (end - at > mostBody) {
                    throw new HttpProtocolException(413, "body too large");
                }
                fill(); // may move what is in; it still begins at 'at'
            }
        } catch (EOFException e) {
            int from = at;
            at = end;
            return new ByteSlice(buffer, from, end - from);
        }
    }

    private List<String> headers() throws IOException, HttpProtocolException {
        var headers = new ArrayList<String>();
        int left = MOST_HEAD;
        for (String line = line(left, 431); !line.isEmpty(); line = line(left, 431)) {
            left -= line.length() + 2;
            int colon = line.indexOf(':');
            if (colon < 1 || !plain(line, colon)) {
                throw new HttpProtocolException(400, "malformed header");
            }
            if (headers.size() >= 2 * MOST_HEADERS || left <= 0) {
                throw new HttpProtocolException(431, "head too large");
            }
            headers.add(line.substring(0, colon));
            headers.add(line.substring(colon + 1).trim());
        }
        return headers;
    }

    /** Names have only visible characters, values no control characters: others read such a head in another way. */
    private static boolean plain(String line, int colon) {
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            if ((c < ' ' && c != '\t') || c == 127 || (i < colon && (c <= ' ' || c > 126))) {
                return false;
            }
        }
        return true;
    }

    /** A line up to its end, of at most so many bytes; 0 for as long as a head may be. */
    private String line(int most, int tooLong) throws IOException, HttpProtocolException {
        int longest = most == 0 ? MOST_HEAD : most;
        for (int i = 0;; i++) {
            if (i > longest) {
                throw new HttpProtocolException(tooLong, "line too long");
            }
            if (at + i == end) {
                fill(); // may move the line; it still begins at 'at'
            }
            if (buffer[at + i] == '\n') {
                int length = i > 0 && buffer[at + i - 1] == '\r' ? i - 1 : i;
                String line = new String(buffer, at, length, StandardCharsets.ISO_8859_1);
                at += i + 1;
                return line;
            }
        }
    }

    /** {@code HTTP/1.0} or {@code 1.1}, a status of 100 to 599, and what stands behind a space, if anything. */
    private static boolean isStatus(String line) {
        return (line.startsWith("HTTP/1.0 ") || line.startsWith("HTTP/1.1 ")) && line.length() >= 12
                && line.charAt(9) >= '1' && line.charAt(9) <= '5' && only("0123456789", line.substring(10, 12))
                && (line.length() == 12 || line.charAt(12) == ' ') && line.indexOf('\r') < 0
                && line.indexOf('\u0085') < 0;
    }

    /** Whether there is something, of these signs alone; a pattern would be made anew for each message. */
    private static boolean only(String signs, String text) {
        for (int i = 0; i < text.length(); i++) {
            if (signs.indexOf(text.charAt(i)) < 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private static boolean chunked(List<String> headers) {
        return HttpMessage.find(headers, "Transfer-Encoding") != null;
    }

    private static boolean keeps(List<String> headers, String version) {
        String connection = HttpMessage.find(headers, "Connection");
        List<String> said = connection == null ? List.of()
                : List.of(connection.toLowerCase(Locale.ROOT).split("[ ,]+"));
        return version.equals("HTTP/1.1") ? !said.contains("close") : said.contains("keep-alive");
    }

    /** Makes room for so many bytes in one piece from here on. */
    private void reserve(int length) {
        if (at + length > buffer.length) {
            buffer = Arrays.copyOfRange(buffer, at, at + length + FIRST_SIZE);
            end -= at;
            at = 0;
        }
    }

    private void fill() throws IOException, HttpProtocolException {
        if (end == buffer.length) {
            reserve(2 * (end - at) + 1);
        }
        long left = TimeUnit.NANOSECONDS.toMillis(giveUpAt - System.nanoTime());
        try {
            if (left <= 0) {
                throw new SocketTimeoutException();
            }
            patience.set((int) left);
            if (!more()) {
                throw new EOFException("closed within a message");
            }
        } catch (SocketTimeoutException e) {
            throw new HttpProtocolException(408, "half a message, then silence");
        }
    }

    private boolean more() throws IOException {
        long waitedSince = feed != null && feed.waiting() > 0 ? feed.arrivedAt() : 0;
        int n = in.read(buffer, end, buffer.length - end);
        end += Math.max(0, n);
        arrivedAt = waitedSince != 0 ? waitedSince : System.nanoTime();
        return n > 0;
    }
}
