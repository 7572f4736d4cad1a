package wallmoor.consensus;

import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.util.Collection;
import java.util.Random;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import org.slf4j.MarkerFactory;
import wallmoor.log.Logging;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.LeaseMessage;
import wallmoor.rules.LeaseTiming;
import wallmoor.rules.LogEntry;

/**
 * One voting member of the Raft group. It joins when allowed, applies committed log entries to the state machine and,
 * while it leads, passes the requests of lease holders to the lease table. Runs on the control thread, as does the Raft
 * library.
 */
final class VotingMember {
    private static final Logger LOG = LoggerFactory.getLogger(VotingMember.class);
    private static final Marker STATE = MarkerFactory.getMarker(Logging.STATE);
    private static final long RETRY_MICROS = 500_000;
    /** Short, as the start of a new group waits for its slowest member. */
    private static final long FOUNDING_RETRY_MICROS = 100_000;
    /** Longer than a leader takes to transfer its leadership. */
    private static final long LEADER_RETRY_MICROS = 4_000_000;

    private final String self;
    private final Collection<String> voters;
    private final DurableStore store;
    private final RejoiningVoter rejoining;
    private final GroupFounding founding;
    private final VoterContext context;
    private final RaftMessageDecoder decoder;
    private final RaftLog raftLog;
    private final RaftTransport raftTransport;
    private final ReadBarrier barrier;
    private final ClientRequestHandler clientRequests;
    private final ReplicatedRules rules;
    private long termRequestedAt = Long.MIN_VALUE / 2;
    private long verdictsSentAt = Long.MIN_VALUE / 2;

    VotingMember(String self, Collection<String> voters, LeaseTiming timing, DurableStore store, VoterContext context,
            RaftNodeExecutor executor, long seed) {
        this.self = self;
        this.voters = voters;
        this.store = store;
        this.context = context;
        decoder = new RaftMessageDecoder(voters);
        var others = new TreeSet<>(voters);
        others.remove(self);
        rejoining = new RejoiningVoter(others, store.startedEmpty(), store.minimumLeaderTerm());
        founding = new GroupFounding(others, store.term() == 0 && store.minimumLeaderTerm() == 0);
        raftLog = new RaftLog(self, voters, store, executor, new Random(seed));
        raftTransport = new RaftTransport(context, rejoining);
        barrier = new ReadBarrier(raftLog, context, executor, timing);
        clientRequests = new ClientRequestHandler(raftLog);
        rules = new ReplicatedRules(self, store.incarnation(), voters, timing, raftLog, context, barrier,
                clientRequests);
    }

    /** Stops immediately; the durable state remains. */
    void close() throws IOException {
        raftLog.terminate();
        store.close();
    }

    // ---- timers -------------------------------------------------------------------------------------------

    /** Performs periodic work; joins the group first. */
    void tick(long now) throws IOException {
        if (!raftLog.isStarted()) {
            join(now);
            return;
        }
        raftLog.checkRunning();
        catchUp(now);
        barrier.tick(now);
        rules.leaseTable().onElectionChanged(now, raftLog.isLeader());
        if (now - verdictsSentAt >= RETRY_MICROS) {
            verdictsSentAt = now;
            rules.sendPendingVerdicts();
        }
        rules.leaseTable().onTick(now);
    }

    /** Joins the group when allowed; until then requests the terms of the other members. */
    private void join(long now) throws IOException {
        if (!store.hasStoredState()) {
            if (!rejoining.unansweredVoters().isEmpty()) {
                requestTerms(now, rejoining.unansweredVoters(), RETRY_MICROS);
                return;
            }
            storeStart();
        }
        if (!founding.isComplete()) {
            requestTerms(now, founding.unconfirmedVoters(), FOUNDING_RETRY_MICROS);
            return;
        }
        raftLog.start(rules, raftTransport);
    }

    private void requestTerms(long now, Collection<String> from, long retryMicros) {
        if (now - termRequestedAt >= retryMicros) {
            termRequestedAt = now;
            from.forEach(v -> context.sendToVoter(v, new Packet.TermRequest()));
        }
    }

    /** Stores the term in which this member starts. */
    private void storeStart() throws IOException {
        store.startInTerm(rejoining.startTerm(), rejoining.minimumLeaderTerm());
        LOG.info(STATE, "rules: {}", rejoining.minimumLeaderTerm() == 0
                ? "voter started without durable state, as all other voters"
                : "voter lost its durable state: catches up before it votes");
    }

