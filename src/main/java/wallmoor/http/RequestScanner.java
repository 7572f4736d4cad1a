package wallmoor.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds the end of a request in the bytes received so far, so that a thread is needed only for requests that are
 * complete. It looks at each byte once, however the request is cut into pieces. {@link HttpReader} then reads the
 * request, and is the one that names a fault.
 */
final class RequestScanner {
    /** The state of the request after the bytes scanned so far. */
    enum Result {
        /** The request goes on. */
        INCOMPLETE,
        /** The request has ended; {@link #length} tells where. */
        COMPLETE,
        /** The request violates the protocol or a limit, whatever follows. */
        FAULTY
    }

    private enum Phase {
        REQUEST_LINE, HEADERS, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, END
    }

    private Phase phase = Phase.REQUEST_LINE;
    /** The number of the request's bytes that have been scanned. */
    private int scanned;
    /** The index in the request of the first byte of the current line. */
    private int lineStart;
    private int headersRemainingBytes = MessageSyntax.MAX_HEAD_BYTES;
    private int headerCount;
    /** Names and values of the headers that frame the body; null for none. */
    private List<String> framingHeaders;
    /** The remaining bytes of the body or of the current chunk. */
    private int remaining;
    private int chunkedBodyBytes;

    /** Returns the number of bytes scanned, which is the length of the request once it is complete. */
    int length() {
        return scanned;
    }

    /** Prepares for the next request. */
    void reset() {
        phase = Phase.REQUEST_LINE;
        scanned = 0;
        lineStart = 0;
        headersRemainingBytes = MessageSyntax.MAX_HEAD_BYTES;
        headerCount = 0;
        framingHeaders = null;
        remaining = 0;
        chunkedBodyBytes = 0;
    }

    /**
     * Scans bytes that have been added to the request.
     *
     * @param buffer the buffer that holds the request
     * @param from   the index of the request's first byte
     * @param to     the index behind the last byte received
     */
    Result scan(byte[] buffer, int from, int to) {
        try {
            while (phase != Phase.END && from + scanned < to) {
                if (phase == Phase.BODY || phase == Phase.CHUNK) {
                    skipBody(to - from);
                } else if (!scanLine(buffer, from, to)) {
                    return Result.INCOMPLETE;
                }
            }
        } catch (HttpProtocolException e) {
            return Result.FAULTY;
        }
        return phase == Phase.END ? Result.COMPLETE : Result.INCOMPLETE;
    }

    private void skipBody(int received) {
        int count = Math.min(remaining, received - scanned);
        scanned += count;
        remaining -= count;
        if (remaining == 0) {
            phase = phase == Phase.BODY ? Phase.END : Phase.CHUNK_END;
            lineStart = scanned;
        }
    }

    /** Scans to the end of the current line and handles it. Returns false if the line goes on. */
    private boolean scanLine(byte[] buffer, int from, int to) throws HttpProtocolException {
        int maxLineBytes = maxLineBytes();
        while (from + scanned < to && buffer[from + scanned] != '\n') {
            scanned++;
            if (scanned - lineStart > maxLineBytes) {
                throw new HttpProtocolException(400, "line too long");
            }
        }
        if (from + scanned == to) {
            return false;
        }
        int length = scanned - lineStart;
        if (length > 0 && buffer[from + scanned - 1] == '\r') {
            length--;
        }
        String line = new String(buffer, from + lineStart, length, StandardCharsets.ISO_8859_1);
        scanned++;
        lineStart = scanned;
        handleLine(line);
        return true;
    }

    private int maxLineBytes() {
        return switch (phase) {
            case HEADERS, TRAILERS -> headersRemainingBytes;
            case CHUNK_SIZE, CHUNK_END -> MessageSyntax.MAX_CHUNK_LINE_BYTES;
            default -> MessageSyntax.MAX_HEAD_BYTES;
        };
    }

    private void handleLine(String line) throws HttpProtocolException {
        switch (phase) {
            case REQUEST_LINE -> {
                MessageSyntax.parseRequestLine(line);
                phase = Phase.HEADERS;
            }
            case HEADERS -> {
                if (line.isEmpty()) {
                    startBody();
                } else {
                    handleHeader(line);
                }
            }
            case CHUNK_SIZE -> startChunk(MessageSyntax.parseChunkSize(line));
            case CHUNK_END -> {
                if (!line.isEmpty()) {
                    throw new HttpProtocolException(400, "malformed chunk");
                }
                phase = Phase.CHUNK_SIZE;
            }
            default -> { // a trailer
                if (line.isEmpty()) {
                    phase = Phase.END;
                } else {
                    handleHeader(line);
                }
            }
        }
    }

    private void handleHeader(String line) throws HttpProtocolException {
        headersRemainingBytes -= line.length() + 2;
        int colon = MessageSyntax.checkHeaderLine(line, headerCount, headersRemainingBytes);
        headerCount++;
        String name = line.substring(0, colon);
        if (phase == Phase.HEADERS
                && (name.equalsIgnoreCase("Content-Length") || name.equalsIgnoreCase("Transfer-Encoding"))) {
            framingHeaders = framingHeaders == null ? new ArrayList<>() : framingHeaders;
            framingHeaders.add(name);
            framingHeaders.add(line.substring(colon + 1).trim());
        }
    }

    private void startBody() throws HttpProtocolException {
        MessageSyntax.BodyFraming framing = MessageSyntax.parseFraming(
                framingHeaders == null ? List.of() : framingHeaders, HttpReader.MAX_BODY_BYTES);
        if (framing.chunked()) {
            phase = Phase.CHUNK_SIZE;
        } else if (framing.length() > 0) {
            remaining = framing.length();
            phase = Phase.BODY;
        } else {
            phase = Phase.END;
        }
    }

    private void startChunk(int size) throws HttpProtocolException {
        if (size == 0) {
            headersRemainingBytes = MessageSyntax.MAX_HEAD_BYTES;
            headerCount = 0;
            phase = Phase.TRAILERS;
            return;
        }
        chunkedBodyBytes += size;
        if (chunkedBodyBytes > HttpReader.MAX_BODY_BYTES) {
            throw new HttpProtocolException(413, "body too large");
        }
        remaining = size;
        phase = Phase.CHUNK;
    }
}
