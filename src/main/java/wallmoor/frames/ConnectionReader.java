package wallmoor.frames;

import java.io.IOException;
import java.net.Socket;
import wallmoor.http.ByteSlice;

/**
 * Reads the frames of one connection on its own thread, until the connection ends or a frame violates the protocol.
 */
final class ConnectionReader {
    private static final char ANSWER = 'A';
    private static final char PROBE_ANSWER = 'P';
    private static final char LOAD_REPORT = 'L';

    private final ConnectionState state;
    private final Socket socket;
    private final int pauseMillis;

    /**
     * Creates a reader of a socket.
     *
     * @param pauseMillis the maximum pause between two reads within a frame
     */
    ConnectionReader(ConnectionState state, Socket socket, int pauseMillis) {
        this.state = state;
        this.socket = socket;
        this.pauseMillis = pauseMillis;
    }

    /** Reads until the connection ends, then closes it. */
    void run() {
        try {
            var frames = new FrameReader(socket, pauseMillis);
            for (ByteSlice frame = frames.next(); frame != null && handle(frame); frame = frames.next()) {
                // handled in the loop condition
            }
        } catch (IOException | RuntimeException e) {
            // the connection failed: the writer reports the attempts in flight
        } finally {
            state.close(socket);
        }
    }

    /** Handles a frame. Returns false if the connection has to be closed because of it. */
    private boolean handle(ByteSlice frame) {
        return switch (frame.buffer()[frame.from()]) {
            case ANSWER -> {
                AnswerFrame answer = AnswerFrame.parse(frame);
                yield answer != null && state.onAnswer(answer);
            }
            case PROBE_ANSWER, LOAD_REPORT -> true; // never requested, and ignored
            default -> false; // an error frame, or an unknown type
        };
    }
}
