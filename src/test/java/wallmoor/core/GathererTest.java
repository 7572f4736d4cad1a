package wallmoor.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import wallmoor.config.SettingsReader;
import wallmoor.decision.RoutingSettings;
import wallmoor.standin.RecordingLogger;

/** Tests the gatherer with a manual clock and without sockets. */
public class GathererTest {
    static final String SETTINGS = "Classes.count=2 Classes.0.Aim=1000000 Classes.0.GiveUp=2000000"
            + " Classes.0.Repeat=free Classes.0.Worth=1 Classes.0.LateWorth=0.1 Classes.1.Aim=1000000"
            + " Classes.1.GiveUp=2000000 Classes.1.Repeat=single_shot Classes.1.Worth=1 Classes.1.LateWorth=0.1"
            + " Domain.NeedByClass=1,1 Domain.FloorByClass=1,1 Domain.Reach=1 Domain.Sets=1 Domain.Slabs=4"
            + " Discovery=subscribe Instances=1 Position=0 Round=5000 Limits.MaxAttempts=4 Limits.MaxOpen=20"
            + " Limits.Cancelling=true Limits.RetryAfter=true Limits.MaxRetryAfter=2000000 Contract.DrainGrace=2000000"
            + " Contract.ColdShare=0.16 Contract.Cold=18000000 Contract.FallMultiple=2 Contract.OverloadFor=2000000";

    private final AtomicLong clock = new AtomicLong(1_000_000_000);
    private final List<String> log = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private Gatherer gatherer;
    /** The log throws on lines with this prefix, which fails the policy in the middle of a decision. */
    private String throwingPrefix = "none";

    @Before
    public void start() {
        gatherer = new Gatherer(settings(SETTINGS), 7, clock::get, new RecordingLogger(this::log));
        gatherer.control().start(List.of(endpoint("a", WorkerEndpoint.EndpointState.SERVING),
                endpoint("b", WorkerEndpoint.EndpointState.SERVING)));
    }

    static RoutingSettings settings(String text) {
        var pairs = new HashMap<String, String>();
        for (String pair : text.split(" ")) {
            pairs.put(pair.split("=")[0], pair.split("=")[1]);
        }
        return new SettingsReader(pairs).settings();
    }

    private void log(String line) {
        log.add(line);
        if (line.startsWith(throwingPrefix)) {
            throw new IllegalStateException("of the test");
        }
    }

    @After
    public void stop() {
        threads.shutdownNow();
    }

    private static WorkerEndpoint endpoint(String id, WorkerEndpoint.EndpointState state) {
        return new WorkerEndpoint(id, id, 0, 0, 0, state, 1, 0);
    }

    private Query open(String id, int queryClass) {
        return gatherer.open(new QueryRequest(id, queryClass, clock.get() + 2_000_000, false, null,
                List.of(new Query.PartRequest(0, 1, -1)), null));
    }

    private Step awaitStep(Query query) throws Exception {
        Future<Step> step = threads.submit(() -> gatherer.awaitStep(query));
        return step.get(10, TimeUnit.SECONDS);
    }

    /** Advances the clock in steps of 10 ms and runs the due timers after each, so that periodic timers run. */
    private void advanceMillis(long millis) throws Exception {
        for (long t = 0; t < millis; t += 10) {
            clock.addAndGet(10_000);
            gatherer.tick(0);
        }
    }

    @Test
    public void retriesPartOnlyAfterCancelledAttemptHasEnded() throws Exception {
        Query query = open("q", 0);
        var first = (Step.Send) awaitStep(query);
        advanceMillis(700); // no answer for longer than a part may take: the attempt is cancelled
        var cancel = (Step.Cancel) awaitStep(query);
        assertEquals(first.attempts().get(0), cancel.attempt());
        Future<Step> next = threads.submit(() -> gatherer.awaitStep(query));
        Thread.sleep(100);
        assertFalse("no retry while the first attempt is in flight", next.isDone());
        gatherer.report(cancel.attempt(), cancel.outcome(), null);
        var second = (Step.Send) next.get(10, TimeUnit.SECONDS);
        assertFalse(first.worker() == second.worker());
        gatherer.report(second.attempts().get(0), AttemptOutcome.SERVED, new byte[] {7});
        gatherer.report(first.attempts().get(0), AttemptOutcome.SERVED, new byte[] {8}); // its late answer
        var answer = (Step.Answer) awaitStep(query);
        assertTrue(answer.complete());
        assertEquals("only the first report of an attempt counts", 7, answer.values().get(0).bytes()[0]);
    }

