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
import wallmoor.http.Threads;

/** Runs attempts at feature servers, each on a thread of its own, and keeps a few connections for the next. */
final class FeatureServerTransport implements WorkerTransport {
    private static final int MOST_KEPT = 4;

    private final Gatherer gatherer;
    private final int connectMillis;
    private final ThreadPoolExecutor threads;
    private final Map<Attempt, FeatureFetch> out = new ConcurrentHashMap<>();
    private final Map<String, Deque<PooledConnection>> kept = new HashMap<>();

    FeatureServerTransport(Gatherer gatherer, int connectMillis, int most) {
        this.gatherer = gatherer;
        this.connectMillis = connectMillis;
        threads = Threads.pool("ogc-fetch", most);
    }

    @Override
    public void send(Step.Send send) {
        for (Attempt attempt : send.attempts()) {
            var fetch = new FeatureFetch(attempt, gatherer, connectMillis);
            out.put(attempt, fetch);
            try {
                threads.execute(() -> run(fetch, attempt, send.closeIdleFirst()));
            } catch (RejectedExecutionException | OutOfMemoryError e) {
                out.remove(attempt);
                gatherer.report(attempt, AttemptOutcome.NOT_SENT, null); // our own bound: no server is to blame
            }
        }
    }

    private void run(FeatureFetch fetch, Attempt attempt, boolean fresh) {
        try {
            boolean anew = fresh || !((FeatureQuery) attempt.query().attachment()).idempotent();
            PooledConnection back = fetch.run(take(attempt.worker().address(), anew));
            if (back != null) {
                keep(back);
            }
        } finally {
            out.remove(attempt);
        }
    }

    @Override
    public void cancel(Step.Cancel cancel) {
        FeatureFetch fetch = out.get(cancel.attempt());
        if (fetch != null) {
            fetch.cancel(cancel.outcome());
        }
    }

    /** A connection that can be used, or null; {@code anew}: the idle ones are not trusted. */
    private PooledConnection take(String address, boolean anew) {
        while (!anew) {
            PooledConnection last;
            synchronized (kept) {
                Deque<PooledConnection> here = kept.get(address);
                last = here == null ? null : here.pollLast();
            }
            if (last == null) {
                return null;
            }
            if (last.usable()) {
                return last;
            }
            last.close();
        }
        return null;
    }

    private void keep(PooledConnection back) {
        var old = new ArrayList<PooledConnection>();
        synchronized (kept) {
            Deque<PooledConnection> here = kept.computeIfAbsent(back.address(), a -> new ArrayDeque<>());
            here.addLast(back);
            if (here.size() > MOST_KEPT) {
                old.add(here.pollFirst());
            }
            kept.values().forEach(all -> all.removeIf(k -> k.isOld() && old.add(k)));
        }
        old.forEach(PooledConnection::close);
    }
}
