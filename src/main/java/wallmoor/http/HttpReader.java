package wallmoor.http;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Reads HTTP/1.1 messages from a connection. The sizes of heads and bodies are bounded, and so is the
 * time between the first and the last byte of a message, since partial messages are common on poor links and must not
 * occupy a thread for ever. Only one thread may read. A body is valid until the next message is read.
 */
public final class HttpReader {
    /** The default limit on the size of a body. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** The remaining length of a body that ends with its connection. */
    private static final int UNTIL_CLOSE = Integer.MAX_VALUE;

    private final ReadBuffer received;
    /**
     * The arrival time of the first byte of the current message, which may be while the previous one was handled.
     */
    private long firstByteAt;
    /** The time at which reading of the current message began, from which its timeout counts. */
    private long readStartedAt;
    private boolean chunked;
    private int chunkRemaining;
    /** Whether a chunk has been read, but not the line end after it. */
    private boolean chunkEndPending;
    /** The remaining bytes of a body that is read in parts and has a length. */
    private int bodyRemaining;
    private int maxBodyBytes = MAX_BODY_BYTES;

    /** Creates a reader of a socket. */
    public HttpReader(Socket socket) throws IOException {
        received = new ReadBuffer(socket);
    }

    /** Creates a reader of the bytes that a selector receives on a connection. */
    HttpReader(IncomingBytes incoming) {
        received = new ReadBuffer(incoming);
    }

    /** Sets the limit on the size of a body, for a peer that is trusted with more than {@link #MAX_BODY_BYTES}. */
    public void setMaxBodyBytes(int maxBytes) {
        maxBodyBytes = maxBytes;
    }

    /** Frees a large buffer if all that was read has been consumed. The last message's body is invalid after this. */
    public void shrinkEmptyBuffer() {
        received.shrinkIfEmpty();
    }

    /**
     * Waits for the first byte of the next message.
     *
     * @param millis the timeout; 0 means no timeout
     * @return false if the peer closes the connection instead
     */
    public boolean await(int millis) throws IOException {
        if (received.isEmpty()) {
            received.shrinkIfEmpty();
            if (!received.awaitFirst(millis)) {
                return false;
            }
            readStartedAt = received.arrivedAt();
        } else {
            readStartedAt = System.nanoTime();
        }
        firstByteAt = received.arrivedAt();
        return true;
    }

    /**
     * Reads a request after {@link #await} has returned true.
     *
     * @param millis the time within which the rest of the request has to be received
     */
    public HttpMessage request(int millis) throws IOException, HttpProtocolException {
        received.setDeadline(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis));
        String[] requestLine = MessageSyntax.parseRequestLine(received.readLine(MessageSyntax.MAX_HEAD_BYTES, 414));
        List<String> headers = readHeaders();
        return new HttpMessage(requestLine[0], requestLine[1], 0, headers, readBody(headers, false),
                MessageSyntax.isKeepAlive(headers, requestLine[2]), firstByteAt);
    }

    /**
     * Reads a response.
     *
     * @param millis   the time within which it has to be received
     * @param withBody whether to read the body, too; otherwise {@link #bodyPart} reads it in parts
     */
    public HttpMessage answer(int millis, boolean withBody) throws IOException, HttpProtocolException {
        received.setDeadline(readStartedAt + TimeUnit.MILLISECONDS.toNanos(millis));
        String statusLine = received.readLine(MessageSyntax.MAX_HEAD_BYTES, 400);
        int status = MessageSyntax.parseStatus(statusLine);
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
                !endsWithConnection && MessageSyntax.isKeepAlive(headers, statusLine.substring(0, 8)), firstByteAt);
    }

    /**
     * Returns the available bytes of the body of a response of which only the head was read, or null at the end of the
     * body. They are valid until the next call.
     *
     * @param millis the time within which at least one byte has to be received
     */
    public ByteSlice bodyPart(int millis) throws IOException, HttpProtocolException {
        received.setDeadline(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis));
        if (chunked && chunkRemaining == 0) {
            if (chunkEndPending) { // deferred, so that received bytes are returned before it arrives
                readChunkEnd();
            }
            chunkEndPending = nextChunk();
        }
        if (chunked ? chunkRemaining == 0 : bodyRemaining == 0) {
            return null;
        }
        ByteSlice part = received.readAvailable(chunked ? chunkRemaining : bodyRemaining);
        chunkRemaining -= chunked ? part.length() : 0;
        bodyRemaining -= chunked || bodyRemaining == UNTIL_CLOSE ? 0 : part.length();
        return part;
    }

    private ByteSlice readBody(List<String> headers, boolean isResponse) throws IOException, HttpProtocolException {
        int length = parseFraming(headers);
        if (chunked) {
            return readChunkedBody();
        }
        if (length < 0 && !isResponse) {
            return ByteSlice.EMPTY;
        }
        return length < 0 ? received.readUntilClose(maxBodyBytes) : received.read(length);
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
                ByteSlice part = received.readAvailable(chunkRemaining);
                System.arraycopy(part.buffer(), part.from(), body, length, part.length());
                length += part.length();
                chunkRemaining -= part.length();
            }
            readChunkEnd();
        }
        return new ByteSlice(body, 0, length);
    }

    /** Reads the size of the next chunk. Returns false at the last chunk, after reading its trailers. */
    private boolean nextChunk() throws IOException, HttpProtocolException {
        chunkRemaining = MessageSyntax.parseChunkSize(received.readLine(MessageSyntax.MAX_CHUNK_LINE_BYTES, 400));
        if (chunkRemaining == 0) {
            readHeaders();
        }
        return chunkRemaining > 0;
    }

    private void readChunkEnd() throws IOException, HttpProtocolException {
        if (!received.readLine(MessageSyntax.MAX_CHUNK_LINE_BYTES, 400).isEmpty()) {
            throw new HttpProtocolException(400, "malformed chunk");
        }
    }

    private List<String> readHeaders() throws IOException, HttpProtocolException {
        var headers = new ArrayList<String>();
        int remainingBytes = MessageSyntax.MAX_HEAD_BYTES;
        for (String line = readHeaderLine(remainingBytes); !line.isEmpty(); line = readHeaderLine(remainingBytes)) {
            remainingBytes -= line.length() + 2;
            int colon = MessageSyntax.checkHeaderLine(line, headers.size() / 2, remainingBytes);
            headers.add(line.substring(0, colon));
            headers.add(line.substring(colon + 1).trim());
        }
        return headers;
    }

    private String readHeaderLine(int maxBytes) throws IOException, HttpProtocolException {
        return received.readLine(maxBytes, 431);
    }

    private static boolean hasTransferEncoding(List<String> headers) {
        return HttpMessage.find(headers, "Transfer-Encoding") != null;
    }
}
