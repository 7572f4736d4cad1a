package wallmoor.sources;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.slf4j.helpers.NOPLogger;
import wallmoor.config.SettingsReader;
import wallmoor.core.AttemptOutcome;
import wallmoor.core.Gatherer;
import wallmoor.core.MonotonicClock;
import wallmoor.core.Query;
import wallmoor.core.QueryRequest;
import wallmoor.core.Step;
import wallmoor.core.WorkerEndpoint;
import wallmoor.core.WorkerTransport;
import wallmoor.endpoints.RegistryPolicy;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.endpoints.SourcePolicy;
import wallmoor.endpoints.WatchEvent;

/**
 * Measures the latency of queries while 5,000 nodes are refreshed repeatedly and each refresh changes all of them.
 * Three cases: no refresh; changes applied in batches as {@link EndpointUpdater} does; and all changes under a single
 * hold of the gatherer's lock. All run in one process, so that the distributions are comparable.
 */
public final class RefreshTime {
    private static final int NODES = 5_000;
    private static final int CELLS = 1_250;
    private static final long PERIOD_MILLIS = 8_000;
    private static final String SETTINGS = "Classes.count=1 Classes.0.Aim=1000000 Classes.0.GiveUp=2000000"
            + " Classes.0.Repeat=free Classes.0.Worth=1 Classes.0.LateWorth=0.1 Domain.NeedByClass=1"
            + " Domain.FloorByClass=1 Domain.Reach=1 Domain.Sets=" + CELLS + " Domain.Slabs=" + CELLS
            + " Discovery=subscribe Instances=1 Position=0 Round=5000 Limits.MaxAttempts=4 Limits.MaxOpen=2000"
            + " Limits.Cancelling=true Limits.RetryAfter=true Limits.MaxRetryAfter=2000000 Contract.DrainGrace=2000000"
            + " Contract.ColdShare=0.16 Contract.Cold=18000000 Contract.FallMultiple=2 Contract.OverloadFor=2000000";

    private RefreshTime() {}

    /** A source without events of its own; the benchmark applies its snapshots directly. */
    private static final class ManualSource implements EndpointSource {
        private final List<SourceEndpoint> endpoints;

        ManualSource(List<SourceEndpoint> endpoints) {
            this.endpoints = endpoints;
        }

        @Override
        public String name() {
            return "dns x";
        }

        @Override
        public List<SourceEndpoint> initialEndpoints() {
            return endpoints;
        }

        @Override
        public void start(Consumer<WatchEvent> to) {
            // the benchmark applies the events itself
        }
    }

    /** Runs the three cases and prints their distributions. */
    public static void main(String[] args) throws Exception {
        ((ch.qos.logback.classic.Logger) org.slf4j.LoggerFactory.getLogger("ROOT"))
                .setLevel(ch.qos.logback.classic.Level.WARN);
        System.out.println(
                "microseconds           queries      p50      p99    p99.9      max   refreshes  lock held most");
        for (int round = 0; round < 2; round++) { // the first round warms up the just-in-time compiler
            for (String refreshMode : new String[] {"none", "in pieces", "at once"}) {
                run(refreshMode, round == 1);
            }
        }
    }

    private static List<SourceEndpoint> snapshot(int turn) {
        var all = new ArrayList<SourceEndpoint>();
        for (int i = 0; i < NODES; i++) {
            all.add(new SourceEndpoint("s-" + i, "10.0." + i / 250 + "." + i % 250 + ":3000", i % 2, 0, i % CELLS,
                    WorkerEndpoint.EndpointState.SERVING, 1 + turn % 2, 0, 0));
        }
        return all;
    }

    private static void run(String refreshMode, boolean isPrinted) throws Exception {
        var pairs = new HashMap<String, String>();
        for (String pair : SETTINGS.split(" ")) {
            pairs.put(pair.split("=")[0], pair.split("=")[1]);
        }
        var clock = new MonotonicClock();
        var gatherer = new Gatherer(new SettingsReader(pairs).settings(), 7, clock, NOPLogger.NOP_LOGGER);
        var policy = RegistryPolicy.of(List.of(new SourcePolicy("dns x", false, 0, 1, 20_000)));
        var updater = new EndpointUpdater(policy, clock, gatherer, List.of(new ManualSource(snapshot(0))));
        updater.start();
        var isOver = new AtomicBoolean();
        Thread timers = new Thread(gatherer::runTimers);
        timers.setDaemon(true);
        timers.start();
        var latencyNanos = new Histogram(TimeUnit.SECONDS.toNanos(10), 3);
        var lockHeldNanos = new Histogram(TimeUnit.SECONDS.toNanos(10), 3);
        Thread client = new Thread(() -> runQueries(gatherer, isOver, latencyNanos));
        Thread probe = new Thread(() -> { // the wait for the lock shows how long it is held
            while (!isOver.get()) {
                long startNanos = System.nanoTime();
                gatherer.openQueries();
                lockHeldNanos.recordValue(System.nanoTime() - startNanos);
                java.util.concurrent.locks.LockSupport.parkNanos(200_000);
            }
        });
        client.start();
        probe.start();
        int refreshes = 0;
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PERIOD_MILLIS);
        while (System.nanoTime() < deadlineNanos) {
            refreshes++;
            if (refreshMode.equals("in pieces")) {
                updater.apply(new WatchEvent.EndpointSnapshot("dns x", "" + refreshes, snapshot(refreshes), false));
            } else if (refreshMode.equals("at once")) {
                int turn = refreshes;
                gatherer.control().mergeEndpoints(
                        snapshot(turn).stream().map(e -> new WorkerEndpoint(e.id(), e.address(), e.zone(), e.kind(),
                                e.cell(), e.state(), 1 + turn % 2, 0)).toList());
            }
            Thread.sleep(100);
        }
        isOver.set(true);
        client.join();
        probe.join();
        timers.interrupt();
        if (isPrinted) {
            System.out.printf("refreshed %-10s %9d %8.0f %8.0f %8.0f %8.0f   %9s %15.0f%n", refreshMode,
                    latencyNanos.getTotalCount(),
                    micros(latencyNanos, 50), micros(latencyNanos, 99), micros(latencyNanos, 99.9),
                    micros(latencyNanos, 100),
                    refreshMode.equals("none") ? "-" : "" + refreshes, micros(lockHeldNanos, 100));
        }
    }

    private static double micros(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1e3;
    }

    private static void runQueries(Gatherer gatherer, AtomicBoolean isOver, Histogram to) {
        var workers = new WorkerTransport() {
            @Override
            public void send(Step.Send send) {
                send.attempts().forEach(a -> gatherer.report(a, AttemptOutcome.SERVED, new byte[1]));
            }

            @Override
            public void cancel(Step.Cancel cancel) {
                gatherer.report(cancel.attempt(), cancel.outcome(), null);
            }
        };
        try {
            for (int i = 0; !isOver.get(); i++) {
                long startNanos = System.nanoTime();
                Query query = gatherer.open(new QueryRequest("q" + i, 0, gatherer.now() + 1_500_000, false, null,
                        List.of(new Query.PartRequest(i % CELLS, 0.5, -1),
                                new Query.PartRequest((i + 1) % CELLS, 0.5, -1)),
                        null));
                gatherer.run(query, workers);
                to.recordValue(System.nanoTime() - startNanos);
                Thread.sleep(1);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
