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
import wallmoor.threads.Threads;

/**
 * One connection to a worker, which carries many parts at once. It has a socket and two threads: one connects and then
 * writes, the other reads. {@link ConnectionState} decides which calls it accepts and tracks the attempts in flight.
 * Each accepted attempt is reported exactly once, at the latest when the connection has ended.
 */
final class WorkerConnection {
    /** The lower bound of the maximum pause within a received frame. */
    private static final int MIN_FRAME_PAUSE_MILLIS = 50;
    /** The maximum pause within a received frame, in multiples of the silence timeout. */
    private static final int FRAME_PAUSE_SILENCE_MULTIPLE = 4;

    private final Gatherer gatherer;
    private final ConnectionLimits limits;
    private final String name;
    private final String workerId;
    /** The address as in the endpoint list. */
    private final String workerAddress;
    private final InetSocketAddress socketAddress;
    private final Socket socket;
    private final ConnectionState state;
    private final ConnectionWriter writer;
    private final ConnectionReader reader;

    /**
     * Creates a connection to the worker's current address; {@link #run} opens it.
     *
     * @throws wallmoor.config.ConfigException if the worker's address is not a valid {@code host:port}
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
        long pauseMillis = TimeUnit.NANOSECONDS.toMillis(FRAME_PAUSE_SILENCE_MULTIPLE * limits.silenceTimeoutNanos());
        reader = new ConnectionReader(state, socket, (int) Math.max(MIN_FRAME_PAUSE_MILLIS, pauseMillis));
    }

    /** Returns the common prefix of the names of its threads. */
    String name() {
        return name;
    }

    /** Returns whether this is the address of the connection; the endpoint list may give a worker a new one. */
    boolean hasAddress(String address) {
        return workerAddress.equals(address);
    }

    /**
     * Accepts a call if the connection has capacity and is not closing.
     *
     * @param evenUnhealthy whether to accept the call even if the connection is silent or slow to connect
     * @return whether the call was accepted
     */
    boolean offer(Step.Send send, boolean evenUnhealthy) {
        return !writer.isStuck() && state.offer(send, evenUnhealthy);
    }

    /**
     * Cancels an attempt if it is in flight on this connection: an attempt not yet written ends at once, any other once
     * the cancellation frame has been written.
     *
     * @return whether the attempt was in flight on this connection
     */
    boolean cancel(Attempt attempt, AttemptOutcome outcome) {
        ConnectionState.CancelResult result = state.cancel(attempt, outcome);
        if (result == ConnectionState.CancelResult.NOT_SENT) {
            // whatever the reason for the cancellation: it is not known yet whether the worker is reachable
            gatherer.report(attempt, AttemptOutcome.NOT_SENT, null);
        }
        return result != ConnectionState.CancelResult.NOT_IN_FLIGHT;
    }

    /** Accepts no further calls, and closes the connection once nothing is in flight. */
    void drain() {
        state.drain();
    }

    boolean isClosed() {
        return state.isClosed();
    }

    void close() {
        state.close(socket);
    }

    /** Closes the connection if nothing is in flight. */
    void closeIfIdle() {
        state.closeIfIdle(socket);
    }

    /** Closes the connection if its worker has stopped reading. */
    void closeIfStuck() {
        if (writer.isStuck()) {
            close();
        }
    }

    /**
     * Connects, writes frames until the connection ends, and then reports the attempts still in flight.
     *
     * @param onClosed runs after the close and before the report, so that a retry can use the connection slot at once
     */
    void run(Runnable onClosed) {
        try {
            socket.setTcpNoDelay(true);
            connect();
            Threads.start(name + "-read", reader::run);
            writer.run();
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            // refused, timed out or failed: the outcome of each attempt is reported below
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
