package wallmoor.frames;

import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;
import wallmoor.core.Gatherer;
import wallmoor.core.Step;
import wallmoor.core.WorkerTransport;
import wallmoor.http.Threads;

/** The connections to all workers: a set for each, opened as its streams fill up. */
public final class WorkerConnectionPool implements WorkerTransport {
    /** Connections to one worker at most: each holds up to the streams limit, so that a few carry all. */
    private static final int MOST_CONNECTIONS = 4;
    /** A connection to a worker is silent after this share of the shortest aim: the module calls a part late then. */
    private static final int SILENT_SHARE = 5;

    /**
     * What the settings say of connections.
     *
     * @param maxInFlight         parts at once on one connection
     * @param idleTimeoutNanos     an idle connection is closed after this time, before its worker would
     * @param silenceTimeoutNanos     a connection on which nothing has come for this long since a part was written is
     *                                silent
     * @param maxConnections to all workers together
     * @param onConnectResult           told of each connection that came up or did not, with the worker's id
     */
    public record ConnectionLimits(int maxInFlight, int connectMillis, long idleTimeoutNanos, long silenceTimeoutNanos,
            int maxConnections,
            Supplier<Socket> sockets, BiConsumer<String, Boolean> onConnectResult) {

        /** What a configuration says. */
        public static ConnectionLimits of(LaunchConfig launch, Supplier<Socket> sockets,
                BiConsumer<String, Boolean> reach) {
            long retire = Math.max(launch.connIdleMillis() / 2, launch.connIdleMillis() - 1500);
            long silent = launch.settings().classes().stream().mapToLong(c -> c.latencyObjective()).min()
                    .orElse(1_000_000) * 1000
                    / SILENT_SHARE;
            return new ConnectionLimits(launch.streams(), launch.connectMillis(), TimeUnit.MILLISECONDS.toNanos(retire),
                    silent,
                    launch.mostWorkerConnections(), sockets, reach);
        }
    }

    private final Gatherer gatherer;
    private final ConnectionLimits limits;
    private final Map<String, List<WorkerConnection>> links = new HashMap<>();
    private final AtomicLong numbers = new AtomicLong();
    private final Thread watch;
    private int open;

    /** Links for a gatherer's parts; none is open yet. */
    public WorkerConnectionPool(Gatherer gatherer, ConnectionLimits limits) {
        this.gatherer = gatherer;
        this.limits = limits;
        watch = Threads.start("worker-watch", this::watch);
    }

    /** Closes all connections, and takes no more calls. */
    public synchronized void close() {
        watch.interrupt();
        links.values().forEach(l -> l.forEach(WorkerConnection::close));
        links.clear();
    }

    @Override
    public void send(Step.Send send) {
        WorkerConnection fresh = null;
        AttemptOutcome otherwise = AttemptOutcome.NOT_SENT; // our own bound: no worker is to blame
        synchronized (this) {
            List<WorkerConnection> connections = links.computeIfAbsent(send.worker().id(), id -> new ArrayList<>());
            String address = send.worker().address();
            connections.stream().filter(c -> !c.hasAddress(address)).forEach(WorkerConnection::drain);
            if (send.closeIdleFirst()) {
                connections.forEach(WorkerConnection::closeIfIdle);
            }
            connections.removeIf(WorkerConnection::isClosed);
            for (WorkerConnection c : connections) {
                if (c.offer(send, false)) {
                    return;
                }
            }
            if (connections.size() < MOST_CONNECTIONS && open < limits.maxConnections()) {
                try {
                    fresh = new WorkerConnection(gatherer, limits, "worker-" + numbers.incrementAndGet(),
                            send.worker());
                    if (fresh.offer(send, false)) {
                        connections.add(fresh);
                        open++;
                    } else {
                        fresh = null;
                    }
                } catch (ConfigException e) {
                    fresh = null; // discovery gave no address that can be connected to
                    otherwise = AttemptOutcome.CONNECT_FAILED;
                }
            }
            if (fresh == null && connections.stream().anyMatch(c -> c.offer(send, true))) {
                return;
            }
        }
        if (fresh == null || !start(fresh)) {
            var ended = new HashMap<Attempt, AttemptOutcome>();
            for (Attempt attempt : send.attempts()) {
                ended.put(attempt, otherwise);
            }
            gatherer.report(ended);
        }
    }

    private boolean start(WorkerConnection connection) {
        try {
            Threads.start(connection.name() + "-write", () -> connection.run(this::freePlace));
            return true;
        } catch (OutOfMemoryError e) {
            freePlace();
            synchronized (this) {
                links.values().forEach(l -> l.remove(connection));
            }
            return false;
        }
    }

    private synchronized void freePlace() {
        open--;
    }

    @Override
    public void cancel(Step.Cancel cancel) {
        List<WorkerConnection> connections;
        synchronized (this) {
            connections = List.copyOf(links.getOrDefault(cancel.attempt().worker().id(), List.of()));
        }
        for (WorkerConnection c : connections) {
            if (c.cancel(cancel.attempt(), cancel.outcome())) {
                return;
            }
        }
        // not on any connection: it is being reported by one that has ended, and only the first report counts
        gatherer.report(cancel.attempt(), cancel.outcome(), null);
    }

    private void watch() {
        try {
            while (true) {
                Thread.sleep(250);
                List<WorkerConnection> all = new ArrayList<>();
                synchronized (this) { // new workers come all day: nothing is kept of those that went
                    links.values().forEach(l -> l.removeIf(WorkerConnection::isClosed));
                    links.values().removeIf(List::isEmpty);
                    links.values().forEach(all::addAll);
                }
                all.forEach(WorkerConnection::closeIfStuck);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
