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
 * After any order of queries, answers, clients that leave, drains and time, each query had one end and nothing is kept.
 */
public class GathererPropertiesTest {
    private static final int SEEDS = 200;
    private static final int EVENTS = 300;
    private static final int THREADS = 8;
    private static final int QUERIES_EACH = 60;
    private static final List<WorkerEndpoint.EndpointState> ENDPOINT_STATES = List
            .of(WorkerEndpoint.EndpointState.values());
    private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

    private final AtomicLong clock = new AtomicLong(1_000_000_000);
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private final Gatherer gatherer = new Gatherer(GathererTest.settings(GathererTest.SETTINGS.replace("MaxOpen=20",
            "MaxOpen=200")), 7, clock::get, new RecordingLogger(log::add));

    private static WorkerEndpoint member(String id, WorkerEndpoint.EndpointState state) {
        return new WorkerEndpoint(id, id, 0, 0, 0, state, 1, 0);
    }

    private void start() {
        gatherer.control().start(List.of(member("a", WorkerEndpoint.EndpointState.SERVING),
                member("b", WorkerEndpoint.EndpointState.SERVING),
                member("c", WorkerEndpoint.EndpointState.SERVING)));
    }

    private Query open(String id, int queryClass, int parts) {
        var asks = new ArrayList<Query.PartRequest>();
        for (int shard = 0; shard < parts; shard++) {
            asks.add(new Query.PartRequest(shard, 1.0 / parts, -1));
        }
        return gatherer.open(id, queryClass, clock.get() + 2_000_000, false, asks, null);
    }

    /** One run's queries and what is out, as a front and its workers would have them. */
    private final class Run {
        final Random random;
        final List<Query> open = new ArrayList<>();
        final List<Attempt> out = new ArrayList<>();
        final Set<String> copies = new HashSet<>();
        int opened;
        int ended;

        Run(long seed) {
            random = new Random(seed);
        }

        void event() throws Exception {
            switch (random.nextInt(8)) {
                case 0, 1 -> {
                    Query q = open("q" + random.nextInt(40), random.nextInt(2), 1 + random.nextInt(3));
                    if (q != null) {
                        open.add(q);
                        opened++;
                    }
                }
                case 2 -> {
                    if (!open.isEmpty()) {
                        gatherer.clientDisconnected(open.get(random.nextInt(open.size())));
                    }
                }
                case 3, 4 -> {
                    if (!out.isEmpty()) {
                        end(out.get(random.nextInt(out.size())), OUTCOMES[random.nextInt(OUTCOMES.length)]);
                    }
                }
                case 5 -> {
                    clock.addAndGet(random.nextInt(60_000));
                    gatherer.tick(0);
                }
                case 6 ->
                    gatherer.control().updateEndpoints(false, List.of(member("" + (char) ('a' + random.nextInt(3)),
                            ENDPOINT_STATES.get(random.nextInt(3)))));
                default -> {
                    if (!open.isEmpty()) {
                        pickAll(open.get(random.nextInt(open.size())));
                    }
                }
            }
        }

        void end(Attempt a, AttemptOutcome how) {
            out.remove(a);
            copies.remove(a.partId());
            gatherer.report(a, how, how == AttemptOutcome.SERVED ? new byte[] {1} : null);
            if (random.nextInt(4) == 0) {
                gatherer.report(a, OUTCOMES[random.nextInt(OUTCOMES.length)], new byte[] {2}); // told twice
            }
        }

        /** Hands out what is there now; where nothing is, {@code pick} would wait. */
        void pickAll(Query q) throws Exception {
            while (q.finalStep != null || !q.steps.isEmpty()) {
                Step step = pickNow(q);
                if (step instanceof Step.FinalStep) {
                    open.remove(q);
                    ended++;
                    return;
                }
                if (step == null) {
                    return;
                }
                take(step);
            }
        }

        private Step pickNow(Query q) throws InterruptedException {
            Thread.currentThread().interrupt(); // so that a wait ends at once
            try {
                return gatherer.awaitStep(q);
            } catch (InterruptedException e) {
                return null;
            } finally {
                Thread.interrupted();
            }
        }

        private void take(Step step) {
            if (step instanceof Step.Send send) {
                for (Attempt a : send.attempts()) {
                    assertEquals(SendPermission.GRANTED, a.checkPermission(clock.get(), a.worker().address()));
                    assertTrue("a second copy", copies.add(a.partId()));
                    out.add(a);
                }
            } else if (step instanceof Step.Cancel cancel) {
                assertTrue("an end of what is not out", out.contains(cancel.attempt()));
                end(cancel.attempt(), cancel.outcome());
            }
        }