    @Test
    public void doesNotSendPendingAttemptToDrainedOrRemovedWorker() throws Exception {
        Query query = open("q", 1);
        gatherer.control().updateEndpoints(false, List.of(endpoint("a", WorkerEndpoint.EndpointState.DRAINING)));
        var send = (Step.Send) awaitStep(query);
        assertEquals("b", send.worker().id());
        Query nextQuery = open("r", 1);
        gatherer.control().updateEndpoints(true, List.of(endpoint("a", WorkerEndpoint.EndpointState.SERVING)));
        assertEquals("a complete list without b removes it", "a", ((Step.Send) awaitStep(nextQuery)).worker().id());
    }

    @Test
    public void rejectsQueriesAboveMaxOpenWithRetryAfter() throws Exception {
        int rejected = 0;
        for (int i = 0; i < 15; i++) {
            Query query = open("q" + i, 0);
            if (awaitStep(query) instanceof Step.Reject reject) {
                assertTrue(reject.retryAfter() > 0);
                assertFalse(reject.attempted());
                rejected++;
            }
        }
        assertTrue(rejected + " rejected", rejected >= 5); // a query and its part count as two of the 20
        assertEquals(15 - rejected, gatherer.openQueries());
    }

    @Test
    public void cancelsInFlightAttemptsOnDisconnectAndAtDeadline() throws Exception {
        Query query = open("q", 1);
        var send = (Step.Send) awaitStep(query);
        gatherer.clientDisconnected(query);
        assertEquals(send.attempts().get(0), ((Step.Cancel) awaitStep(query)).attempt());
        assertTrue(awaitStep(query) instanceof Step.ClientGone);
        gatherer.report(Map.of(send.attempts().get(0), AttemptOutcome.CANCELLED));
        Query late = open("late", 1);
        awaitStep(late);
        advanceMillis(1990);
        assertTrue(awaitStep(late) instanceof Step.Cancel);
        assertTrue("the query may have run: it fails instead of being rejected",
                awaitStep(late) instanceof Step.Fail f && f.timedOut());
        assertEquals(0, gatherer.openQueries());
        assertTrue(log.toString(), log.stream().noneMatch(l -> l.contains("routing policy failed")));
    }

    /** Guards against queries, open at SIGTERM or opened later, that would end after the process. */
    @Test
    public void endsEachQueryByTheLimitOfDeadlines() throws Exception {
        Query open = open("open", 1);
        var send = (Step.Send) awaitStep(open);
        Future<Step> next = threads.submit(() -> gatherer.awaitStep(open));
        gatherer.control().limitDeadlines(clock.get() + 500_000);
        gatherer.control().limitDeadlines(clock.get() + 900_000); // a limit is never raised
        Query later = open("later", 1);
        awaitStep(later);
        advanceMillis(400);
        assertFalse("there is still time", next.isDone());
        advanceMillis(100);
        assertEquals(send.attempts().get(0), ((Step.Cancel) next.get(10, TimeUnit.SECONDS)).attempt());
        assertTrue(awaitStep(open) instanceof Step.Fail f && f.timedOut());
        assertTrue(awaitStep(later) instanceof Step.Cancel);
        assertTrue(awaitStep(later) instanceof Step.Fail f && f.timedOut());
        assertEquals(0, gatherer.openQueries());
    }

    /** The thread of a query is woken to wait for the earlier deadline, even if the policy fails. */
    @Test
    public void failsQueryAtTheLimitOfDeadlinesIfThePolicyFails() throws Exception {
        Query open = open("open", 1);
        awaitStep(open);
        Future<Step> next = threads.submit(() -> gatherer.awaitStep(open));
        Thread.sleep(100); // the thread waits for its deadline 2 s from now
        clock.addAndGet(400_000); // without a tick: the policy does not decide
        gatherer.control().limitDeadlines(clock.get() - 100_000);
        assertTrue(next.get(1, TimeUnit.SECONDS) instanceof Step.Cancel);
    }

    /** The client disconnects between decision and hand-over; the test above covers the other order. */
    @Test
    public void sendsNothingIfClientDisconnectsBeforeHandOver() throws Exception {
        Query query = open("q", 1);
        gatherer.clientDisconnected(query);
        assertTrue("neither a send nor a cancel", awaitStep(query) instanceof Step.ClientGone);
        assertEquals(0, gatherer.openQueriesAndParts());
        Query same = open("q", 1);
        assertTrue("its parts are removed too", awaitStep(same) instanceof Step.Send);
    }

