package wallmoor.consensus;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.LeaseMessage;
import wallmoor.rules.LeaseTiming;
import wallmoor.standin.CapturedWarnings;

/** One voter on its control thread; the others are this test. */
public class VotingMemberTest implements VoterContext, RaftNodeExecutor {
    private static final List<String> VOTERS = List.of("a", "b", "c");

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();
    private final DefaultRaftModelFactory models = new DefaultRaftModelFactory();
    /** Pre-votes that were sent for the term after the one that the test leads in. */
    private final AtomicInteger asked = new AtomicInteger();
    private final CapturedWarnings warnings = new CapturedWarnings("wallmoor.consensus");

    @After
    public void stop() {
        control.shutdownNow();
        warnings.close();
        assertEquals(List.of(), warnings.messages());
    }

    private void heard(VotingMember voter, RaftMessage message) throws Exception {
        Callable<Void> work = () -> {
            voter.onRaftMessage("b", RaftMessageEncoder.encode(message));
            return null;
        };
        control.submit(work).get();
    }

    private void awaitAsked() throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (asked.get() == 0) {
            assertTrue("it does not stand", System.nanoTime() < until);
            Thread.sleep(10);
        }
    }

    @Test
    public void itStandsAgainAfterALeaderThatItHeardLate() throws Exception {
        var store = new DurableStore(new DurableDirectory(folder.getRoot().toPath()), "a", VOTERS, 1_000);
        var voter = new VotingMember("a", VOTERS, LeaseTiming.defaults(), store, this, this, 1);
        voter.onTermResponse("b", 0);
        voter.onTermResponse("c", 0);
        Callable<Void> tick = () -> {
            voter.tick(nowMicros());
            return null;
        };
        control.submit(tick).get();
        heard(voter,
                models.createVoteRequestBuilder().setGroupId(RaftGroup.ID).setSender(new VoterEndpoint("b"))
                        .setTerm(1)
                        .setLastLogTerm(0).setLastLogIndex(0).setSticky(false).build());
        awaitAsked(); // it gave its vote, and nothing comes
        heard(voter,
                models.createAppendEntriesRequestBuilder().setGroupId(RaftGroup.ID)
                        .setSender(new VoterEndpoint("b"))
                        .setTerm(1)
                        .setPreviousLogTerm(0).setPreviousLogIndex(0).setCommitIndex(0).setQuerySequenceNumber(0)
                        .setFlowControlSequenceNumber(0).setLogEntries(List.of()).build());
        asked.set(0);
        var unused = control.scheduleWithFixedDelay(() -> execute(() -> {
            try {
                voter.tick(nowMicros());
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }), 0, 20, TimeUnit.MILLISECONDS);
        awaitAsked();
    }

    @Override
    public long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    @Override
    public void sendToVoter(String voter, Packet packet) {
        try {
            if (packet instanceof Packet.RaftEnvelope log
                    && new RaftMessageDecoder(VOTERS).decode(new VoterEndpoint("a"),
                            log.message()) instanceof PreVoteRequest p
                    && p.getTerm() == 2) {
                asked.incrementAndGet();
            }
        } catch (CorruptDataException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void sendToLeaseHolder(String holder, LeaseMessage message) {
        // it never leads
    }

    @Override
    public boolean isReachable(String voter) {
        return true;
    }

    @Override
    public void execute(Runnable task) {
        control.execute(task);
    }

    @Override
    public void submit(Runnable task) {
        control.execute(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        var unused = control.schedule(task, delay, unit);
    }
}
