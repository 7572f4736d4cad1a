package wallmoor.discovery;

import java.util.Arrays;
import wallmoor.http.ByteSlice;

/**
 * Splits the body of a watch into JSON objects and heartbeats. The body may be split between two reads at any byte. An
 * object ends at its closing bracket, regardless of line ends. A blank line between objects is a heartbeat; a blank
 * line inside an object is white space. Does no I/O.
 */
final class WatchStreamParser {
    /** Receives the objects and heartbeats in the order of the body. */
    interface WatchStreamListener {
        /** Called for each complete object. The bytes are valid until this method returns. */
        void onObject(ByteSlice json) throws MalformedEndpointListException;

        /** Called for each blank line between objects. */
        void onHeartbeat();
    }

    private static final int INITIAL_BUFFER_BYTES = 512;

    private final int maxObjectBytes;
    private final WatchStreamListener listener;
    private byte[] object = new byte[INITIAL_BUFFER_BYTES];
    private int length;
    private int depth;
    private boolean isInString;
    private boolean isEscaped;
    /** Whether the current line has had white space only. */
    private boolean isLineBlank = true;

    /**
     * Creates a parser.
     *
     * @param maxObjectBytes the length of the longest object that is accepted
     */
    WatchStreamParser(int maxObjectBytes, WatchStreamListener listener) {
        this.maxObjectBytes = maxObjectBytes;
        this.listener = listener;
    }

    /** Parses the next bytes of the body. */
    void read(ByteSlice part) throws MalformedEndpointListException {
        for (int i = part.from(); i < part.from() + part.length(); i++) {
            byte b = part.buffer()[i];
            if (depth == 0) {
                readBetweenObjects(b);
            } else {
                readInsideObject(b);
            }
        }
    }

    private void readBetweenObjects(byte b) throws MalformedEndpointListException {
        switch (b) {
            case ' ', '\t', '\r' -> {}
            case '\n' -> endLine();
            case '{' -> beginObject();
            default -> throw new MalformedEndpointListException(
                    String.format("unexpected byte 0x%02x between two objects; expected {", b));
        }
    }

    private void endLine() {
        boolean isHeartbeat = isLineBlank;
        isLineBlank = true;
        if (isHeartbeat) {
            listener.onHeartbeat();
        }
    }

    private void beginObject() throws MalformedEndpointListException {
        isLineBlank = false;
        length = 0;
        depth = 1;
        append((byte) '{');
    }

    private void readInsideObject(byte b) throws MalformedEndpointListException {
        append(b);
        if (isInString) {
            readInsideString(b);
            return;
        }
        switch (b) {
            case '"' -> isInString = true;
            case '{', '[' -> depth++;
            case '}', ']' -> depth--;
            default -> {}
        }
        if (depth == 0) {
            endObject();
        }
    }

    private void readInsideString(byte b) throws MalformedEndpointListException {
        // JSON strings have no line breaks: the object was cut off, and the text that follows must not be added to it
        if (b == '\n') {
            throw new MalformedEndpointListException("line break inside a JSON string");
        }
        if (isEscaped) {
            isEscaped = false;
        } else if (b == '\\') {
            isEscaped = true;
        } else if (b == '"') {
            isInString = false;
        }
    }

    private void endObject() throws MalformedEndpointListException {
        var complete = new ByteSlice(object, 0, length);
        // full lists are rare and a watch stays open for hours, so that a large buffer is not retained
        if (object.length > INITIAL_BUFFER_BYTES) {
            object = new byte[INITIAL_BUFFER_BYTES];
        }
        listener.onObject(complete);
    }

    private void append(byte b) throws MalformedEndpointListException {
        if (length == maxObjectBytes) {
            throw new MalformedEndpointListException("JSON object is longer than " + maxObjectBytes + " bytes");
        }
        if (length == object.length) {
            object = Arrays.copyOf(object, Math.min(maxObjectBytes, 2 * length));
        }
        object[length++] = b;
    }
}
