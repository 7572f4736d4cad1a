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
 * Reads HTTP/1.1 messages from a connection into one buffer. The sizes of heads and bodies are bounded, and so is the
 * time between the first and the last byte of a message, since partial messages are common on poor links and must not
 * occupy a thread for ever. Only one thread may read. A body is valid until the next message is read.
 */
public final class HttpReader {
    /** The default limit on the size of a body. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int INITIAL_BUFFER_BYTES = 2048;
    /** The remaining length of a body that ends with its connection. */
    private static final int UNTIL_CLOSE = Integer.MAX_VALUE;

    /** Sets the timeout of a read; 0 means no timeout. */
    private interface ReadTimeouts {
        void set(int millis) throws IOException;
    }

    private final ReadTimeouts timeoutSetter;
    private final IncomingBytes incoming;
    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int position;
    private int limit;
    /**
     * The arrival time of the first byte of the current message, which may be while the previous one was handled.
     */
    private long firstByteAt;
    /** The time at which reading of the current message began, from which its timeout counts. */
    private long readStartedAt;
    private long deadline;
    /** The arrival time of the bytes read last, or an earlier time. */
    private long arrivedAt;
    private boolean chunked;
    private int chunkRemaining;
    /** Whether a chunk has been read, but not the line end after it. */
    private boolean chunkEndPending;
    /** The remaining bytes of a body that is read in parts and has a length. */
    private int bodyRemaining;
    private int maxBodyBytes = MAX_BODY_BYTES;

    /** Creates a reader of a socket. */
    public HttpReader(Socket socket) throws IOException {
        this.timeoutSetter = socket::setSoTimeout;
        this.in = socket.getInputStream();
        this.incoming = null;
    }

    /** Creates a reader of the bytes that a selector receives on a connection. */
    HttpReader(IncomingBytes incoming) {
        this.timeoutSetter = incoming::setTimeoutMillis;
        this.in = incoming;
        this.incoming = incoming;
    }

    /** Sets the limit on the size of a body, for a peer that is trusted with more than {@link #MAX_BODY_BYTES}. */
    public void setMaxBodyBytes(int maxBytes) {
        maxBodyBytes = maxBytes;
    }

    /** Frees a large buffer if all that was read has been consumed. The last message's body is invalid after this. */
    public void shrinkEmptyBuffer() {
        if (position == limit) {
            position = 0;
            limit = 0;
            if (buffer.length > 8 * INITIAL_BUFFER_BYTES) {
                buffer = new byte[INITIAL_BUFFER_BYTES];
            }
        }
    }

    /**
     * Waits for the first byte of the next message.
     *
     * @param millis the timeout; 0 means no timeout
     * @return false if the peer closes the connection instead
     */
    public boolean await(int millis) throws IOException {
        if (position == limit) {
            shrinkEmptyBuffer();
            timeoutSetter.set(millis);
            if (!readMore()) {
                return false;
            }
            readStartedAt = arrivedAt;
        } else {
            readStartedAt = System.nanoTime();
        }
        firstByteAt = arrivedAt;
        return true;
    }

    /**
     * Reads a request after {@link #await} has returned true.
     *
     * @param millis the time within which the rest of the request has to be received
     */
    public HttpMessage request(int millis) throws IOException, HttpProtocolException {
        deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        String[] requestLine = MessageSyntax.parseRequestLine(readLine(0, 414));
        List<String> headers = readHeaders();
        return new HttpMessage(requestLine[0], requestLine[1], 0, headers, readBody(headers, false),
                isKeepAlive(headers, requestLine[2]), firstByteAt);
    }

