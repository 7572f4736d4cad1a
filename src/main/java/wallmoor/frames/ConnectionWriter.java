package wallmoor.frames;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import wallmoor.core.Gatherer;

/**
 * Writes the frames of one connection on its own thread, so that a worker that stops reading blocks no other
 * connection. The permission to send is checked under the connection's lock just before each call is written.
 */
final class ConnectionWriter {
    /** The duration of a single write from which the worker is considered to have stopped reading. */
    private static final long STUCK_WRITE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final ConnectionState state;
    private final Socket socket;
    private final Gatherer gatherer;
    /** The start of the current write, by {@link System#nanoTime}; 0 while no write is in progress. */
    private volatile long writeStartedAt;

    ConnectionWriter(ConnectionState state, Socket socket, Gatherer gatherer) {
        this.state = state;
        this.socket = socket;
        this.gatherer = gatherer;
    }

    /** Returns whether the current write takes so long that the worker has stopped reading. Acquires no lock. */
    boolean isStuck() {
        long startedAt = writeStartedAt;
        return startedAt != 0 && System.nanoTime() - startedAt > STUCK_WRITE_NANOS;
    }

    /** Writes queued frames until the connection is closed, drained or idle for too long. */
    void run() throws IOException, InterruptedException {
        for (OutboundFrame frame = state.awaitFrame(); frame != null; frame = state.awaitFrame()) {
            if (frame instanceof OutboundFrame.Call call) {
                writeCall(call);
            } else if (frame instanceof OutboundFrame.Cancellation cancellation) {
                writeCancellation(cancellation.attempt());
            }
        }
    }

    private void writeCall(OutboundFrame.Call call) throws IOException {
        PreparedCall prepared = state.prepareCall(call.send());
        if (prepared != null) {
            write(prepared.frame());
            state.markWritten(prepared.attempts()); // first: from here on the attempts may have run, whatever fails
            gatherer.recordSent(prepared.attempts());
        }
    }

    private void writeCancellation(InFlightAttempt cancelled) throws IOException {
        write(FrameEncoder.cancelFrame(cancelled.attempt.partId()));
        if (state.removeCancelled(cancelled)) {
            gatherer.report(cancelled.attempt, cancelled.cancelledAs, null);
        }
    }

    private void write(byte[] bytes) throws IOException {
        writeStartedAt = System.nanoTime();
        try {
            socket.getOutputStream().write(bytes);
        } finally {
            writeStartedAt = 0;
        }
    }
}
