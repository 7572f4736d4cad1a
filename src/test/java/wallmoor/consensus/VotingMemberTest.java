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

/**
 * Guards against a voter that starts no election after it received a late message of its leader. Runs one voter on its
 * control thread; the test sends the messages of the other voters.
 */
public class VotingMemberTest implements VoterContext, RaftNodeExecutor {
    private static final List<String> VOTERS = List.of("a", "b", "c");

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();
    private final DefaultRaftModelFactory models = new DefaultRaftModelFactory();
    /** Pre-vote requests that were sent for term 2, the one after the term of the simulated leader. */
    private final AtomicInteger preVoteRequests = new AtomicInteger();
    private final CapturedWarnings warnings = new CapturedWarnings("wallmoor.consensus");

    @After
    public void stop() {
        control.shutdownNow();
        warnings.close();
        assertEquals(List.of(), warnings.messages());
    }

    private void receive(VotingMember voter, RaftMessage message) throws Exception {
        Callable<Void> work = () -> {
            voter.onRaftMessage("b", RaftMessageEncoder.encode(message));
            return null;
        };
        control.submit(work).get();
    }

    private void awaitPreVoteRequest() throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (preVoteRequests.get() == 0) {
            assertTrue("no pre-vote request was sent", System.nanoTime() < deadline);
            Thread.sleep(10);
        }
    }

    @Test
    public void startsPreVoteAgainAfterLateLeaderMessage() throws Exception {
        var store = new DurableStore(new DurableDirectory(folder.getRoot().toPath()), "a", VOTERS, 1_000);
        var voter = new VotingMember("a", VOTERS, LeaseTiming.defaults(), store, this, this, 1);
        voter.onTermResponse("b", 0);
        voter.onTermResponse("c", 0);
        Callable<Void> tick = () -> {
            voter.tick(nowMicros());
            return null;
        };
        control.submit(tick).get();
        receive(voter,
                models.createVoteRequestBuilder().setGroupId(RaftGroup.ID).setSender(new VoterEndpoint("b"))
                        .setTerm(1)
                        .setLastLogTerm(0).setLastLogIndex(0).setSticky(false).build());
        awaitPreVoteRequest(); // it granted its vote and receives nothing
        receive(voter,
                models.createAppendEntriesRequestBuilder().setGroupId(RaftGroup.ID)
                        .setSender(new VoterEndpoint("b"))
                        .setTerm(1)
                        .setPreviousLogTerm(0).setPreviousLogIndex(0).setCommitIndex(0).setQuerySequenceNumber(0)
                        .setFlowControlSequenceNumber(0).setLogEntries(List.of()).build());
        preVoteRequests.set(0);
        var unused = control.scheduleWithFixedDelay(() -> execute(() -> {
            try {
                voter.tick(nowMicros());
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }), 0, 20, TimeUnit.MILLISECONDS);
        awaitPreVoteRequest();
    }

    @Override
    public long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    @Override
    public void sendToVoter(String voter, Packet packet) {
        try {
            if (packet instanceof Packet.RaftEnvelope envelope
                    && new RaftMessageDecoder(VOTERS).decode(new VoterEndpoint("a"),
                            envelope.message()) instanceof PreVoteRequest preVote
                    && preVote.getTerm() == 2) {
                preVoteRequests.incrementAndGet();
            }
        } catch (CorruptDataException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void sendToLeaseHolder(String holder, LeaseMessage message) {
        // the voter under test never leads
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
