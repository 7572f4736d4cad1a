package wallmoor.frames;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wallmoor.config.ConfigException;
import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;
import wallmoor.core.Gatherer;
import wallmoor.core.Step;
import wallmoor.core.WorkerTransport;
import wallmoor.threads.Threads;

/**
 * The connections to all workers: a few for each, where another one is opened when the existing ones are full. The
 * pool's lock guards the set of connections. A connection's lock may be acquired while holding it, but never the other
 * way round, and the gatherer's lock is never acquired while holding it.
 */
public final class WorkerConnectionPool implements WorkerTransport {
    /** Each connection carries many parts at once, so that a few suffice. */
    private static final int MAX_CONNECTIONS_PER_WORKER = 4;
    /** The interval between checks for connections whose worker has stopped reading. */
    private static final long STUCK_CHECK_INTERVAL_MILLIS = 250;

    private final Gatherer gatherer;
    private final ConnectionLimits limits;
    private final Map<String, List<WorkerConnection>> byWorkerId = new HashMap<>();
    private final Thread watchThread;
    /** The number of connections whose writer has not ended. */
    private int openConnections;
    private long lastConnectionNumber;

    /** Creates a pool without connections, for the parts of a gatherer. */
    public WorkerConnectionPool(Gatherer gatherer, ConnectionLimits limits) {
        this.gatherer = gatherer;
        this.limits = limits;
        watchThread = Threads.startEssential("worker-watch", this::watchStuckConnections);
    }

    /** Closes all connections and stops the check for stuck connections. */
    public synchronized void close() {
        watchThread.interrupt();
        for (List<WorkerConnection> connections : byWorkerId.values()) {
            connections.forEach(WorkerConnection::close);
        }
        byWorkerId.clear();
    }

    @Override
    public void send(Step.Send send) {
        WorkerConnection opened = null;
        AttemptOutcome unsentOutcome = AttemptOutcome.NOT_SENT; // a limit of this process, not a failure of the worker
        synchronized (this) {
            List<WorkerConnection> connections = connectionsFor(send);
            if (offerToOne(connections, send, false)) {
                return;
            }
            if (connections.size() < MAX_CONNECTIONS_PER_WORKER && openConnections < limits.maxConnections()) {
                try {
                    opened = open(connections, send);
                } catch (ConfigException e) { // the address in the endpoint list is invalid
                    unsentOutcome = AttemptOutcome.CONNECT_FAILED;
                }
            }
            if (opened == null && offerToOne(connections, send, true)) {
                return;
            }
        }
        if (opened == null || !start(opened)) {
            reportUnsent(send, unsentOutcome);
        }
    }

    /** Returns the connections that may carry a call, after draining those to a former address of its worker. */
    private List<WorkerConnection> connectionsFor(Step.Send send) {
        List<WorkerConnection> connections = byWorkerId.computeIfAbsent(send.worker().id(), id -> new ArrayList<>());
        String address = send.worker().address();
        for (WorkerConnection connection : connections) {
            if (!connection.hasAddress(address)) {
                connection.drain();
            }
        }
        if (send.closeIdleFirst()) {
            connections.forEach(WorkerConnection::closeIfIdle);
        }
        connections.removeIf(WorkerConnection::isClosed);
        return connections;
    }

    private static boolean offerToOne(List<WorkerConnection> connections, Step.Send send, boolean evenUnhealthy) {
        for (WorkerConnection connection : connections) {
            if (connection.offer(send, evenUnhealthy)) {
                return true;
            }
        }
        return false;
    }

    /** Creates another connection with this call queued. Returns null if the connection can't accept the call. */
    private WorkerConnection open(List<WorkerConnection> connections, Step.Send send) {
        var connection = new WorkerConnection(gatherer, limits, "worker-" + ++lastConnectionNumber, send.worker());
        if (!connection.offer(send, false)) {
            return null;
        }
        connections.add(connection);
        openConnections++;
        return connection;
    }

    /** Starts the thread of a new connection. Returns false if there is not enough memory for it. */
    private boolean start(WorkerConnection connection) {
        try {
            Threads.start(connection.name() + "-write", () -> connection.run(this::releaseSlot));
            return true;
        } catch (OutOfMemoryError e) {
            releaseSlot();
            synchronized (this) {
                byWorkerId.values().forEach(connections -> connections.remove(connection));
            }
            return false;
        }
    }

    private synchronized void releaseSlot() {
        openConnections--;
    }

    private void reportUnsent(Step.Send send, AttemptOutcome outcome) {
        var ended = new HashMap<Attempt, AttemptOutcome>();
        for (Attempt attempt : send.attempts()) {
            ended.put(attempt, outcome);
        }
        gatherer.report(ended);
    }

    @Override
    public void cancel(Step.Cancel cancel) {
        List<WorkerConnection> connections;
        synchronized (this) {
            connections = List.copyOf(byWorkerId.getOrDefault(cancel.attempt().worker().id(), List.of()));
        }
        for (WorkerConnection connection : connections) {
            if (connection.cancel(cancel.attempt(), cancel.outcome())) {
                return;
            }
        }
        // not in flight: the ended connection reports the attempt itself, and only the first report counts
        gatherer.report(cancel.attempt(), cancel.outcome(), null);
    }

    private void watchStuckConnections() {
        try {
            while (true) {
                Thread.sleep(STUCK_CHECK_INTERVAL_MILLIS);
                removeClosed().forEach(WorkerConnection::closeIfStuck);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the open connections. Removes the closed ones, and workers without a connection, so that the map does not
     * grow as workers come and go.
     */
    private synchronized List<WorkerConnection> removeClosed() {
        var open = new ArrayList<WorkerConnection>();
        byWorkerId.values().forEach(connections -> connections.removeIf(WorkerConnection::isClosed));
        byWorkerId.values().removeIf(List::isEmpty);
        byWorkerId.values().forEach(open::addAll);
        return open;
    }
}
