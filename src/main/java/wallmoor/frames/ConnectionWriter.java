package wallmoor.frames;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import wallmoor.core.Gatherer;

/**
 * Writes the frames of one connection, in a thread of its own: a worker that stops reading holds up nothing else. The
 * permission to send is checked under the connection's lock just before each call is written.
 */
final class ConnectionWriter {
    /** A connection this long in one write has a peer that no longer reads. */
    private static final long STUCK_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final ConnectionState state;
    private final Socket socket;
    private final Gatherer gatherer;
    /** When the present write began, by {@link System#nanoTime}; 0 while there is none. */
    private volatile long writingSince;

    ConnectionWriter(ConnectionState state, Socket socket, Gatherer gatherer) {
        this.state = state;
        this.socket = socket;
        this.gatherer = gatherer;
    }

    /** Whether a write has lasted so long that the worker no longer reads. Takes no lock. */
    boolean isStuck() {
        long since = writingSince;
        return since != 0 && System.nanoTime() - since > STUCK_NANOS;
    }

    /** Writes frames until the connection has none and is to be closed. */
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
            state.markWritten(prepared.attempts()); // first: whatever fails from here on, it may have run
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
        writingSince = System.nanoTime();
        try {
            socket.getOutputStream().write(bytes);
        } finally {
            writingSince = 0;
        }
    }
}
