package wallmoor.ogc;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;
import wallmoor.core.Gatherer;
import wallmoor.core.Step;
import wallmoor.core.WorkerTransport;
import wallmoor.threads.Threads;

/** Runs attempts at feature servers, each on a thread of its own, and pools a few idle connections per server. */
final class FeatureServerTransport implements WorkerTransport {
    private static final int MAX_IDLE_PER_SERVER = 4;

    private final Gatherer gatherer;
    private final int connectMillis;
    private final ThreadPoolExecutor threads;
    private final Map<Attempt, FeatureFetch> fetches = new ConcurrentHashMap<>();
    private final Map<String, Deque<PooledConnection>> idleConnections = new HashMap<>();

    FeatureServerTransport(Gatherer gatherer, int connectMillis, int maxThreads) {
        this.gatherer = gatherer;
        this.connectMillis = connectMillis;
        threads = Threads.pool("ogc-fetch", maxThreads);
    }

    @Override
    public void send(Step.Send send) {
        for (Attempt attempt : send.attempts()) {
            var fetch = new FeatureFetch(attempt, gatherer, connectMillis);
            fetches.put(attempt, fetch);
            try {
                threads.execute(() -> run(fetch, attempt, send.closeIdleFirst()));
            } catch (RejectedExecutionException | OutOfMemoryError e) {
                fetches.remove(attempt);
                // a limit of this process was reached, which is no fault of the server
                gatherer.report(attempt, AttemptOutcome.NOT_SENT, null);
            }
        }
    }

    private void run(FeatureFetch fetch, Attempt attempt, boolean closeIdleFirst) {
        try {
            boolean requireNew = closeIdleFirst || !((FeatureQuery) attempt.query().attachment()).idempotent();
            PooledConnection connection = fetch.run(takeIdle(attempt.worker().address(), requireNew));
            if (connection != null) {
                returnToPool(connection);
            }
        } finally {
            fetches.remove(attempt);
        }
    }

    @Override
    public void cancel(Step.Cancel cancel) {
        FeatureFetch fetch = fetches.get(cancel.attempt());
        if (fetch != null) {
            fetch.cancel(cancel.outcome());
        }
    }

    /** Takes an idle connection that can be used, or returns null if there is none or a new one is required. */
    private PooledConnection takeIdle(String address, boolean requireNew) {
        while (!requireNew) {
            PooledConnection connection;
            synchronized (idleConnections) {
                Deque<PooledConnection> idle = idleConnections.get(address);
                connection = idle == null ? null : idle.pollLast();
            }
            if (connection == null) {
                return null;
            }
            if (connection.isUsable()) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private void returnToPool(PooledConnection connection) {
        var expired = new ArrayList<PooledConnection>();
        synchronized (idleConnections) {
            Deque<PooledConnection> idle = idleConnections.computeIfAbsent(connection.address(),
                    a -> new ArrayDeque<>());
            idle.addLast(connection);
            if (idle.size() > MAX_IDLE_PER_SERVER) {
                expired.add(idle.pollFirst());
            }
            idleConnections.values().forEach(all -> all.removeIf(c -> c.isExpired() && expired.add(c)));
        }
        expired.forEach(PooledConnection::close);
    }
}