    private void catchUp(long now) throws IOException {
        long index = rejoining.catchUpIndex();
        if (rejoining.onApplied(rules.appliedIndex(), index < 0 ? -1 : store.termAt(index))) {
            store.markCaughtUp();
            LOG.info(STATE, "rules: voter caught up and votes");
        }
        boolean waitsForLeader = rejoining.minimumLeaderTerm() > 0 && rejoining.catchUpIndex() < 0;
        if (waitsForLeader && now - termRequestedAt >= LEADER_RETRY_MICROS && !leader().isEmpty()) {
            termRequestedAt = now;
            // a leader that receives this transfers its leadership
            context.sendToVoter(leader(), new Packet.TermRequest());
        }
    }

    // ---- packets ------------------------------------------------------------------------------------------

    /** Handles a packet of another voting member. */
    void onPacket(String from, Packet packet) throws CorruptDataException {
        if (packet instanceof Packet.RaftEnvelope envelope) {
            onRaftMessage(from, envelope.message());
        } else if (packet instanceof Packet.ForwardedVerdict verdict) {
            onForwardedVerdict(from, verdict.entry());
        } else if (packet instanceof Packet.TermRequest) {
            onTermRequest(from);
        } else if (packet instanceof Packet.TermResponse response) {
            onTermResponse(from, response.term());
        }
    }

    void onRaftMessage(String from, byte[] bytes) throws CorruptDataException {
        if (!raftLog.isStarted()) {
            founding.onRaftMessage();
            return;
        }
        RaftMessage message = decoder.decode(new VoterEndpoint(from), bytes);
        if (rejoining.minimumLeaderTerm() > 0) {
            if (RaftTransport.isElectionRequest(message)) {
                return; // may not vote yet
            }
            if (message instanceof AppendEntriesRequest append && append.getTerm() >= store.term()) {
                rejoining.onLeaderCommit(append.getTerm(), append.getCommitIndex());
            }
        }
        raftLog.handle(message);
    }

    void onTermRequest(String from) {
        int term = store.hasStoredState() ? store.term() : GroupFounding.NO_STORED_STATE;
        context.sendToVoter(from, new Packet.TermResponse(term));
        if (raftLog.isLeader()) { // the requester catches up only with a leader elected after this request
            voters.stream().filter(v -> !v.equals(self) && !v.equals(from) && context.isReachable(v)).findFirst()
                    .ifPresent(raftLog::transferLeadership);
        }
    }

    void onTermResponse(String from, int term) {
        rejoining.onTermResponse(from, term);
        founding.onTermResponse(from, term);
    }

    private void onForwardedVerdict(String from, LogEntry.VoterVerdict verdict) {
        if (raftLog.isLeader() && from.equals(verdict.voter())) {
            raftLog.append(verdict);
        }
    }

    /** Handles a lease holder's request, and returns false if this member does not lead. */
    boolean onLeaseRequest(LeaseMessage.LeaseRequest request) {
        boolean leads = raftLog.isLeader();
        if (leads) {
            rules.leaseTable().onLeaseRequest(context.nowMicros(), request);
        }
        return leads;
    }

    /** Handles a proposal or a read of a document's history, and returns false if this member does not lead. */
    boolean onClientRequest(Packet.ClientRequest request, Consumer<Packet.ClientResponse> responder) {
        if (!raftLog.isLeader() || !rules.stateMachine().isLeader(self, store.incarnation())) {
            return false;
        }
        clientRequests.handle(context.nowMicros(), request, rules.stateMachine(), responder);
        return true;
    }

    // ---- status -------------------------------------------------------------------------------------------

    /** Returns the leader known to this member, or an empty text. */
    String leader() {
        return raftLog.leader();
    }

    /** Returns the state for operators; the text is part of the control port's responses. */
    String describeState() {
        if (raftLog.isStopped()) {
            return "stopped: " + raftLog.stopReason();
        }
        if (!store.hasStoredState()) {
            return "waits for " + String.join(", ", rejoining.unansweredVoters())
                    + ": has no durable state, and starts once all other voters have responded";
        }
        if (!raftLog.isStarted()) {
            return "waits for " + String.join(", ", founding.unconfirmedVoters())
                    + ": the group is new, and starts once all voters have stored that they take part";
        }
        return rejoining.minimumLeaderTerm() > 0 ? "learns" : "votes";
    }
}