    /**
     * Reads a response.
     *
     * @param millis   the time within which it has to be received
     * @param withBody whether to read the body, too; otherwise {@link #bodyPart} reads it in parts
     */
    public HttpMessage answer(int millis, boolean withBody) throws IOException, HttpProtocolException {
        deadline = readStartedAt + TimeUnit.MILLISECONDS.toNanos(millis);
        String statusLine = readLine(0, 400);
        if (!isStatusLine(statusLine)) {
            throw new HttpProtocolException(400, "malformed status line");
        }
        int status = Integer.parseInt(statusLine.substring(9, 12));
        List<String> headers = readHeaders();
        if (!withBody) {
            int length = parseFraming(headers);
            bodyRemaining = length < 0 ? UNTIL_CLOSE : length;
        }
        boolean hasNoBody = status == 204 || status == 304 || status < 200;
        boolean endsWithConnection = !hasTransferEncoding(headers)
                && HttpMessage.find(headers, "Content-Length") == null && !hasNoBody;
        return new HttpMessage("", "", status, headers,
                withBody && !hasNoBody ? readBody(headers, true) : ByteSlice.EMPTY,
                !endsWithConnection && isKeepAlive(headers, statusLine.substring(0, 8)), firstByteAt);
    }

    /**
     * Returns the available bytes of the body of a response of which only the head was read, or null at the end of the
     * body. They are valid until the next call.
     *
     * @param millis the time within which at least one byte has to be received
     */
    public ByteSlice bodyPart(int millis) throws IOException, HttpProtocolException {
        deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        if (chunked && chunkRemaining == 0) {
            if (chunkEndPending) { // deferred, so that received bytes are returned before it arrives
                readChunkEnd();
            }
            chunkEndPending = nextChunk();
        }
        if (chunked ? chunkRemaining == 0 : bodyRemaining == 0) {
            return null;
        }
        if (position == limit) {
            position = 0;
            limit = 0;
            fill();
        }
        int length = Math.min(limit - position, chunked ? chunkRemaining : bodyRemaining);
        chunkRemaining -= chunked ? length : 0;
        bodyRemaining -= chunked || bodyRemaining == UNTIL_CLOSE ? 0 : length;
        position += length;
        return new ByteSlice(buffer, position - length, length);
    }

    private ByteSlice readBody(List<String> headers, boolean isResponse) throws IOException, HttpProtocolException {
        int length = parseFraming(headers);
        if (chunked) {
            return readChunkedBody();
        }
        if (length < 0 && !isResponse) {
            return ByteSlice.EMPTY;
        }
        if (length < 0) {
            return readBodyUntilClose();
        }
        ensureCapacity(length);
        while (limit - position < length) {
            fill();
        }
        position += length;
        return new ByteSlice(buffer, position - length, length);
    }

    /** Returns the length given by the head, or -1, and sets {@link #chunked}. */
    private int parseFraming(List<String> headers) throws HttpProtocolException {
        chunkEndPending = false;
        chunkRemaining = 0;
        MessageSyntax.BodyFraming framing = MessageSyntax.parseFraming(headers, maxBodyBytes);
        chunked = framing.chunked();
        return framing.length();
    }

    private ByteSlice readChunkedBody() throws IOException, HttpProtocolException {
        byte[] body = new byte[1024];
        int length = 0;
        while (nextChunk()) {
            if (length + chunkRemaining > maxBodyBytes) {
                throw new HttpProtocolException(413, "body too large");
            }
            if (length + chunkRemaining > body.length) {
                body = Arrays.copyOf(body, Math.max(2 * body.length, length + chunkRemaining));
            }
            while (chunkRemaining > 0) {
                if (position == limit) {
                    fill();
                }
                int count = Math.min(chunkRemaining, limit - position);
                System.arraycopy(buffer, position, body, length, count);
                position += count;
                length += count;
                chunkRemaining -= count;
            }
            readChunkEnd();
        }
        return new ByteSlice(body, 0, length);
    }

    /** Reads the size of the next chunk. Returns false at the last chunk, after reading its trailers. */
    private boolean nextChunk() throws IOException, HttpProtocolException {
        chunkRemaining = MessageSyntax.parseChunkSize(readLine(MessageSyntax.MAX_CHUNK_LINE_BYTES, 400));
        if (chunkRemaining == 0) {
            readHeaders();
        }
        return chunkRemaining > 0;
    }

    private void readChunkEnd() throws IOException, HttpProtocolException {
        if (!readLine(MessageSyntax.MAX_CHUNK_LINE_BYTES, 400).isEmpty()) {
            throw new HttpProtocolException(400, "malformed chunk");
        }
    }