    @Test
    public void sendsNothingIfQueryEndsBeforeHandOver() throws Exception {
        Query query = open("q", 1);
        advanceMillis(1990); // its deadline is over, and no thread has taken a step
        assertTrue("neither a send nor a cancel", awaitStep(query) instanceof Step.FinalStep);
        assertEquals(0, gatherer.openQueriesAndParts());
    }

    @Test
    public void dropsAttemptThatTimesOutBeforeHandOver() throws Exception {
        Query query = open("q", 0);
        advanceMillis(700); // longer than a part may take: the attempt is cancelled, though it was never sent
        var send = (Step.Send) awaitStep(query);
        assertEquals("only the second attempt is sent", 1, send.attempts().size());
        assertFalse(send.attempts().get(0).cancelled);
        gatherer.report(send.attempts().get(0), AttemptOutcome.SERVED, new byte[] {7});
        assertTrue(awaitStep(query) instanceof Step.Answer);
    }

    /** An exception of the transport ends the query's thread; steps that were not handed over are not sent. */
    @Test
    public void cancelsSentAttemptsAndSendsNoMoreIfTransportThrows() throws Exception {
        Query query = gatherer.open(new QueryRequest("q", 0, clock.get() + 2_000_000, false, null,
                List.of(new Query.PartRequest(0, 0.5, -1), new Query.PartRequest(1, 0.5, -1)), null));
        var sent = new ArrayList<Step.Send>();
        var cancelled = new ArrayList<Step.Cancel>();
        try {
            gatherer.run(query, new WorkerTransport() {
                @Override
                public void send(Step.Send send) {
                    sent.add(send);
                    throw new IllegalStateException("no room");
                }

                @Override
                public void cancel(Step.Cancel cancel) {
                    cancelled.add(cancel);
                }
            });
            assertFalse("run must throw", true);
        } catch (IllegalStateException e) {
            assertEquals("no room", e.getMessage());
        }
        assertEquals("the second part is not sent", 1, sent.size());
        assertEquals("attempts that may have been sent are cancelled", sent.get(0).attempts(),
                cancelled.stream().map(Step.Cancel::attempt).toList());
        assertEquals(0, gatherer.openQueriesAndParts());
    }

    /** A reused query id would let a worker see a duplicate while an attempt of the earlier query is in flight. */
    @Test
    public void refusesQueryIdWhilePartsOfEarlierQueryAreInFlight() throws Exception {
        Query query = open("q", 0);
        var send = (Step.Send) awaitStep(query);
        gatherer.clientDisconnected(query);
        var cancel = (Step.Cancel) awaitStep(query);
        assertEquals(null, open("q", 0));
        gatherer.report(cancel.attempt(), cancel.outcome(), null);
        Query secondQuery = open("q", 0);
        var next = (Step.Send) awaitStep(secondQuery);
        gatherer.report(send.attempts().get(0), AttemptOutcome.SERVED, new byte[] {1}); // of the first query
        gatherer.report(next.attempts().get(0), AttemptOutcome.SERVED, new byte[] {2});
        assertEquals(2, ((Step.Answer) awaitStep(secondQuery)).values().get(0).bytes()[0]);
        assertEquals(0, gatherer.retainedEntries());
    }

    /** An exception of the policy is logged; a query that it no longer decides is failed at its deadline. */
    /** Guards against a part that runs twice when its client has left and sends the same id again. */
    @Test
    public void refusesIdOfQueryWhosePartMayHaveRunAndMustNotRunAgain() throws Exception {
        Query query = open("q", 1);
        awaitStep(query);
        gatherer.clientDisconnected(query);
        var cancel = (Step.Cancel) awaitStep(query);
        gatherer.report(cancel.attempt(), AttemptOutcome.CANCELLED, null);
        assertEquals("the cancelled part may have run", null, open("q", 1));
        Query answered = open("answered", 1);
        var send = (Step.Send) awaitStep(answered);
        gatherer.report(send.attempts().get(0), AttemptOutcome.SERVED, new byte[] {1});
        assertTrue(awaitStep(answered) instanceof Step.Answer);
        assertEquals("the part has run", null, open("answered", 1));
        Query unsent = open("unsent", 1);
        var neverSent = (Step.Send) awaitStep(unsent);
        gatherer.clientDisconnected(unsent);
        gatherer.report(neverSent.attempts().get(0), AttemptOutcome.NOT_SENT, null);
        assertFalse("nothing was written", open("unsent", 1) == null);
        clock.addAndGet(EndedQueryIds.RETENTION_MICROS);
        assertFalse("kept for a bounded time", open("q", 1) == null);
    }

