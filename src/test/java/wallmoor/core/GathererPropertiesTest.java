package wallmoor.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.Test;
import wallmoor.standin.RecordingLogger;

/**
 * In any order of queries, answers, disconnects, endpoint changes and time, each query ends exactly once and the
 * gatherer's tables are empty afterwards.
 */
public class GathererPropertiesTest {
    private static final int SEEDS = 200;
    private static final int EVENTS = 300;
    private static final int THREADS = 8;
    private static final int QUERIES_PER_THREAD = 60;
    private static final List<WorkerEndpoint.EndpointState> ENDPOINT_STATES = List
            .of(WorkerEndpoint.EndpointState.values());
    private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

    private final AtomicLong clock = new AtomicLong(1_000_000_000);
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private final Gatherer gatherer = new Gatherer(GathererTest.settings(GathererTest.SETTINGS.replace("MaxOpen=20",
            "MaxOpen=200")), 7, clock::get, new RecordingLogger(log::add));

    private static WorkerEndpoint endpoint(String id, WorkerEndpoint.EndpointState state) {
        return new WorkerEndpoint(id, id, 0, 0, 0, state, 1, 0);
    }

    private void start() {
        gatherer.control().start(List.of(endpoint("a", WorkerEndpoint.EndpointState.SERVING),
                endpoint("b", WorkerEndpoint.EndpointState.SERVING),
                endpoint("c", WorkerEndpoint.EndpointState.SERVING)));
    }

    private Query open(String id, int queryClass, int parts) {
        var requests = new ArrayList<Query.PartRequest>();
        for (int shard = 0; shard < parts; shard++) {
            requests.add(new Query.PartRequest(shard, 1.0 / parts, -1));
        }
        return gatherer.open(new QueryRequest(id, queryClass, clock.get() + 2_000_000, false, null, requests, null));
    }

    /** The open queries and in-flight attempts of one random run, as a front and its workers would see them. */
    private final class Run {
        final Random random;
        final List<Query> open = new ArrayList<>();
        final List<Attempt> inFlight = new ArrayList<>();
        final Set<String> partsInFlight = new HashSet<>();
        int opened;
        int ended;

        Run(long seed) {
            random = new Random(seed);
        }

        void runRandomEvent() throws Exception {
            switch (random.nextInt(8)) {
                case 0, 1 -> {
                    Query query = open("q" + random.nextInt(40), random.nextInt(2), 1 + random.nextInt(3));
                    if (query != null) {
                        open.add(query);
                        opened++;
                    }
                }
                case 2 -> {
                    if (!open.isEmpty()) {
                        gatherer.clientDisconnected(open.get(random.nextInt(open.size())));
                    }
                }
                case 3, 4 -> {
                    if (!inFlight.isEmpty()) {
                        end(inFlight.get(random.nextInt(inFlight.size())), OUTCOMES[random.nextInt(OUTCOMES.length)]);
                    }
                }
                case 5 -> {
                    clock.addAndGet(random.nextInt(60_000));
                    gatherer.tick(0);
                }
                case 6 ->
                    gatherer.control().updateEndpoints(false, List.of(endpoint("" + (char) ('a' + random.nextInt(3)),
                            ENDPOINT_STATES.get(random.nextInt(3)))));
                default -> {
                    if (!open.isEmpty()) {
                        takeAvailableSteps(open.get(random.nextInt(open.size())));
                    }
                }
            }
        }

        void end(Attempt attempt, AttemptOutcome outcome) {
            inFlight.remove(attempt);
            partsInFlight.remove(attempt.partId());
            gatherer.report(attempt, outcome, outcome == AttemptOutcome.SERVED ? new byte[] {1} : null);
            if (random.nextInt(4) == 0) {
                gatherer.report(attempt, OUTCOMES[random.nextInt(OUTCOMES.length)], new byte[] {2}); // reported twice
            }
        }

        /** Takes the steps that are available now, without waiting for further ones. */
        void takeAvailableSteps(Query query) throws Exception {
            while (query.finalStep != null || !query.steps.isEmpty()) {
                Step step = pollStep(query);
                if (step instanceof Step.FinalStep) {
                    open.remove(query);
                    ended++;
                    return;
                }
                if (step == null) {
                    return;
                }
                take(step);
            }
        }

        private Step pollStep(Query query) throws InterruptedException {
            Thread.currentThread().interrupt(); // ends a wait at once
            try {
                return gatherer.awaitStep(query);
            } catch (InterruptedException e) {
                return null;
            } finally {
                Thread.interrupted();
            }
        }

        private void take(Step step) {
            if (step instanceof Step.Send send) {
                for (Attempt attempt : send.attempts()) {
                    assertEquals(SendPermission.GRANTED,
                            attempt.checkPermission(clock.get(), attempt.worker().address()));
                    assertTrue("a duplicate attempt of a part", partsInFlight.add(attempt.partId()));
                    inFlight.add(attempt);
                }
            } else if (step instanceof Step.Cancel cancel) {
                assertTrue("a cancel of an attempt that is not in flight", inFlight.contains(cancel.attempt()));
                end(cancel.attempt(), cancel.outcome());
            }
        }