    private ByteSlice readBodyUntilClose() throws IOException, HttpProtocolException {
        try {
            while (true) {
                if (limit - position > maxBodyBytes) {
                    throw new HttpProtocolException(413, "body too large");
                }
                fill(); // may move the bytes, but they still begin at 'position'
            }
        } catch (EOFException e) {
            int from = position;
            position = limit;
            return new ByteSlice(buffer, from, limit - from);
        }
    }

    private List<String> readHeaders() throws IOException, HttpProtocolException {
        var headers = new ArrayList<String>();
        int remainingBytes = MessageSyntax.MAX_HEAD_BYTES;
        for (String line = readLine(remainingBytes, 431); !line.isEmpty(); line = readLine(remainingBytes, 431)) {
            remainingBytes -= line.length() + 2;
            int colon = MessageSyntax.checkHeaderLine(line, headers.size() / 2, remainingBytes);
            headers.add(line.substring(0, colon));
            headers.add(line.substring(colon + 1).trim());
        }
        return headers;
    }

    /**
     * Reads a line, without its end.
     *
     * @param maxBytes      the maximum length in bytes; 0 for the maximum length of a head
     * @param tooLongStatus the status to answer with if the line is longer
     */
    private String readLine(int maxBytes, int tooLongStatus) throws IOException, HttpProtocolException {
        int limitBytes = maxBytes == 0 ? MessageSyntax.MAX_HEAD_BYTES : maxBytes;
        for (int i = 0;; i++) {
            if (i > limitBytes) {
                throw new HttpProtocolException(tooLongStatus, "line too long");
            }
            if (position + i == limit) {
                fill(); // may move the line, but it still begins at 'position'
            }
            if (buffer[position + i] == '\n') {
                int length = i > 0 && buffer[position + i - 1] == '\r' ? i - 1 : i;
                String line = new String(buffer, position, length, StandardCharsets.ISO_8859_1);
                position += i + 1;
                return line;
            }
        }
    }

    /** Returns whether a line is {@code HTTP/1.0} or {@code 1.1}, a status of 100 to 599 and an optional reason. */
    private static boolean isStatusLine(String line) {
        return (line.startsWith("HTTP/1.0 ") || line.startsWith("HTTP/1.1 ")) && line.length() >= 12
                && line.charAt(9) >= '1' && line.charAt(9) <= '5'
                && MessageSyntax.containsOnly("0123456789", line.substring(10, 12))
                && (line.length() == 12 || line.charAt(12) == ' ') && line.indexOf('\r') < 0
                && line.indexOf('\u0085') < 0;
    }

    private static boolean hasTransferEncoding(List<String> headers) {
        return HttpMessage.find(headers, "Transfer-Encoding") != null;
    }

    private static boolean isKeepAlive(List<String> headers, String version) {
        String connection = HttpMessage.find(headers, "Connection");
        List<String> options = connection == null ? List.of()
                : List.of(connection.toLowerCase(Locale.ROOT).split("[ ,]+"));
        return version.equals("HTTP/1.1") ? !options.contains("close") : options.contains("keep-alive");
    }

    /** Ensures that the buffer has space for this many bytes from the current position on. */
    private void ensureCapacity(int length) {
        if (position + length > buffer.length) {
            buffer = Arrays.copyOfRange(buffer, position, position + length + INITIAL_BUFFER_BYTES);
            limit -= position;
            position = 0;
        }
    }

    private void fill() throws IOException, HttpProtocolException {
        if (limit == buffer.length) {
            ensureCapacity(2 * (limit - position) + 1);
        }
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
        try {
            if (remainingMillis <= 0) {
                throw new SocketTimeoutException();
            }
            timeoutSetter.set((int) remainingMillis);
            if (!readMore()) {
                throw new EOFException("connection closed within a message");
            }
        } catch (SocketTimeoutException e) {
            throw new HttpProtocolException(408, "half a message, then silence");
        }
    }

    private boolean readMore() throws IOException {
        long bufferedSince = incoming != null && incoming.unreadBytes() > 0 ? incoming.arrivedAt() : 0;
        int count = in.read(buffer, limit, buffer.length - limit);
        limit += Math.max(0, count);
        arrivedAt = bufferedSince != 0 ? bufferedSince : System.nanoTime();
        return count > 0;
    }
}
