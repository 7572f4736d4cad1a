package wallmoor.consensus;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.Test;

/**
 * One voter of the library on a clock of the test's: it stands whenever its leader is silent, whatever it did before.
 */
public class PreVoteRestartTest implements RaftNodeExecutor, Transport, StateMachine {
    private static final int BEATS_MISSED = 4_000;
    private static final int TICK = 20;

    private record Task(long at, long order, Runnable work) {}

    private final DefaultRaftModelFactory models = new DefaultRaftModelFactory();
    private final VoterEndpoint other = new VoterEndpoint("b");
    private final PriorityQueue<Task> tasks = new PriorityQueue<>(
            Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private final List<RaftMessage> sent = new ArrayList<>();
    private long now = 1_000_000;
    private long order;

    private final Clock clock = new Clock() {
        @Override
        public ZoneOffset getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(java.time.ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(now);
        }

        @Override
        public long millis() {
            return now;
        }
    };
    private final List<RaftEndpoint> all = List.of(new VoterEndpoint("a"), other, new VoterEndpoint("c"));
    private final RaftNode node = RaftNode.newBuilder().setGroupId(RaftGroup.ID).setLocalEndpoint(all.get(0))
            .setInitialGroupMembers(all).setStateMachine(this).setTransport(this).setExecutor(this)
            .setRandom(new Random(1)).setClock(clock)
            .setConfig(RaftConfig.newBuilder().setLeaderElectionTimeoutMillis(500).setLeaderHeartbeatPeriodSecs(1)
                    .setLeaderHeartbeatTimeoutSecs(2).build())
            .build();

    private void run(int millis, boolean mended) {
        for (long end = now + millis; now < end; now += TICK) {
            while (!tasks.isEmpty() && tasks.peek().at <= now) {
                tasks.poll().work.run();
            }
            if (mended) {
                PreVoteRestart.restartIfStalled(node);
            }
        }
    }

    private void vote(int term) {
        node.handle(models.createVoteRequestBuilder().setGroupId(RaftGroup.ID).setSender(other).setTerm(term)
                .setLastLogTerm(0).setLastLogIndex(0).setSticky(false).build());
        run(TICK, false);
    }

    private void lead(int term) {
        node.handle(
                models.createAppendEntriesRequestBuilder().setGroupId(RaftGroup.ID).setSender(other)
                        .setTerm(term)
                        .setPreviousLogTerm(0).setPreviousLogIndex(0).setCommitIndex(0).setQuerySequenceNumber(0)
                        .setFlowControlSequenceNumber(0).setLogEntries(List.of()).build());
        run(TICK, false);
    }

    private boolean asked() {
        return sent.stream().anyMatch(PreVoteRequest.class::isInstance);
    }

    /** It votes for b, begins a pre-vote as b is not heard yet, and hears b lead in that term, twice. */
    private void followsLate(boolean mended) {
        var unused = node.start();
        run(TICK, false);
        vote(1);
        run(2_000, false);
        assertTrue("it did not begin a pre-vote of the term that it voted in", asked());
        lead(1);
        run(1_000, mended);
        lead(1);
        assertEquals(other, node.getTerm().getLeaderEndpoint());
        sent.clear();
        run(BEATS_MISSED, mended);
    }

    @Test
    public void itStandsAgainAfterItGaveAPreVoteUpForALeaderOfTheSameTerm() {
        followsLate(true);
        assertTrue(asked());
        lead(1); // and the same once more
        sent.clear();
        run(BEATS_MISSED, true);
        assertTrue(asked());
    }

    @Test
    public void itDoesNotWhileTheLeaderIsHeard() {
        followsLate(true);
        lead(1);
        run(600, false); // the pre-vote that it had begun is given up
        sent.clear();
        for (int i = 0; i < 5; i++) {
            lead(1);
            run(1_000, true);
        }
        assertFalse(asked());
    }

    /** When the library is another one day and this fails, {@link PreVoteRestart} may go. */
    @Test
    public void theLibraryAloneLeavesItAside() {
        followsLate(false);
        assertFalse(asked());
    }

    @Override
    public void execute(Runnable task) {
        submit(task);
    }

    @Override
    public void submit(Runnable task) {
        tasks.add(new Task(now, order++, task));
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        tasks.add(new Task(now + unit.toMillis(delay), order++, task));
    }

    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
        sent.add(message);
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return true;
    }

    @Override
    public Object runOperation(long index, Object operation) {
        return null;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        throw new IllegalStateException("nothing was committed");
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        throw new IllegalStateException("nobody sent one");
    }

    @Override
    public Object getNewTermOperation() {
        return new byte[0];
    }
}
