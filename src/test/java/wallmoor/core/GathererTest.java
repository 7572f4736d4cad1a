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

/** The facade with a hand-turned clock and no sockets. */
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
    /** Lines that begin so make the log throw, in the midst of a decision. */
    private String failing = "none";

    @Before
    public void start() {
        gatherer = new Gatherer(settings(SETTINGS), 7, clock::get, new RecordingLogger(this::log));
        gatherer.control().start(List.of(member("a", WorkerEndpoint.EndpointState.SERVING),
                member("b", WorkerEndpoint.EndpointState.SERVING)));
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
        if (line.startsWith(failing)) {
            throw new IllegalStateException("of the test");
        }
    }

    @After
    public void stop() {
        threads.shutdownNow();
    }

    private static WorkerEndpoint member(String id, WorkerEndpoint.EndpointState state) {
        return new WorkerEndpoint(id, id, 0, 0, 0, state, 1, 0);
    }

    private Query open(String id, int queryClass) {
        return gatherer.open(id, queryClass, clock.get() + 2_000_000, false,
                List.of(new Query.PartRequest(0, 1, -1)), null);
    }

    private Step pick(Query query) throws Exception {
        Future<Step> step = threads.submit(() -> gatherer.awaitStep(query));
        return step.get(10, TimeUnit.SECONDS);
    }

    /** Lets time go on in the steps that the sweeps need. */
    private void pass(long millis) throws Exception {
        for (long t = 0; t < millis; t += 10) {
            clock.addAndGet(10_000);
            gatherer.tick(0);
        }
    }

    @Test
    public void aPartIsNotSentAgainBeforeTheFirstIsSeenToHaveEnded() throws Exception {
        Query q = open("q", 0);
        var first = (Step.Send) pick(q);
        pass(700); // silent for longer than a part may take: it is called off
        var cancel = (Step.Cancel) pick(q);
        assertEquals(first.attempts().get(0), cancel.attempt());
        Future<Step> next = threads.submit(() -> gatherer.awaitStep(q));
        Thread.sleep(100);
        assertFalse("a second copy would be out", next.isDone());
        gatherer.report(cancel.attempt(), cancel.outcome(), null);
        var second = (Step.Send) next.get(10, TimeUnit.SECONDS);
        assertFalse(first.worker() == second.worker());
        gatherer.report(second.attempts().get(0), AttemptOutcome.SERVED, new byte[] {7});
        gatherer.report(first.attempts().get(0), AttemptOutcome.SERVED, new byte[] {8}); // its answer crossed its end
        var answer = (Step.Answer) pick(q);
        assertTrue(answer.complete());
        assertEquals("only the first report of an attempt counts", 7, answer.values().get(0).bytes()[0]);
    }

    @Test
    public void aDrainHoldsForWhatWasDecidedButNotYetPicked() throws Exception {
        Query q = open("q", 1);
        gatherer.control().updateEndpoints(false, List.of(member("a", WorkerEndpoint.EndpointState.DRAINING)));
        var send = (Step.Send) pick(q);
        assertEquals("b", send.worker().id());
        Query r = open("r", 1);
        gatherer.control().updateEndpoints(true, List.of(member("a", WorkerEndpoint.EndpointState.SERVING)));
        assertEquals("b is gone from a whole list", "a", ((Step.Send) pick(r)).worker().id());
    }

    @Test
    public void moreThanMayBeHeldIsRefusedAtOnceWithATime() throws Exception {
        int refused = 0;
        for (int i = 0; i < 15; i++) {
            Query q = open("q" + i, 0);
            if (pick(q) instanceof Step.Reject r) {
                assertTrue(r.retryAfter() > 0);
                assertFalse(r.attempted());
                refused++;
            }
        }
        assertTrue(refused + " refused", refused >= 5); // a query and its part count as two of the 20
        assertEquals(15 - refused, gatherer.openQueries());
    }

    @Test
    public void aClientThatLeavesAndADeadlineCallOffWhatIsOut() throws Exception {
        Query q = open("q", 1);
        var send = (Step.Send) pick(q);
        gatherer.clientDisconnected(q);
        assertEquals(send.attempts().get(0), ((Step.Cancel) pick(q)).attempt());
        assertTrue(pick(q) instanceof Step.ClientGone);
        gatherer.report(Map.of(send.attempts().get(0), AttemptOutcome.CANCELLED));
        Query late = open("late", 1);
        pick(late);
        pass(1990);
        assertTrue(pick(late) instanceof Step.Cancel);
        assertTrue("it may have run: no refusal", pick(late) instanceof Step.Fail f && f.timedOut());
        assertEquals(0, gatherer.openQueries());
        assertTrue(log.toString(), log.stream().noneMatch(l -> l.contains("routing policy failed")));
    }

    /** The client leaves between the decision and the hand-over. The other order is the test above. */
    @Test
    public void aClientThatLeavesBeforeTheHandOverLeavesNothingToSend() throws Exception {
        Query q = open("q", 1);
        gatherer.clientDisconnected(q);
        assertTrue("no call, and no end of one", pick(q) instanceof Step.ClientGone);
        assertEquals(0, gatherer.openQueriesAndParts());
        Query same = open("q", 1);
        assertTrue("its parts are forgotten too", pick(same) instanceof Step.Send);
    }

    @Test
    public void anAnswerThatIsSettledBeforeTheHandOverLeavesNothingToSend() throws Exception {
        Query q = open("q", 1);
        pass(1990); // its time is over, and no thread has picked anything
        assertTrue("no call, and no end of one", pick(q) instanceof Step.FinalStep);
        assertEquals(0, gatherer.openQueriesAndParts());
    }

    @Test
    public void anAttemptThatIsCalledOffBeforeTheHandOverIsNotHandedOut() throws Exception {
        Query q = open("q", 0);
        pass(700); // silent for longer than a part may take: it is called off, though it never went out
        var send = (Step.Send) pick(q);
        assertEquals("the first was never sent, the second is", 1, send.attempts().size());
        assertFalse(send.attempts().get(0).cancelled);
        gatherer.report(send.attempts().get(0), AttemptOutcome.SERVED, new byte[] {7});
        assertTrue(pick(q) instanceof Step.Answer);
    }

    /** An exception ends the query's thread: what it had not handed over stays here. */
    @Test
    public void aThreadThatFailsHandsNothingMoreOut() throws Exception {
        Query q = gatherer.open("q", 0, clock.get() + 2_000_000, false,
                List.of(new Query.PartRequest(0, 0.5, -1), new Query.PartRequest(1, 0.5, -1)), null);
        var sent = new ArrayList<Step.Send>();
        var cancelled = new ArrayList<Step.Cancel>();
        try {
            gatherer.run(q, new WorkerTransport() {
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
            assertFalse("it failed", true);
        } catch (IllegalStateException e) {
            assertEquals("no room", e.getMessage());
        }
        assertEquals("the second part stays here", 1, sent.size());
        assertEquals("what may be out is called off", sent.get(0).attempts(),
                cancelled.stream().map(Step.Cancel::attempt).toList());
        assertEquals(0, gatherer.openQueriesAndParts());
    }

    /** An id that comes again while an attempt under it is still out: a worker would see a second copy. */
    @Test
    public void anIdIsNotTakenAgainWhileItsPartsAreOut() throws Exception {
        Query q = open("q", 1);
        var send = (Step.Send) pick(q);
        gatherer.clientDisconnected(q);
        var cancel = (Step.Cancel) pick(q);
        assertEquals(null, open("q", 1));
        gatherer.report(cancel.attempt(), cancel.outcome(), null);
        Query again = open("q", 1);
        var next = (Step.Send) pick(again);
        gatherer.report(send.attempts().get(0), AttemptOutcome.SERVED, new byte[] {1}); // late: it is that of the first
        gatherer.report(next.attempts().get(0), AttemptOutcome.SERVED, new byte[] {2});
        assertEquals(2, ((Step.Answer) pick(again)).values().get(0).bytes()[0]);
        assertEquals(0, gatherer.retainedEntries());
    }

    /** What the module throws is logged; a query that it no longer decides gets its answer when its time is over. */
    @Test
    public void anExceptionOfTheModuleLeavesNoQueryWithoutItsAnswer() throws Exception {
        failing = "worker ejected";
        Query q = open("q", 0);
        var send = (Step.Send) pick(q);
        // the module would log that it is ejected
        gatherer.report(send.attempts().get(0), AttemptOutcome.CONNECT_FAILED, null);
        assertTrue(log.toString(), log.stream().anyMatch(l -> l.contains("routing policy failed")));
        clock.addAndGet(2_000_000 + 5_000);
        assertTrue(pick(q) instanceof Step.Fail);
        assertEquals(0, gatherer.retainedEntries());
        failing = "none";
        assertTrue("the next one is decided", pick(open("r", 0)) instanceof Step.Send);
    }

    /** What is out when the settings allow fewer attempts ends as ever; no further one is made. */
    @Test
    public void fewerAttemptsAreAllowedWhileSomeAreOut() throws Exception {
        Query q = open("q", 0);
        var first = (Step.Send) pick(q);
        gatherer.report(first.attempts().get(0), AttemptOutcome.ERROR, null);
        var second = (Step.Send) pick(q);
        gatherer.control().updateSettings(settings(SETTINGS.replace("MaxAttempts=4", "MaxAttempts=1")),
                List.of("any", "once"),
                java.util.Set.of());
        gatherer.report(second.attempts().get(0), AttemptOutcome.ERROR, null);
        assertTrue(pick(q) instanceof Step.FinalStep);
        Query r = open("r", 0);
        var only = (Step.Send) pick(r);
        gatherer.control().updateSettings(settings(SETTINGS.replace("MaxAttempts=4", "MaxAttempts=1")),
                List.of("any", "once"),
                java.util.Set.of());
        gatherer.report(only.attempts().get(0), AttemptOutcome.SERVED, new byte[] {1});
        assertTrue(pick(r) instanceof Step.Answer);
        assertEquals(0, gatherer.retainedEntries());
    }

    /** A ban holds over all that lists say, also for a node that leaves them and comes back; one call lifts it. */
    @Test
    public void aBanStandsAboveTheList() throws Exception {
        gatherer.control().setBanned("a", true);
        gatherer.control().setBanned("a", true);
        gatherer.control().updateEndpoints(true, List.of(member("b", WorkerEndpoint.EndpointState.SERVING)));
        gatherer.control().updateEndpoints(false, List.of(member("a", WorkerEndpoint.EndpointState.SERVING)));
        assertEquals(new GathererControl.WorkerCounts(2, 1), gatherer.control().workerCounts());
        for (int i = 0; i < 8; i++) {
            assertEquals("b", ((Step.Send) gatherer.awaitStep(open("q" + i, 0))).worker().id());
        }
        gatherer.control().setBanned("a", false);
        gatherer.control().updateEndpoints(true, List.of(member("a", WorkerEndpoint.EndpointState.SERVING)));
        assertEquals("a", ((Step.Send) gatherer.awaitStep(open("back", 0))).worker().id());
        assertTrue(gatherer.control().isKnownWorker("b")); // formerly
        assertFalse(gatherer.control().isKnownWorker("c"));
    }

    private interface Lists {
        void tell(int round);
    }

    /** Who looks on while lists are told, as the writers of connections do, never sees this worker serve. */
    private void neverServes(Worker worker, Lists lists) throws Exception {
        var over = new AtomicBoolean();
        var looking = new CountDownLatch(1);
        Future<Boolean> seen = threads.submit(() -> {
            boolean served = worker.isServing();
            looking.countDown();
            while (!over.get()) {
                served |= worker.isServing();
            }
            return served;
        });
        looking.await();
        for (int i = 0; i < 20_000; i++) {
            lists.tell(i);
        }
        over.set(true);
        assertFalse(seen.get());
    }

    /**
     * A drain, a removal and a whole list that leaves it out hold at once and for good, also where it is told again.
     */
    @Test
    public void whatWasDrainedOrRemovedIsAtNoMomentSeenToServe() throws Exception {
        Worker a = workerOf("a");
        gatherer.control().updateEndpoints(false, List.of(member("a", WorkerEndpoint.EndpointState.DRAINING)));
        assertFalse(a.isServing());
        neverServes(a, i -> gatherer.control().updateEndpoints(i % 2 == 0,
                List.of(member("a", WorkerEndpoint.EndpointState.DRAINING),
                        member("b", WorkerEndpoint.EndpointState.SERVING))));
        neverServes(a, i -> { // named twice: the last entry alone
            gatherer.control().updateEndpoints(false, List.of(member("a", WorkerEndpoint.EndpointState.SERVING),
                    member("a", WorkerEndpoint.EndpointState.DRAINING)));
        });
        gatherer.control().updateEndpoints(true, List.of(member("b", WorkerEndpoint.EndpointState.SERVING)));
        assertFalse(a.isServing());
        neverServes(a, i -> { // it comes back under its id: whatever still waits for the old one does not go out
            gatherer.control().updateEndpoints(false, List.of(member("a", WorkerEndpoint.EndpointState.SERVING)));
            gatherer.control().updateEndpoints(i % 2 == 0,
                    i % 2 == 0 ? List.of(member("b", WorkerEndpoint.EndpointState.SERVING))
                            : List.of(member("a", WorkerEndpoint.EndpointState.GONE)));
        });
        assertTrue(log.toString(), log.stream().noneMatch(l -> l.contains("routing policy failed")));
    }

    /** One that stays in a whole list serves at every moment: a call that is being written must not be turned back. */
    @Test
    public void oneThatStaysInAWholeListIsAtNoMomentSeenToBeGone() throws Exception {
        Worker a = workerOf("a");
        var over = new AtomicBoolean();
        Future<Boolean> always = threads.submit(() -> {
            boolean served = true;
            while (!over.get()) {
                served &= a.isServing();
            }
            return served;
        });
        for (int i = 0; i < 20_000; i++) {
            gatherer.control().updateEndpoints(true,
                    i % 2 == 0 ? List.of(member("a", WorkerEndpoint.EndpointState.SERVING))
                            : List.of(member("b", WorkerEndpoint.EndpointState.SERVING),
                                    member("a", WorkerEndpoint.EndpointState.GONE),
                                    member("a", WorkerEndpoint.EndpointState.SERVING)));
        }
        over.set(true);
        assertTrue(always.get());
        gatherer.control().updateEndpoints(true, List.of(member("a", WorkerEndpoint.EndpointState.SERVING)));
        assertEquals("a", ((Step.Send) pick(open("still", 0))).worker().id());
    }

    /** A drain and a ban in both orders: neither lifts the other. */
    @Test
    public void aBanAndADrainStandApart() throws Exception {
        Worker a = workerOf("a");
        gatherer.control().setBanned("a", true);
        gatherer.control().updateEndpoints(false, List.of(member("a", WorkerEndpoint.EndpointState.DRAINING)));
        gatherer.control().setBanned("a", false);
        assertFalse("the list's drain stands", a.isServing());
        gatherer.control().setBanned("a", true);
        gatherer.control().updateEndpoints(false, List.of(member("a", WorkerEndpoint.EndpointState.SERVING)));
        assertFalse("the ban stands", a.isServing());
        gatherer.control().updateEndpoints(false, List.of(member("a", WorkerEndpoint.EndpointState.GONE)));
        gatherer.control().setBanned("a", false); // of one that is gone
        gatherer.control().updateEndpoints(false, List.of(member("a", WorkerEndpoint.EndpointState.SERVING)));
        assertFalse(a.isServing());
        assertTrue("another start of it", workerOf("a").isServing());
    }

    private Worker workerOf(String id) throws Exception {
        for (int i = 0; i < 50; i++) {
            Query query = open("find-" + i, 0);
            var send = (Step.Send) pick(query);
            gatherer.clientDisconnected(query);
            gatherer.report(Map.of(send.attempts().get(0), AttemptOutcome.CANCELLED));
            if (send.worker().id().equals(id)) {
                return send.worker();
            }
            pass(20);
        }
        throw new AssertionError("nothing goes to " + id);
    }
}
