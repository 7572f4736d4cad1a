package wallmoor.consensus;

import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.function.Consumer;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.DocumentSchema;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.LeaseMessage;
import wallmoor.rules.LeaseTable;
import wallmoor.rules.LeaseTiming;
import wallmoor.rules.LogEntry;
import wallmoor.rules.LogEntryCodec;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleEvent;
import wallmoor.rules.RuleStateMachine;

/**
 * One voter: feeds the ledger with what the log commits and the grants with what holders ask. Used on the control
 * thread alone, which is the log library's as well.
 */
final class VotingMember implements StateMachine, Transport, LeaseTable.Actions {
    /** What is around it. */
    interface VoterContext {
        /** Microseconds, monotonic. */
        long now();

        void sendToVoter(String voter, Packet packet);

        void sendToLeaseHolder(String holder, LeaseMessage message);

        boolean isReachable(String voter);

        void info(String line);

        void warn(String line);
    }

    /**
     * Entries behind a snapshot: ten changes at the largest body are 5 MB, and stay below an eighth of a heap of 64 MB.
     */
    private static final int ENTRIES = 64;
    private static final int CHUNK = 1 << 20;
    private static final int MOST_REFUSED = 20;
    private static final long AGAIN = 500_000;
    private static final long SECOND = 1_000_000;
    /** Longer than a leader takes to hand over. */
    private static final long ASK_LEADER = 4_000_000;
    /**
     * How long an election may take: longer at each next voter, by more than the noise, or two that tie do so again.
     */
    private static final long ELECTION_MILLIS = 500;
    private static final long APART_MILLIS = 200;
    private static final String BARRIER = "barrier";
    /** Of a new leader's first entry: none of the ledger's. */
    private static final byte[] NOTHING = new byte[0];

    private final String self;
    private final LeaseTiming terms;
    private final Collection<String> voters;
    private final DurableStore store;
    private final RejoiningVoter newcomer;
    private final VoterContext around;
    private final RaftNodeExecutor executor;
    private final Random random;
    private final RaftMessageCodec forms;
    private final Map<String, DocumentSchema> kinds = DocumentSchemas.all();
    private final PendingProposals asked = new PendingProposals();
    private final ArrayDeque<String> refused = new ArrayDeque<>();
    private RuleStateMachine ledger;
    private LeaseTable grants;
    private RaftNode raft;
    private long applied;
    private long barrier = -1;
    private long barrierEnds;
    private long toldAt = Long.MIN_VALUE / 2;
    private long askedAt = Long.MIN_VALUE / 2;
    private String stopped = "";

    VotingMember(String self, Collection<String> voters, LeaseTiming terms, DurableStore store, VoterContext around,
            RaftNodeExecutor executor,
            long seed) {
        this.self = self;
        this.voters = voters;
        this.terms = terms;
        this.store = store;
        this.around = around;
        this.executor = executor;
        random = new Random(seed);
        forms = new RaftMessageCodec(voters);
        var others = new TreeSet<>(voters);
        others.remove(self);
        newcomer = new RejoiningVoter(others, store.startedEmpty(), store.minimumLeaderTerm());
        begin(new RuleStateMachine(voters));
    }

    private void begin(RuleStateMachine next) {
        ledger = next;
        grants = new LeaseTable(self, store.incarnation(), terms, ledger, this);
    }

    /** Takes part, as soon as it may. */
    private void start() {
        int place = new TreeSet<>(voters).headSet(self).size();
        raft = RaftNode.newBuilder().setGroupId(RaftMessageCodec.GROUP).setRestoredState(store.restoredState())
                .setStore(store).setStateMachine(this).setTransport(this).setExecutor(executor).setRandom(random)
                .setClock(new MonotonicClock())
                .setConfig(
                        RaftConfig.newBuilder().setLeaderElectionTimeoutMillis(ELECTION_MILLIS + APART_MILLIS * place)
                                .setLeaderHeartbeatPeriodSecs(1).setLeaderHeartbeatTimeoutSecs(2)
                                .setCommitCountToTakeSnapshot(ENTRIES)
                                .setMaxPendingLogEntryCount(ENTRIES).setAppendEntriesRequestBatchSize(ENTRIES / 4)
                                .setTransferSnapshotsFromFollowersEnabled(false).build())
                .build();
        raft.start();
    }

    void close() throws IOException {
        if (raft != null) {
            raft.terminate();
        }
        store.close();
    }

    // ---- what comes ---------------------------------------------------------------------------------------

