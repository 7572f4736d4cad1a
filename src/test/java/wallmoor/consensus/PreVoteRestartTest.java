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
 * Guards against the bug that {@link PreVoteRestart} works around: a voter that abandoned a pre-vote starts no further
 * election when its leader falls silent. Runs one node of the library with a simulated clock.
 */
public class PreVoteRestartTest implements RaftNodeExecutor, Transport, StateMachine {
    private static final int LEADER_SILENCE_MILLIS = 4_000;
    private static final int TICK_MILLIS = 20;

    private record Task(long dueMillis, long order, Runnable work) {}

    private final DefaultRaftModelFactory models = new DefaultRaftModelFactory();
    private final VoterEndpoint other = new VoterEndpoint("b");
    private final PriorityQueue<Task> tasks = new PriorityQueue<>(
            Comparator.comparingLong(Task::dueMillis).thenComparingLong(Task::order));
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
    private final List<RaftEndpoint> members = List.of(new VoterEndpoint("a"), other, new VoterEndpoint("c"));
    private final RaftNode node = RaftNode.newBuilder().setGroupId(RaftGroup.ID).setLocalEndpoint(members.get(0))
            .setInitialGroupMembers(members).setStateMachine(this).setTransport(this).setExecutor(this)
            .setRandom(new Random(1)).setClock(clock)
            .setConfig(RaftConfig.newBuilder().setLeaderElectionTimeoutMillis(500).setLeaderHeartbeatPeriodSecs(1)
                    .setLeaderHeartbeatTimeoutSecs(2).build())
            .build();

    private void run(int millis, boolean restartStalled) {
        for (long end = now + millis; now < end; now += TICK_MILLIS) {
            while (!tasks.isEmpty() && tasks.peek().dueMillis <= now) {
                tasks.poll().work.run();
            }
            if (restartStalled) {
                PreVoteRestart.restartIfStalled(node);
            }
        }
    }

    private void requestVote(int term) {
        node.handle(models.createVoteRequestBuilder().setGroupId(RaftGroup.ID).setSender(other).setTerm(term)
                .setLastLogTerm(0).setLastLogIndex(0).setSticky(false).build());
        run(TICK_MILLIS, false);
    }

    private void sendHeartbeat(int term) {
        node.handle(
                models.createAppendEntriesRequestBuilder().setGroupId(RaftGroup.ID).setSender(other)
                        .setTerm(term)
                        .setPreviousLogTerm(0).setPreviousLogIndex(0).setCommitIndex(0).setQuerySequenceNumber(0)
                        .setFlowControlSequenceNumber(0).setLogEntries(List.of()).build());
        run(TICK_MILLIS, false);
    }

    private boolean hasSentPreVote() {
        return sent.stream().anyMatch(PreVoteRequest.class::isInstance);
    }

    /** Grants b a vote, starts a pre-vote as b is silent, then receives two heartbeats of b in that term. */
    private void receiveLateLeader(boolean restartStalled) {
        var unused = node.start();
        run(TICK_MILLIS, false);
        requestVote(1);
        run(2_000, false);
        assertTrue("no pre-vote was started in the term of the granted vote", hasSentPreVote());
        sendHeartbeat(1);
        run(1_000, restartStalled);
        sendHeartbeat(1);
        assertEquals(other, node.getTerm().getLeaderEndpoint());
        sent.clear();
        run(LEADER_SILENCE_MILLIS, restartStalled);
    }

    @Test
    public void restartsPreVoteAbandonedForLeaderOfSameTerm() {
        receiveLateLeader(true);
        assertTrue(hasSentPreVote());
        sendHeartbeat(1); // the same a second time
        sent.clear();
        run(LEADER_SILENCE_MILLIS, true);
        assertTrue(hasSentPreVote());
    }

    @Test
    public void startsNoPreVoteWhileLeaderSendsHeartbeats() {
        receiveLateLeader(true);
        sendHeartbeat(1);
        run(600, false); // the pre-vote that was started is abandoned
        sent.clear();
        for (int i = 0; i < 5; i++) {
            sendHeartbeat(1);
            run(1_000, true);
        }
        assertFalse(hasSentPreVote());
    }

    /** {@link PreVoteRestart} can be removed once a library update makes this test fail. */
    @Test
    public void libraryAloneDoesNotRestartPreVote() {
        receiveLateLeader(false);
        assertFalse(hasSentPreVote());
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
        throw new IllegalStateException("unexpected snapshot: nothing was committed");
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        throw new IllegalStateException("unexpected snapshot: none was sent");
    }

    @Override
    public Object getNewTermOperation() {
        return new byte[0];
    }
}