    @Test
    public void failsQueryAtDeadlineIfPolicyThrows() throws Exception {
        throwingPrefix = "worker ejected";
        Query query = open("q", 0);
        var send = (Step.Send) awaitStep(query);
        // the policy would log that the worker is ejected
        gatherer.report(send.attempts().get(0), AttemptOutcome.CONNECT_FAILED, null);
        assertTrue(log.toString(), log.stream().anyMatch(l -> l.contains("routing policy failed")));
        clock.addAndGet(2_000_000 + 5_000);
        assertTrue(awaitStep(query) instanceof Step.Fail);
        assertEquals(0, gatherer.retainedEntries());
        throwingPrefix = "none";
        assertTrue("the policy decides the next query", awaitStep(open("r", 0)) instanceof Step.Send);
    }

    /** Attempts in flight when the settings lower the limit end as usual; no further attempt is made. */
    @Test
    public void appliesLowerMaxAttemptsToOpenQueries() throws Exception {
        Query query = open("q", 0);
        var first = (Step.Send) awaitStep(query);
        gatherer.report(first.attempts().get(0), AttemptOutcome.ERROR, null);
        var second = (Step.Send) awaitStep(query);
        gatherer.control().updateSettings(settings(SETTINGS.replace("MaxAttempts=4", "MaxAttempts=1")),
                List.of("any", "once"),
                java.util.Set.of());
        gatherer.report(second.attempts().get(0), AttemptOutcome.ERROR, null);
        assertTrue(awaitStep(query) instanceof Step.FinalStep);
        Query nextQuery = open("r", 0);
        var only = (Step.Send) awaitStep(nextQuery);
        gatherer.control().updateSettings(settings(SETTINGS.replace("MaxAttempts=4", "MaxAttempts=1")),
                List.of("any", "once"),
                java.util.Set.of());
        gatherer.report(only.attempts().get(0), AttemptOutcome.SERVED, new byte[] {1});
        assertTrue(awaitStep(nextQuery) instanceof Step.Answer);
        assertEquals(0, gatherer.retainedEntries());
    }

    /** A ban also applies to a worker that leaves the list and returns; one call lifts it, however often it was set. */
    @Test
    public void banOverridesEndpointListUntilLifted() throws Exception {
        gatherer.control().setBanned("a", true);
        gatherer.control().setBanned("a", true);
        gatherer.control().updateEndpoints(true, List.of(endpoint("b", WorkerEndpoint.EndpointState.SERVING)));
        gatherer.control().updateEndpoints(false, List.of(endpoint("a", WorkerEndpoint.EndpointState.SERVING)));
        assertEquals(new GathererControl.WorkerCounts(2, 1), gatherer.control().workerCounts());
        for (int i = 0; i < 8; i++) {
            assertEquals("b", ((Step.Send) gatherer.awaitStep(open("q" + i, 0))).worker().id());
        }
        gatherer.control().setBanned("a", false);
        gatherer.control().updateEndpoints(true, List.of(endpoint("a", WorkerEndpoint.EndpointState.SERVING)));
        assertEquals("a", ((Step.Send) gatherer.awaitStep(open("back", 0))).worker().id());
        assertTrue(gatherer.control().isKnownWorker("b")); // was removed from the list
        assertFalse(gatherer.control().isKnownWorker("c"));
    }

    private interface EndpointUpdates {
        void apply(int round);
    }

    /** Asserts that a thread without the lock, as that of a connection, never sees the worker serve during updates. */
    private void assertNeverServes(Worker worker, EndpointUpdates updates) throws Exception {
        var stopped = new AtomicBoolean();
        var observerStarted = new CountDownLatch(1);
        Future<Boolean> observed = threads.submit(() -> {
            boolean serving = worker.isServing();
            observerStarted.countDown();
            while (!stopped.get()) {
                serving |= worker.isServing();
            }
            return serving;
        });
        observerStarted.await();
        for (int i = 0; i < 20_000; i++) {
            updates.apply(i);
        }
        stopped.set(true);
        assertFalse(observed.get());
    }

