package wallmoor.agreement;

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
import wallmoor.versions.DamagedException;
import wallmoor.versions.Document;
import wallmoor.versions.Effect;
import wallmoor.versions.Entry;
import wallmoor.versions.Forms;
import wallmoor.versions.Grants;
import wallmoor.versions.Kind;
import wallmoor.versions.Kinds;
import wallmoor.versions.Ledger;
import wallmoor.versions.Message;
import wallmoor.versions.Terms;

/**
 * One voter: feeds the ledger with what the log commits and the grants with what holders ask. Used on the control
 * thread alone, which is the log library's as well.
 */
final class Voter implements StateMachine, Transport, Grants.Actions {
    /** What is around it. */
    interface Around {
        /** Microseconds, monotonic. */
        long now();

        void toVoter(String voter, Packet packet);

        void toHolder(String holder, Message message);

        boolean reaches(String voter);

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
    private final Terms terms;
    private final Collection<String> voters;
    private final Store store;
    private final Newcomer newcomer;
    private final Around around;
    private final RaftNodeExecutor executor;
    private final Random random;
    private final RaftForms forms;
    private final Map<String, Kind> kinds = Kinds.all();
    private final Asked asked = new Asked();
    private final ArrayDeque<String> refused = new ArrayDeque<>();
    private Ledger ledger;
    private Grants grants;
    private RaftNode raft;
    private long applied;
    private long barrier = -1;
    private long barrierEnds;
    private long toldAt = Long.MIN_VALUE / 2;
    private long askedAt = Long.MIN_VALUE / 2;
    private String stopped = "";

    Voter(String self, Collection<String> voters, Terms terms, Store store, Around around, RaftNodeExecutor executor,
            long seed) {
        this.self = self;
        this.voters = voters;
        this.terms = terms;
        this.store = store;
        this.around = around;
        this.executor = executor;
        random = new Random(seed);
        forms = new RaftForms(voters);
        var others = new TreeSet<>(voters);
        others.remove(self);
        newcomer = new Newcomer(others, store.isFresh(), store.least());
        begin(new Ledger(voters));
    }

    private void begin(Ledger next) {
        ledger = next;
        grants = new Grants(self, store.life(), terms, ledger, this);
    }

    /** Takes part, as soon as it may. */
    private void start() {
        int place = new TreeSet<>(voters).headSet(self).size();
        raft = RaftNode.newBuilder().setGroupId(RaftForms.GROUP).setRestoredState(store.restored())
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
            Standing.again(raft);
        }
        if (newcomer.onApplied(applied, newcomer.target() < 0 ? -1 : store.termAt(newcomer.target()))) {
            store.learned();
            around.info("has learned what the other voters know, and votes");
        }
        if (newcomer.least() > 0 && newcomer.target() < 0 && now - askedAt >= ASK_LEADER && !leader().isEmpty()) {
            askedAt = now;
            around.toVoter(leader(), new Packet.AskTerm()); // it leads still: it is to hand over
        }
        if (barrier >= 0 && now >= barrierEnds) {
            ended(barrier, false);
        }
        grants.onElected(now, leads());
        if (now - toldAt >= AGAIN) {
            toldAt = now;
            ledger.names().stream().map(ledger::pending).filter(d -> d != null).forEach(this::verdict);
        }
        grants.onTick(now);
    }

    private void join(long now) throws IOException {
        if (newcomer.unheard().isEmpty()) {
            if (store.isFresh()) {
                store.begin(newcomer.term(), newcomer.least());
                around.info(newcomer.least() == 0 ? "begins with nothing kept, as all other voters do"
                        : "had nothing kept: learns from the other voters before it votes");
            }
            start();
        } else if (now - askedAt >= AGAIN) {
            askedAt = now;
            newcomer.unheard().forEach(v -> around.toVoter(v, new Packet.AskTerm()));
        }
    }

    void onAskTerm(String from) {
        around.toVoter(from, new Packet.Term(store.term()));
        if (leads()) { // it learns only from a leader that came after this
            voters.stream().filter(v -> !v.equals(self) && !v.equals(from) && around.reaches(v)).findFirst()
                    .ifPresent(v -> raft.transferLeadership(new Endpoint(v)));
        }
    }

    void onTerm(String from, int term) {
        newcomer.onTerm(from, term);
    }

    void onLog(String from, byte[] message) throws DamagedException {
        if (raft == null) {
            return;
        }
        RaftMessage m = forms.read(new Endpoint(from), message);
        if (newcomer.least() > 0) {
            if (isVoting(m)) {
                return;
            }
            if (m instanceof AppendEntriesRequest a && a.getTerm() >= store.term()) {
                newcomer.onLeader(a.getTerm(), a.getCommitIndex());
            }
        }
        raft.handle(m);
    }

    private static boolean isVoting(RaftMessage m) {
        return m instanceof VoteRequest || m instanceof PreVoteRequest || m instanceof TriggerLeaderElectionRequest;
    }

