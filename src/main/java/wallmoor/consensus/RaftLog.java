package wallmoor.consensus;

import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.rules.LogEntry;
import wallmoor.rules.LogEntryCodec;

/**
 * The replicated log: the Raft library's node of this process, once it is started, and why it was stopped, if it was.
 * Control thread.
 */
final class RaftLog {
    private static final Logger LOG = LoggerFactory.getLogger(RaftLog.class);
    /**
     * Entries behind a snapshot: ten changes at the largest body are 5 MB, and stay below an eighth of a heap of 64 MB.
     */
    private static final int ENTRIES_PER_SNAPSHOT = 64;
    /**
     * How long an election may take: longer at each next voter, by more than the noise, or two that tie do so again.
     */
    private static final long ELECTION_TIMEOUT_MILLIS = 500;
    private static final long ELECTION_TIMEOUT_STEP_MILLIS = 200;
    /** The library counts heartbeats in whole seconds. */
    private static final int HEARTBEAT_SECONDS = 1;
    private static final int HEARTBEAT_TIMEOUT_SECONDS = 2;
    private static final Duration BARRIER_TIMEOUT = Duration.ofSeconds(10);
    /** Of a linearizable query that reads nothing: the state machine ignores it. */
    private static final String BARRIER = "barrier";

    private final String self;
    private final Collection<String> voters;
    private final DurableStore store;
    private final RaftNodeExecutor executor;
    private final Random random;
    private RaftNode node;
    private String stopReason = "";

    RaftLog(String self, Collection<String> voters, DurableStore store, RaftNodeExecutor executor, Random random) {
        this.self = self;
        this.voters = voters;
        this.store = store;
        this.executor = executor;
        this.random = random;
    }

    /** Takes part in the group from here on, with the state that the store has. */
    void start(StateMachine stateMachine, Transport transport) {
        node = RaftNode.newBuilder().setGroupId(RaftGroup.ID).setRestoredState(store.restoredState())
                .setStore(store).setStateMachine(stateMachine).setTransport(transport).setExecutor(executor)
                .setRandom(random).setClock(new RaftClock()).setConfig(config()).build();
        CompletableFuture<?> unused = node.start();
    }

    private RaftConfig config() {
        int place = new TreeSet<>(voters).headSet(self).size();
        return RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_MILLIS + ELECTION_TIMEOUT_STEP_MILLIS * place)
                .setLeaderHeartbeatPeriodSecs(HEARTBEAT_SECONDS)
                .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_SECONDS)
                .setCommitCountToTakeSnapshot(ENTRIES_PER_SNAPSHOT)
                .setMaxPendingLogEntryCount(ENTRIES_PER_SNAPSHOT)
                .setAppendEntriesRequestBatchSize(ENTRIES_PER_SNAPSHOT / 4)
                .setTransferSnapshotsFromFollowersEnabled(false).build();
    }

    boolean isStarted() {
        return node != null;
    }

    /** Who leads as far as is known here, or an empty text. */
    String leader() {
        return node == null ? "" : VoterEndpoint.nameOf(node.getTerm().getLeaderEndpoint());
    }

    /** Whether this member leads, as far as it knows. */
    boolean isLeader() {
        return node != null && !isStopped() && node.getStatus() != RaftNodeStatus.TERMINATED && leader().equals(self);
    }

    boolean isStopped() {
        return !stopReason.isEmpty();
    }

    /** Why it was stopped; empty while it was not. */
    String stopReason() {
        return stopReason;
    }

    /** Stops for good: it may not go on without what the reason names. Needs a start before. */
    void stop(String reason) {
        stopReason = reason;
        LOG.warn("rules: this voter has stopped: {}", reason);
        terminate();
    }

    /** Stops at once where it was started. */
    void terminate() {
        if (node != null) {
            CompletableFuture<?> unused = node.terminate();
        }
    }

    /** Finds out whether the library gave up, and mends its pre-vote. Needs a start before. */
    void checkRunning() {
        if (!isStopped() && node.getStatus() == RaftNodeStatus.TERMINATED) {
            stop("it can't write what it must keep; see that the disk of rules.directory has room and start it again");
        }
        if (!isStopped()) {
            PreVoteRestart.restartIfStalled(node);
        }
    }

    /** A message of another member's. Needs a start before. */
    void handle(RaftMessage message) {
        node.handle(message);
    }

    /** Appends an entry where this member leads; one that is lost is appended again by whoever still wants it. */
    void append(LogEntry entry) {
        if (node != null) {
            CompletableFuture<?> unused = node.replicate(LogEntryCodec.encode(entry));
        }
    }

    /** Hands leadership over. Needs a start before. */
    void transferLeadership(String voter) {
        CompletableFuture<?> unused = node.transferLeadership(new VoterEndpoint(voter));
    }

    /**
     * A read barrier (Raft's ReadIndex): completes once all entries that were committed before this call are applied
     * here, and fails where this member no longer leads. Needs a start before.
     */
    CompletableFuture<?> readBarrier() {
        return node.query(BARRIER, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.of(BARRIER_TIMEOUT));
    }
}