        void finish() throws Exception {
            for (Query query : List.copyOf(open)) {
                gatherer.clientDisconnected(query);
                takeAvailableSteps(query);
            }
            List.copyOf(inFlight).forEach(a -> end(a, AttemptOutcome.RESET));
            assertEquals("each query ends once", opened, ended);
            assertEquals(0, gatherer.openQueriesAndParts());
            assertEquals(0, gatherer.retainedEntries());
            assertEquals(List.of(), log.stream().filter(l -> l.contains("routing policy failed")).toList());
        }
    }

    @Test
    public void endsEachQueryOnceAndRetainsNothingInAnyOrderOfEvents() throws Exception {
        start();
        for (int seed = 0; seed < SEEDS; seed++) {
            var run = new Run(seed);
            try {
                for (int i = 0; i < EVENTS; i++) {
                    run.runRandomEvent();
                }
                run.finish();
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
    }

    /** Queues each attempt for the thread that answers, and records a fault for a duplicate attempt of a part. */
    private final class QueueingWorkers implements WorkerTransport {
        private final Deque<Attempt> unansweredAttempts;
        private final Set<String> partsInFlight;
        private final List<String> faults;

        QueueingWorkers(Deque<Attempt> unansweredAttempts, Set<String> partsInFlight, List<String> faults) {
            this.unansweredAttempts = unansweredAttempts;
            this.partsInFlight = partsInFlight;
            this.faults = faults;
        }

        @Override
        public void send(Step.Send send) {
            synchronized (unansweredAttempts) {
                for (Attempt attempt : send.attempts()) {
                    if (!partsInFlight.add(attempt.partId())) {
                        faults.add("a duplicate attempt of " + attempt.partId());
                    }
                    unansweredAttempts.add(attempt);
                }
                unansweredAttempts.notifyAll();
            }
        }

        @Override
        public void cancel(Step.Cancel cancel) {
            boolean unanswered;
            synchronized (unansweredAttempts) {
                unanswered = unansweredAttempts.remove(cancel.attempt());
            }
            if (unanswered) { // otherwise its answer is already on its way
                partsInFlight.remove(cancel.attempt().partId());
                gatherer.report(cancel.attempt(), cancel.outcome(), null);
            }
        }
    }

    /** Queries, answers and disconnects come from separate threads. */
    @Test(timeout = 60_000)
    public void endsEachQueryOnceAndRetainsNothingWithConcurrentThreads() throws Exception {
        start();
        var endedQueries = new AtomicInteger();
        var faults = Collections.synchronizedList(new ArrayList<String>());
        var partsInFlight = ConcurrentHashMap.<String>newKeySet();
        var unansweredAttempts = new ArrayDeque<Attempt>();
        var threads = new ArrayList<Thread>();
        var timers = new Thread(gatherer::runTimers);
        timers.start();
        var finishedThreads = new AtomicInteger();
        for (int t = 0; t < THREADS; t++) {
            int number = t;
            threads.add(new Thread(() -> {
                var random = new Random(number);
                try {
                    for (int i = 0; i < QUERIES_PER_THREAD; i++) {
                        Query query = open(number + "-" + i, random.nextInt(2), 1 + random.nextInt(3));
                        var disconnect = random.nextInt(3) == 0
                                ? new Thread(() -> gatherer.clientDisconnected(query))
                                : null;
                        if (disconnect != null) {
                            disconnect.start();
                        }
                        gatherer.run(query, new QueueingWorkers(unansweredAttempts, partsInFlight, faults));
                        endedQueries.incrementAndGet();
                        if (disconnect != null) {
                            disconnect.join();
                        }
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                } catch (RuntimeException e) {
                    faults.add(e.toString());
                } finally {
                    finishedThreads.incrementAndGet();
                }
            }));
        }
        threads.forEach(Thread::start);
        var random = new Random(1);
        while (finishedThreads.get() < THREADS) {
            Attempt next;
            synchronized (unansweredAttempts) {
                next = unansweredAttempts.poll();
                if (next == null) {
                    unansweredAttempts.wait(5);
                    clock.addAndGet(1_000);
                }
            }
            if (next != null) {
                clock.addAndGet(random.nextInt(500));
                partsInFlight.remove(next.partId());
                AttemptOutcome outcome = random.nextInt(4) == 0 ? OUTCOMES[random.nextInt(OUTCOMES.length)]
                        : AttemptOutcome.SERVED;
                gatherer.report(next, outcome, new byte[] {1});
            }
        }
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(10));
        }
        for (Attempt next = unansweredAttempts.poll(); next != null; next = unansweredAttempts.poll()) {
            gatherer.report(next, AttemptOutcome.RESET, null);
        }
        timers.interrupt();
        timers.join();
        assertEquals(List.of(), faults);
        assertEquals(THREADS * QUERIES_PER_THREAD, endedQueries.get());
        assertEquals(0, gatherer.openQueriesAndParts());
        assertEquals(0, gatherer.retainedEntries());
        assertEquals(List.of(), log.stream().filter(l -> l.contains("routing policy failed")).toList());
    }
}
