package wallmoor.frames;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;
import wallmoor.core.Gatherer;
import wallmoor.core.Step;
import wallmoor.core.Worker;
import wallmoor.http.Threads;

/**
 * One connection to a worker, which carries many parts at once: its socket and its two threads, of which one connects
 * and then writes, the other reads. What it may take and what is in flight on it stands in {@link ConnectionState}.
 * Each attempt that it took is reported once, at the latest when the connection has ended.
 */
final class WorkerConnection {
    /** A frame that began to come in must go on coming, within this time at least. */
    private static final int MIN_FRAME_PAUSE_MILLIS = 50;
    /** ... and within this many times the time after which a connection is silent. */
    private static final int FRAME_PAUSE_SILENCES = 4;

    private final Gatherer gatherer;
    private final ConnectionLimits limits;
    private final String name;
    private final String workerId;
    /** As the endpoint list names it. */
    private final String workerAddress;
    private final InetSocketAddress socketAddress;
    private final Socket socket;
    private final ConnectionState state;
    private final ConnectionWriter writer;
    private final ConnectionReader reader;

    /**
     * Makes a connection to where the worker listens now; {@link #run} opens it.
     *
     * @throws wallmoor.config.ConfigException if the worker's address can't be connected to
     */
    WorkerConnection(Gatherer gatherer, ConnectionLimits limits, String name, Worker worker) {
        this.gatherer = gatherer;
        this.limits = limits;
        this.name = name;
        workerId = worker.id();
        workerAddress = worker.address();
        socket = limits.sockets().get();
        socketAddress = LaunchConfig.address("host_port", workerAddress);
        state = new ConnectionState(gatherer, limits, workerAddress);
        writer = new ConnectionWriter(state, socket, gatherer);
        long pause = TimeUnit.NANOSECONDS.toMillis(FRAME_PAUSE_SILENCES * limits.silenceTimeoutNanos());
        reader = new ConnectionReader(state, socket, (int) Math.max(MIN_FRAME_PAUSE_MILLIS, pause));
    }

    /** The name of its threads, but for their ends. */
    String name() {
        return name;
    }

    /** Whether it goes to this address; the endpoint list may give a worker a new one. */
    boolean hasAddress(String address) {
        return workerAddress.equals(address);
    }

    /** Takes a call if it can; one that is silent, slow to connect or being closed takes none unless told so. */
    boolean offer(Step.Send send, boolean evenUnhealthy) {
        return !writer.isStuck() && state.offer(send, evenUnhealthy);
    }

    /**
     * Cancels an attempt if it is in flight here: one not yet written ends at once, for another the cancellation is
     * written first.
     *
     * @return whether it is in flight here
     */
    boolean cancel(Attempt attempt, AttemptOutcome outcome) {
        ConnectionState.CancelResult result = state.cancel(attempt, outcome);
        if (result == ConnectionState.CancelResult.NOT_SENT) {
            // whatever it is cancelled for: whether the worker can be reached is not known yet
            gatherer.report(attempt, AttemptOutcome.NOT_SENT, null);
        }
        return result != ConnectionState.CancelResult.NOT_HERE;
    }

    /** Takes nothing more, and closes once nothing is in flight on it. */
    void drain() {
        state.drain();
    }

    boolean isClosed() {
        return state.isClosed();
    }

    void close() {
        state.close(socket);
    }

    /** Closes it if nothing is in flight on it. */
    void closeIfIdle() {
        state.closeIfIdle(socket);
    }

    /** Closes it if its worker no longer reads what is written. */
    void closeIfStuck() {
        if (writer.isStuck()) {
            close();
        }
    }

    /**
     * Connects, then writes frames until the connection ends; then reports what is still in flight on it.
     *
     * @param onClosed run once it is closed, before the report: what goes again at once finds its place free
     */
    void run(Runnable onClosed) {
        try {
            socket.setTcpNoDelay(true);
            connect();
            Threads.start(name + "-read", reader::run);
            writer.run();
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            // refused, too slow or broken: what that means for each attempt is reported below
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close();
            onClosed.run();
            reportAll();
        }
    }

    private void connect() throws IOException {
        try {
            socket.connect(socketAddress, limits.connectMillis());
        } catch (IOException e) {
            if (!isClosed()) {
                limits.onConnectResult().accept(workerId, false);
            }
            throw e;
        }
        state.markConnected();
        limits.onConnectResult().accept(workerId, true);
    }

    private void reportAll() {
        Map<Attempt, AttemptOutcome> ended = state.removeAll();
        if (!ended.isEmpty()) {
            gatherer.report(ended);
        }
    }
}