    /** Time goes on. */
    void tick(long now) throws IOException {
        if (raft == null) {
            join(now);
            return;
        }
        if (stopped.isEmpty() && raft.getStatus() == RaftNodeStatus.TERMINATED) {
            stop("it can't write what it must keep; see that the disk of rules.directory has room and start it again");
        }
        if (stopped.isEmpty()) {
            PreVoteRestart.restartIfStalled(raft);
        }
        if (newcomer.onApplied(applied, newcomer.catchUpIndex() < 0 ? -1 : store.termAt(newcomer.catchUpIndex()))) {
            store.markCaughtUp();
            around.info("has learned what the other voters know, and votes");
        }
        if (newcomer.minimumLeaderTerm() > 0 && newcomer.catchUpIndex() < 0 && now - askedAt >= ASK_LEADER
                && !leader().isEmpty()) {
            askedAt = now;
            around.sendToVoter(leader(), new Packet.TermRequest()); // it leads still: it is to hand over
        }
        if (barrier >= 0 && now >= barrierEnds) {
            ended(barrier, false);
        }
        grants.onElectionChanged(now, isLeader());
        if (now - toldAt >= AGAIN) {
            toldAt = now;
            ledger.documentNames().stream().map(ledger::pending).filter(d -> d != null).forEach(this::verdict);
        }
        grants.onTick(now);
    }

    private void join(long now) throws IOException {
        if (newcomer.unansweredVoters().isEmpty()) {
            if (store.startedEmpty()) {
                store.startInTerm(newcomer.startTerm(), newcomer.minimumLeaderTerm());
                around.info(newcomer.minimumLeaderTerm() == 0 ? "begins with nothing kept, as all other voters do"
                        : "had nothing kept: learns from the other voters before it votes");
            }
            start();
        } else if (now - askedAt >= AGAIN) {
            askedAt = now;
            newcomer.unansweredVoters().forEach(v -> around.sendToVoter(v, new Packet.TermRequest()));
        }
    }

    void onTermRequest(String from) {
        around.sendToVoter(from, new Packet.TermResponse(store.term()));
        if (isLeader()) { // it learns only from a leader that came after this
            voters.stream().filter(v -> !v.equals(self) && !v.equals(from) && around.isReachable(v)).findFirst()
                    .ifPresent(v -> raft.transferLeadership(new VoterEndpoint(v)));
        }
    }

    void onTermResponse(String from, int term) {
        newcomer.onTermResponse(from, term);
    }

    void onRaftMessage(String from, byte[] message) throws CorruptDataException {
        if (raft == null) {
            return;
        }
        RaftMessage m = forms.decode(new VoterEndpoint(from), message);
        if (newcomer.minimumLeaderTerm() > 0) {
            if (isVoting(m)) {
                return;
            }
            if (m instanceof AppendEntriesRequest a && a.getTerm() >= store.term()) {
                newcomer.onLeaderCommit(a.getTerm(), a.getCommitIndex());
            }
        }
        raft.handle(m);
    }

    private static boolean isVoting(RaftMessage m) {
        return m instanceof VoteRequest || m instanceof PreVoteRequest || m instanceof TriggerLeaderElectionRequest;
    }

    /** A holder asks; whether it came to the one who leads. */
    boolean onLeaseRequest(LeaseMessage.LeaseRequest ask) {
        boolean here = isLeader();
        if (here) {
            grants.onLeaseRequest(around.now(), ask);
        }
        return here;
    }

    void onForwardedVerdict(String from, LogEntry.VoterVerdict verdict) {
        if (isLeader() && from.equals(verdict.voter())) {
            append(verdict);
        }
    }

    /** Somebody proposes, or asks what there is; whether it came to the one who leads. */
    boolean onClientRequest(Packet.ClientRequest request, Consumer<Packet> answer) {
        if (!isLeader() || !ledger.isLeader(self, store.incarnation())) {
            return false;
        }
        if (request.proposal() == null) {
            answer.accept(new Packet.ClientResponse(request.id(), "told", 0, "", ledger.activeVersion(request.name()),
                    ledger.history(request.name()),
                    refused.stream().filter(r -> r.startsWith(request.name() + " ")).toList()));
            return true;
        }
        Packet.ClientResponse known = asked.knownOutcome(request, ledger);
        if (known != null) {
            answer.accept(known);
        } else if (asked.await(around.now(), request, answer)) {
            append(new LogEntry.ProposeVersion(request.proposal()));
        }
        return true;
    }

    // ---- what is told -------------------------------------------------------------------------------------