    /** A drain, a removal and a complete list without the worker take effect at once and stay, also if repeated. */
    @Test
    public void drainedOrRemovedWorkerNeverAppearsServing() throws Exception {
        Worker worker = workerOf("a");
        gatherer.control().updateEndpoints(false, List.of(endpoint("a", WorkerEndpoint.EndpointState.DRAINING)));
        assertFalse(worker.isServing());
        assertNeverServes(worker, i -> gatherer.control().updateEndpoints(i % 2 == 0,
                List.of(endpoint("a", WorkerEndpoint.EndpointState.DRAINING),
                        endpoint("b", WorkerEndpoint.EndpointState.SERVING))));
        assertNeverServes(worker, i -> { // listed twice: only the last entry counts
            gatherer.control().updateEndpoints(false, List.of(endpoint("a", WorkerEndpoint.EndpointState.SERVING),
                    endpoint("a", WorkerEndpoint.EndpointState.DRAINING)));
        });
        gatherer.control().updateEndpoints(true, List.of(endpoint("b", WorkerEndpoint.EndpointState.SERVING)));
        assertFalse(worker.isServing());
        assertNeverServes(worker, i -> { // returns under the same id: attempts for the old worker object are not sent
            gatherer.control().updateEndpoints(false, List.of(endpoint("a", WorkerEndpoint.EndpointState.SERVING)));
            gatherer.control().updateEndpoints(i % 2 == 0,
                    i % 2 == 0 ? List.of(endpoint("b", WorkerEndpoint.EndpointState.SERVING))
                            : List.of(endpoint("a", WorkerEndpoint.EndpointState.GONE)));
        });
        assertTrue(log.toString(), log.stream().noneMatch(l -> l.contains("routing policy failed")));
    }

    /** A worker that stays in a complete list must serve throughout the update, or calls to it would be withdrawn. */
    @Test
    public void workerInCompleteListAlwaysAppearsServing() throws Exception {
        Worker worker = workerOf("a");
        var stopped = new AtomicBoolean();
        Future<Boolean> alwaysServing = threads.submit(() -> {
            boolean serving = true;
            while (!stopped.get()) {
                serving &= worker.isServing();
            }
            return serving;
        });
        for (int i = 0; i < 20_000; i++) {
            gatherer.control().updateEndpoints(true,
                    i % 2 == 0 ? List.of(endpoint("a", WorkerEndpoint.EndpointState.SERVING))
                            : List.of(endpoint("b", WorkerEndpoint.EndpointState.SERVING),
                                    endpoint("a", WorkerEndpoint.EndpointState.GONE),
                                    endpoint("a", WorkerEndpoint.EndpointState.SERVING)));
        }
        stopped.set(true);
        assertTrue(alwaysServing.get());
        gatherer.control().updateEndpoints(true, List.of(endpoint("a", WorkerEndpoint.EndpointState.SERVING)));
        assertEquals("a", ((Step.Send) awaitStep(open("still", 0))).worker().id());
    }

    /** A drain and a ban, in both orders: ending one does not end the other. */
    @Test
    public void banAndDrainAreIndependent() throws Exception {
        Worker worker = workerOf("a");
        gatherer.control().setBanned("a", true);
        gatherer.control().updateEndpoints(false, List.of(endpoint("a", WorkerEndpoint.EndpointState.DRAINING)));
        gatherer.control().setBanned("a", false);
        assertFalse("still draining by the list", worker.isServing());
        gatherer.control().setBanned("a", true);
        gatherer.control().updateEndpoints(false, List.of(endpoint("a", WorkerEndpoint.EndpointState.SERVING)));
        assertFalse("still banned", worker.isServing());
        gatherer.control().updateEndpoints(false, List.of(endpoint("a", WorkerEndpoint.EndpointState.GONE)));
        gatherer.control().setBanned("a", false); // of a removed worker
        gatherer.control().updateEndpoints(false, List.of(endpoint("a", WorkerEndpoint.EndpointState.SERVING)));
        assertFalse(worker.isServing());
        assertTrue("a new entry with the same id", workerOf("a").isServing());
    }

    private Worker workerOf(String id) throws Exception {
        for (int i = 0; i < 50; i++) {
            Query query = open("find-" + i, 0);
            var send = (Step.Send) awaitStep(query);
            gatherer.clientDisconnected(query);
            gatherer.report(Map.of(send.attempts().get(0), AttemptOutcome.CANCELLED));
            if (send.worker().id().equals(id)) {
                return send.worker();
            }
            advanceMillis(20);
        }
        throw new AssertionError("no query is sent to " + id);
    }
}