    /** A holder asks; whether it came to the one who leads. */
    boolean onAsk(Message.Ask ask) {
        boolean here = leads();
        if (here) {
            grants.onAsk(around.now(), ask);
        }
        return here;
    }

    void onVerdict(String from, Entry.Verdict verdict) {
        if (leads() && from.equals(verdict.member())) {
            append(verdict);
        }
    }

    /** Somebody proposes, or asks what there is; whether it came to the one who leads. */
    boolean onRequest(Packet.Request request, Consumer<Packet> answer) {
        if (!leads() || !ledger.leads(self, store.life())) {
            return false;
        }
        if (request.proposal() == null) {
            answer.accept(new Packet.Reply(request.id(), "told", 0, "", ledger.acting(request.name()),
                    ledger.history(request.name()),
                    refused.stream().filter(r -> r.startsWith(request.name() + " ")).toList()));
            return true;
        }
        Packet.Reply known = asked.known(request, ledger);
        if (known != null) {
            answer.accept(known);
        } else if (asked.waits(around.now(), request, answer)) {
            append(new Entry.Propose(request.proposal()));
        }
        return true;
    }

    // ---- what is told -------------------------------------------------------------------------------------

    /** Who leads as far as is known here, or an empty text. */
    String leader() {
        return raft == null ? "" : Endpoint.of(raft.getTerm().getLeaderEndpoint());
    }

    /** What an operator asks first. */
    String state() {
        if (!stopped.isEmpty()) {
            return "stopped: " + stopped;
        } else if (raft == null) {
            return "waits for " + String.join(", ", newcomer.unheard())
                    + ": has nothing kept, and begins once all other voters have answered";
        }
        return newcomer.least() > 0 ? "learns" : "votes";
    }

    long term() {
        return store.term();
    }

    private boolean leads() {
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
            List<Effect> effects = ledger.apply(Forms.read(bytes));
            for (Effect e : effects) {
                if (e instanceof Effect.Pending p) {
                    verdict(p.document());
                } else if (e instanceof Effect.Refused r) {
                    refused.addLast(r.why().name() + " " + r.why().number() + ": " + r.why().sentence());
                    if (refused.size() > MOST_REFUSED) {
                        refused.removeFirst();
                    }
                }
            }
            grants.onApplied(around.now(), effects);
            asked.onApplied(effects, ledger);
        } catch (DamagedException e) { // what others act on it can't follow: it may not go on
            stop("an entry of the log can't be read by this program (" + e.getMessage()
                    + "): put the newer program here");
        }
    }

    private void verdict(Document document) {
        Entry.Verdict verdict = Kinds.verdict(self, kinds, document);
        String leader = leader();
        if (leader.equals(self)) {
            append(verdict);
        } else if (!leader.isEmpty()) {
            around.toVoter(leader, new Packet.Verdict(verdict));
        }
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        if (!stopped.isEmpty()) {
            throw new IllegalStateException(stopped);
        }
        byte[] all = ledger.save();
        for (int at = 0; at < all.length; at += CHUNK) {
            chunks.accept(Arrays.copyOfRange(all, at, Math.min(all.length, at + CHUNK)));
        }
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        var all = new ByteArrayOutputStream();
        chunks.forEach(c -> all.writeBytes((byte[]) c));
        try {
            begin(Ledger.restore(voters, all.toByteArray()));
            applied = index;
        } catch (DamagedException e) {
            stop("a snapshot can't be read by this program (" + e.getMessage() + "): put the newer program here");
        }
    }

    @Override
    public Object getNewTermOperation() {
        return NOTHING;
    }

    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
        if (newcomer.least() == 0 || !isVoting(message)) {
            around.toVoter(Endpoint.of(to), new Packet.Log(RaftForms.write(message)));
        }
    }

    @Override
    public boolean isReachable(RaftEndpoint voter) {
        return around.reaches(Endpoint.of(voter));
    }

    // ---- of the grants ------------------------------------------------------------------------------------

    @Override
    public void send(String holder, Message message) {
        around.toHolder(holder, message);
    }

    @Override
    public void append(Entry entry) {
        if (raft != null) {
            raft.replicate(Forms.write(entry)); // where it fails it is appended again by whoever still wants it
        }
    }

    @Override
    public void barrier(long token) {
        barrier = token;
        barrierEnds = around.now() + Math.max(SECOND, terms.lease() / 2); // a holder has asked again by then
        raft.query(BARRIER, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.of(Duration.ofSeconds(10)))
                .whenComplete((done, fault) -> executor.execute(() -> ended(token, fault == null)));
    }

    private void ended(long token, boolean well) {
        if (barrier == token) {
            barrier = -1;
            if (well) {
                grants.onBarrier(around.now(), token);
            } else {
                grants.onNoBarrier(around.now(), token);
            }
        }
    }
}