    /** Who leads as far as is known here, or an empty text. */
    String leader() {
        return raft == null ? "" : VoterEndpoint.of(raft.getTerm().getLeaderEndpoint());
    }

    /** What an operator asks first. */
    String describeState() {
        if (!stopped.isEmpty()) {
            return "stopped: " + stopped;
        } else if (raft == null) {
            return "waits for " + String.join(", ", newcomer.unansweredVoters())
                    + ": has nothing kept, and begins once all other voters have answered";
        }
        return newcomer.minimumLeaderTerm() > 0 ? "learns" : "votes";
    }

    long term() {
        return store.term();
    }

    private boolean isLeader() {
        return raft != null && stopped.isEmpty() && raft.getStatus() != RaftNodeStatus.TERMINATED
                && leader().equals(self);
    }

    private void stop(String why) {
        stopped = why;
        around.warn("this voter has stopped: " + why);
        raft.terminate();
    }

    // ---- of the log's library -----------------------------------------------------------------------------

    @Override
    public Object runOperation(long index, Object operation) {
        if (operation instanceof byte[] bytes && stopped.isEmpty()) {
            if (bytes.length > 0) {
                apply(bytes);
            }
            applied = index;
        }
        return null;
    }

    private void apply(byte[] bytes) {
        try {
            List<RuleEvent> effects = ledger.apply(LogEntryCodec.decode(bytes));
            for (RuleEvent e : effects) {
                if (e instanceof RuleEvent.VersionPending p) {
                    verdict(p.document());
                } else if (e instanceof RuleEvent.ProposalRejected r) {
                    refused.addLast(
                            r.rejection().name() + " " + r.rejection().aboutVersion() + ": " + r.rejection().message());
                    if (refused.size() > MOST_REFUSED) {
                        refused.removeFirst();
                    }
                }
            }
            grants.onApplied(around.now(), effects);
            asked.onApplied(effects, ledger);
        } catch (CorruptDataException e) { // what others act on it can't follow: it may not go on
            stop("an entry of the log can't be read by this program (" + e.getMessage()
                    + "): put the newer program here");
        }
    }

    private void verdict(RuleDocument document) {
        LogEntry.VoterVerdict verdict = DocumentSchemas.verdict(self, kinds, document);
        String leader = leader();
        if (leader.equals(self)) {
            append(verdict);
        } else if (!leader.isEmpty()) {
            around.sendToVoter(leader, new Packet.ForwardedVerdict(verdict));
        }
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        if (!stopped.isEmpty()) {
            throw new IllegalStateException(stopped);
        }
        byte[] all = ledger.takeSnapshot();
        for (int at = 0; at < all.length; at += CHUNK) {
            chunks.accept(Arrays.copyOfRange(all, at, Math.min(all.length, at + CHUNK)));
        }
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        var all = new ByteArrayOutputStream();
        chunks.forEach(c -> all.writeBytes((byte[]) c));
        try {
            begin(RuleStateMachine.restoreSnapshot(voters, all.toByteArray()));
            applied = index;
        } catch (CorruptDataException e) {
            stop("a snapshot can't be read by this program (" + e.getMessage() + "): put the newer program here");
        }
    }

    @Override
    public Object getNewTermOperation() {
        return NOTHING;
    }

    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
        if (newcomer.minimumLeaderTerm() == 0 || !isVoting(message)) {
            around.sendToVoter(VoterEndpoint.of(to), new Packet.RaftEnvelope(RaftMessageCodec.encode(message)));
        }
    }

    @Override
    public boolean isReachable(RaftEndpoint voter) {
        return around.isReachable(VoterEndpoint.of(voter));
    }

    // ---- of the grants ------------------------------------------------------------------------------------

    @Override
    public void send(String holder, LeaseMessage message) {
        around.sendToLeaseHolder(holder, message);
    }

    @Override
    public void append(LogEntry entry) {
        if (raft != null) {
            // where it fails it is appended again by whoever still wants it
            raft.replicate(LogEntryCodec.encode(entry));
        }
    }

    @Override
    public void startBarrier(long token) {
        barrier = token;
        barrierEnds = around.now() + Math.max(SECOND, terms.holderDuration() / 2); // a holder has asked again by then
        raft.query(BARRIER, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.of(Duration.ofSeconds(10)))
                .whenComplete((done, fault) -> executor.execute(() -> ended(token, fault == null)));
    }

    private void ended(long token, boolean well) {
        if (barrier == token) {
            barrier = -1;
            if (well) {
                grants.onBarrier(around.now(), token);
            } else {
                grants.onBarrierFailed(around.now(), token);
            }
        }
    }
}
