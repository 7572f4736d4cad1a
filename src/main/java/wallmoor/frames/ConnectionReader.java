package wallmoor.frames;

import java.io.IOException;
import java.net.Socket;
import wallmoor.http.ByteSlice;

/** Reads the frames of one connection, in a thread of its own, until one makes the connection useless. */
final class ConnectionReader {
    private static final char ANSWER = 'A';
    private static final char PROBE_ANSWER = 'P';
    private static final char LOAD_REPORT = 'L';

    private final ConnectionState state;
    private final Socket socket;
    private final int pauseMillis;

    /** Reads from this socket; a frame that began to come in must go on coming within so many milliseconds. */
    ConnectionReader(ConnectionState state, Socket socket, int pauseMillis) {
        this.state = state;
        this.socket = socket;
        this.pauseMillis = pauseMillis;
    }

    /** Reads to the end, then closes the connection. */
    void run() {
        try {
            var frames = new FrameReader(socket, pauseMillis);
            for (ByteSlice frame = frames.next(); frame != null && handle(frame); frame = frames.next()) {
                // each is handled as it comes
            }
        } catch (IOException | RuntimeException e) {
            // broken: the writer reports what is in flight
        } finally {
            state.close(socket);
        }
    }

    /** Handles a frame; false if it makes the connection useless. */
    private boolean handle(ByteSlice frame) {
        return switch (frame.buffer()[frame.from()]) {
            case ANSWER -> {
                AnswerFrame answer = AnswerFrame.of(frame);
                yield answer != null && state.onAnswer(answer);
            }
            case PROBE_ANSWER, LOAD_REPORT -> true; // not asked for, and harmless
            default -> false; // an error of the protocol, or no frame at all
        };
    }
}
