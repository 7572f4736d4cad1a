package wallmoor.discovery;

import java.util.Arrays;
import wallmoor.http.ByteSlice;

/**
 * Splits the body of a watch into JSON objects and heartbeats. The body may be cut anywhere between two calls. An
 * object ends at the bracket that closes it, wherever its line ends; a blank line between objects is a heartbeat, and
 * one within an object is white space like any other. Does no I/O.
 */
final class WatchStreamParser {
    /** Told of what was found, in the order of the body. */
    interface WatchStreamListener {
        /** An object is whole. The bytes are good until the call returns. */
        void object(ByteSlice json) throws MalformedEndpointListException;

        /** A blank line. */
        void heartbeat();
    }

    private static final int FIRST_SIZE = 512;

    private final int mostBytes;
    private final WatchStreamListener listener;
    private byte[] object = new byte[FIRST_SIZE];
    private int length;
    private int depth;
    private boolean inString;
    private boolean escaped;
    /** Nothing but white space has come since the last line end. */
    private boolean blank = true;

    /**
     * Makes a reader.
     *
     * @param mostBytes the longest object that is taken
     */
    WatchStreamParser(int mostBytes, WatchStreamListener listener) {
        this.mostBytes = mostBytes;
        this.listener = listener;
    }

    /** Takes the next bytes of the body. */
    void read(ByteSlice part) throws MalformedEndpointListException {
        for (int i = part.from(); i < part.from() + part.length(); i++) {
            byte b = part.buffer()[i];
            if (depth == 0) {
                between(b);
            } else {
                within(b);
            }
        }
    }

    private void between(byte b) throws MalformedEndpointListException {
        switch (b) {
            case ' ', '\t', '\r' -> {}
            case '\n' -> lineEnd();
            case '{' -> begin();
            default -> throw new MalformedEndpointListException("something between two objects that is none");
        }
    }

    private void lineEnd() {
        boolean heartbeat = blank;
        blank = true;
        if (heartbeat) {
            listener.heartbeat();
        }
    }

    private void begin() throws MalformedEndpointListException {
        blank = false;
        length = 0;
        depth = 1;
        append((byte) '{');
    }

    private void within(byte b) throws MalformedEndpointListException {
        append(b);
        if (inString) {
            string(b);
            return;
        }
        switch (b) {
            case '"' -> inString = true;
            case '{', '[' -> depth++;
            case '}', ']' -> depth--;
            default -> {}
        }
        if (depth == 0) {
            end();
        }
    }

    private void string(byte b) throws MalformedEndpointListException {
        if (b == '\n') { // no text holds one: the rest of its object is lost, and what follows must not be taken for it
            throw new MalformedEndpointListException("a line end within a text");
        }
        if (escaped) {
            escaped = false;
        } else if (b == '\\') {
            escaped = true;
        } else if (b == '"') {
            inString = false;
        }
    }

    private void end() throws MalformedEndpointListException {
        var whole = new ByteSlice(object, 0, length);
        if (object.length > FIRST_SIZE) { // a whole list comes seldom, and a watch stays open for hours
            object = new byte[FIRST_SIZE];
        }
        listener.object(whole);
    }

    private void append(byte b) throws MalformedEndpointListException {
        if (length == mostBytes) {
            throw new MalformedEndpointListException("an object of over " + mostBytes + " bytes");
        }
        if (length == object.length) {
            object = Arrays.copyOf(object, Math.min(mostBytes, 2 * length));
        }
        object[length++] = b;
    }
}
