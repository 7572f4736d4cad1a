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
 * The replicated log: the Raft library's node of this process after its start, and the reason for its stop, if any.
 * Runs on the control thread.
 */
final class RaftLog {
    private static final Logger LOG = LoggerFactory.getLogger(RaftLog.class);
    /**
     * Number of log entries per snapshot. Ten changes with bodies of the maximum size take 5 MB, which is less than an
     * eighth of a heap of 64 MB.
     */
    private static final int ENTRIES_PER_SNAPSHOT = 64;
    /**
     * The election timeout of the first voter. Each next voter adds a step, larger than the random part of the timeout,
     * or two voters that tie would tie again.
     */
    private static final long ELECTION_TIMEOUT_MILLIS = 500;
    private static final long ELECTION_TIMEOUT_STEP_MILLIS = 200;
    /** Heartbeat period; the library accepts full seconds only. */
    private static final int HEARTBEAT_SECONDS = 1;
    private static final int HEARTBEAT_TIMEOUT_SECONDS = 2;
    private static final Duration BARRIER_TIMEOUT = Duration.ofSeconds(10);
    /** The operation of a linearizable query that reads nothing; the state machine ignores it. */
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

    /** Starts the Raft node with the restored state of the store. */
    void start(StateMachine stateMachine, Transport transport) {
        node = RaftNode.newBuilder().setGroupId(RaftGroup.ID).setRestoredState(store.restoredState())
                .setStore(store).setStateMachine(stateMachine).setTransport(transport).setExecutor(executor)
                .setRandom(random).setClock(new RaftClock()).setConfig(config()).build();
        CompletableFuture<?> unused = node.start();
    }

    private RaftConfig config() {
        int index = new TreeSet<>(voters).headSet(self).size();
        return RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_MILLIS + ELECTION_TIMEOUT_STEP_MILLIS * index)
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

    /** Returns the leader known to this member, or an empty text. */
    String leader() {
        return node == null ? "" : VoterEndpoint.nameOf(node.getTerm().getLeaderEndpoint());
    }

    /** Returns whether this member leads, as far as it knows. */
    boolean isLeader() {
        return node != null && !isStopped() && node.getStatus() != RaftNodeStatus.TERMINATED && leader().equals(self);
    }

    boolean isStopped() {
        return !stopReason.isEmpty();
    }

    /** Returns the reason for the stop; empty if not stopped. */
    String stopReason() {
        return stopReason;
    }

    /** Stops permanently for the given reason. {@link #start} must have been called. */
    void stop(String reason) {
        stopReason = reason;
        LOG.warn("rules: voter stopped: reason=\"{}\"", reason);
        terminate();
    }

    /** Terminates the node immediately if it was started. */
    void terminate() {
        if (node != null) {
            CompletableFuture<?> unused = node.terminate();
        }
    }

    /**
     * Detects that the library has terminated the node, and restarts a stalled pre-vote. {@link #start} must have been
     * called.
     */
    void checkRunning() {
        if (!isStopped() && node.getStatus() == RaftNodeStatus.TERMINATED) {
            stop("durable state can't be written; check the free disk space of rules.directory and restart");
        }
        if (!isStopped()) {
            PreVoteRestart.restartIfStalled(node);
        }
    }

    /** Handles another member's message. {@link #start} must have been called. */
    void handle(RaftMessage message) {
        node.handle(message);
    }

    /** Appends an entry if this member leads. An entry that is lost must be appended again by its originator. */
    void append(LogEntry entry) {
        if (node != null) {
            CompletableFuture<?> unused = node.replicate(LogEntryCodec.encode(entry));
        }
    }

    /** Transfers leadership to another voter. {@link #start} must have been called. */
    void transferLeadership(String voter) {
        CompletableFuture<?> unused = node.transferLeadership(new VoterEndpoint(voter));
    }

    /**
     * Starts a read barrier (Raft's ReadIndex). The future completes once all entries committed before this call are
     * applied here, and fails if this member no longer leads. {@link #start} must have been called.
     */
    CompletableFuture<?> readBarrier() {
        return node.query(BARRIER, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.of(BARRIER_TIMEOUT));
    }
}