        void finish() throws Exception {
            for (Query q : List.copyOf(open)) {
                gatherer.clientDisconnected(q);
                pickAll(q);
            }
            List.copyOf(out).forEach(a -> end(a, AttemptOutcome.RESET));
            assertEquals("one end each", opened, ended);
            assertEquals(0, gatherer.openQueriesAndParts());
            assertEquals(0, gatherer.retainedEntries());
            assertEquals(List.of(), log.stream().filter(l -> l.contains("routing policy failed")).toList());
        }
    }

    @Test
    public void inAnyOrderEachQueryEndsOnceAndNothingIsKept() throws Exception {
        start();
        for (int seed = 0; seed < SEEDS; seed++) {
            var run = new Run(seed);
            try {
                for (int i = 0; i < EVENTS; i++) {
                    run.event();
                }
                run.finish();
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
    }

    /** Workers that queue each attempt for whoever answers, and note a second copy of a part. */
    private final class QueueingWorkers implements WorkerTransport {
        private final Deque<Attempt> answers;
        private final Set<String> copies;
        private final List<String> faults;

        QueueingWorkers(Deque<Attempt> answers, Set<String> copies, List<String> faults) {
            this.answers = answers;
            this.copies = copies;
            this.faults = faults;
        }

        @Override
        public void send(Step.Send send) {
            synchronized (answers) {
                for (Attempt a : send.attempts()) {
                    if (!copies.add(a.partId())) {
                        faults.add("a second copy of " + a.partId());
                    }
                    answers.add(a);
                }
                answers.notifyAll();
            }
        }

        @Override
        public void cancel(Step.Cancel cancel) {
            boolean here;
            synchronized (answers) {
                here = answers.remove(cancel.attempt());
            }
            if (here) { // else its answer is on its way
                copies.remove(cancel.attempt().partId());
                gatherer.report(cancel.attempt(), cancel.outcome(), null);
            }
        }
    }

    /** The same with a thread a query, workers that answer from others, and clients that leave from yet others. */
    @Test(timeout = 60_000)
    public void withThreadsEachQueryEndsOnceAndNothingIsKept() throws Exception {
        start();
        var ends = new AtomicInteger();
        var faults = Collections.synchronizedList(new ArrayList<String>());
        var copies = ConcurrentHashMap.<String>newKeySet();
        var answers = new ArrayDeque<Attempt>();
        var threads = new ArrayList<Thread>();
        var timers = new Thread(gatherer::runTimers);
        timers.start();
        var over = new AtomicInteger();
        for (int t = 0; t < THREADS; t++) {
            int number = t;
            threads.add(new Thread(() -> {
                var random = new Random(number);
                try {
                    for (int i = 0; i < QUERIES_EACH; i++) {
                        Query q = open(number + "-" + i, random.nextInt(2), 1 + random.nextInt(3));
                        var leaves = random.nextInt(3) == 0 ? new Thread(() -> gatherer.clientDisconnected(q)) : null;
                        if (leaves != null) {
                            leaves.start();
                        }
                        gatherer.run(q, new QueueingWorkers(answers, copies, faults));
                        ends.incrementAndGet();
                        if (leaves != null) {
                            leaves.join();
                        }
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                } catch (RuntimeException e) {
                    faults.add(e.toString());
                } finally {
                    over.incrementAndGet();
                }
            }));
        }
        threads.forEach(Thread::start);
        var random = new Random(1);
        while (over.get() < THREADS) {
            Attempt next;
            synchronized (answers) {
                next = answers.poll();
                if (next == null) {
                    answers.wait(5);
                    clock.addAndGet(1_000);
                }
            }
            if (next != null) {
                clock.addAndGet(random.nextInt(500));
                copies.remove(next.partId());
                AttemptOutcome how = random.nextInt(4) == 0 ? OUTCOMES[random.nextInt(OUTCOMES.length)]
                        : AttemptOutcome.SERVED;
                gatherer.report(next, how, new byte[] {1});
            }
        }
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(10));
        }
        for (Attempt next = answers.poll(); next != null; next = answers.poll()) {
            gatherer.report(next, AttemptOutcome.RESET, null);
        }
        timers.interrupt();
        timers.join();
        assertEquals(List.of(), faults);
        assertEquals(THREADS * QUERIES_EACH, ends.get());
        assertEquals(0, gatherer.openQueriesAndParts());
        assertEquals(0, gatherer.retainedEntries());
        assertEquals(List.of(), log.stream().filter(l -> l.contains("routing policy failed")).toList());
    }
}
