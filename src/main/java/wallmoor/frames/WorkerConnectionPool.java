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
import wallmoor.http.Threads;

/**
 * The connections to all workers: a few for each, opened as those before are full. Its own lock guards which
 * connections there are; a connection's lock may be taken under it, never the other way round, and the gatherer's lock
 * is not taken under it.
 */
public final class WorkerConnectionPool implements WorkerTransport {
    /** Connections to one worker at most: each has many parts in flight, so that a few carry all. */
    private static final int MAX_CONNECTIONS_PER_WORKER = 4;
    /** How often connections are looked at that may no longer take what is written. */
    private static final long WATCH_MILLIS = 250;

    private final Gatherer gatherer;
    private final ConnectionLimits limits;
    private final Map<String, List<WorkerConnection>> byWorkerId = new HashMap<>();
    private final Thread watch;
    /** The number of connections whose writer has not ended. */
    private int openConnections;
    private long lastNumber;

    /** A pool for a gatherer's parts, without connections. */
    public WorkerConnectionPool(Gatherer gatherer, ConnectionLimits limits) {
        this.gatherer = gatherer;
        this.limits = limits;
        watch = Threads.start("worker-watch", this::watch);
    }

    /** Closes all connections, and takes no more calls. */
    public synchronized void close() {
        watch.interrupt();
        for (List<WorkerConnection> connections : byWorkerId.values()) {
            connections.forEach(WorkerConnection::close);
        }
        byWorkerId.clear();
    }

    @Override
    public void send(Step.Send send) {
        WorkerConnection opened = null;
        AttemptOutcome unplaced = AttemptOutcome.NOT_SENT; // the bound is ours: no worker is to blame
        synchronized (this) {
            List<WorkerConnection> connections = connectionsFor(send);
            if (offerToOne(connections, send, false)) {
                return;
            }
            if (connections.size() < MAX_CONNECTIONS_PER_WORKER && openConnections < limits.maxConnections()) {
                try {
                    opened = open(connections, send);
                } catch (ConfigException e) { // the endpoint list has no address that can be connected to
                    unplaced = AttemptOutcome.CONNECT_FAILED;
                }
            }
            if (opened == null && offerToOne(connections, send, true)) {
                return;
            }
        }
        if (opened == null || !start(opened)) {
            reportUnplaced(send, unplaced);
        }
    }

    /** The connections that a call may take; those to an address that its worker had before take nothing more. */
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

    /** Makes another connection that takes this call, or null if that can't take it either. */
    private WorkerConnection open(List<WorkerConnection> connections, Step.Send send) {
        var connection = new WorkerConnection(gatherer, limits, "worker-" + ++lastNumber, send.worker());
        if (!connection.offer(send, false)) {
            return null;
        }
        connections.add(connection);
        openConnections++;
        return connection;
    }

    /** Starts the thread of a new connection; false if there is no memory for it. */
    private boolean start(WorkerConnection connection) {
        try {
            Threads.start(connection.name() + "-write", () -> connection.run(this::releasePlace));
            return true;
        } catch (OutOfMemoryError e) {
            releasePlace();
            synchronized (this) {
                byWorkerId.values().forEach(connections -> connections.remove(connection));
            }
            return false;
        }
    }

    private synchronized void releasePlace() {
        openConnections--;
    }

    private void reportUnplaced(Step.Send send, AttemptOutcome outcome) {
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
        // on no connection: one that has ended is reporting it, and only the first report counts
        gatherer.report(cancel.attempt(), cancel.outcome(), null);
    }

    private void watch() {
        try {
            while (true) {
                Thread.sleep(WATCH_MILLIS);
                openNow().forEach(WorkerConnection::closeIfStuck);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The connections that are open; forgets the others, and workers without any, as new workers come all day. */
    private synchronized List<WorkerConnection> openNow() {
        var open = new ArrayList<WorkerConnection>();
        byWorkerId.values().forEach(connections -> connections.removeIf(WorkerConnection::isClosed));
        byWorkerId.values().removeIf(List::isEmpty);
        byWorkerId.values().forEach(open::addAll);
        return open;
    }
}
