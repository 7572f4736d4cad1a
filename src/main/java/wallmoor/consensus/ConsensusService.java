package wallmoor.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import wallmoor.config.RulesConfig;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.LeaseHolder;
import wallmoor.rules.LeaseMessage;
import wallmoor.rules.LeaseMessageCodec;
import wallmoor.rules.LeaseTiming;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;
import wallmoor.rules.RuleReader;
import wallmoor.rules.RuleSnapshot;
import wallmoor.rules.VersionChain;

/**
 * This gatherer's part in what all agree on: a holder of leases, and a voter where the operators' file names it. One
 * thread has all of that state, one has the connections; traffic reads a snapshot and waits for neither.
 */
public final class ConsensusService implements RuleReader, AutoCloseable {
    /** Hears of each change of what is gone by; on the control thread. */
    public interface RuleChangeListener {
        /** A document is gone by in another way from now on. */
        void onRuleChanged(String name, EffectiveRule act);
    }

    private static final String KNOWN = "known";
    /** Packets that the control thread has not taken yet; more are dropped, as all that is sent is sent again. */
    private static final int MOST_TAKEN = 2_048;
    private static final long MOST_TICK_MILLIS = 20;
    private static final long AGAIN_MILLIS = 300;
    private static final int MOST_WAITING = 64;
    private static final long MICROS = 1_000;
    private static final long STACK = 512 * 1024;

    /** Somebody who waits at the control port. */
    private record PendingRequest(Packet.ClientRequest request, CompletableFuture<Packet.ClientResponse> reply,
            Consumer<String> progress) {}

    private final String name;
    private final RulesConfig config;
    private final LeaseTiming terms;
    private final Consumer<String> info;
    private final Consumer<String> warn;
    private final RuleChangeListener watcher;
    private final DurableDirectory directory;
    private final ScheduledThreadPoolExecutor control;
    private final TcpTransport links;
    private final VotingMember voter;
    private final LeaseHolder holder;
    private final long life;
    private final List<String> names;
    private final AtomicInteger taken = new AtomicInteger();
    private final AtomicLong overflow = new AtomicLong();
    private final AtomicLong requests = new AtomicLong(System.nanoTime());
    private volatile ConsensusStatus status;
    private volatile RuleSnapshot snapshot;
    // the control thread's
    private final Map<String, FramedConnection> asking = new HashMap<>();
    private final Map<Long, PendingRequest> waiting = new TreeMap<>();
    private final Map<String, ConsensusStatus.EffectiveSince> since = new HashMap<>();
    private List<VersionChain> kept = List.of();
    private LeaseMessage.LeaseRequest lastAsk;
    private String target;
    private boolean answered = true;
    private int passedOn;
    private long waitingAgainAt;
    private boolean keeps = true;

    /**
     * Opens what was kept and listens; {@link #start} begins.
     *
     * @throws IOException where it can't listen, or the directory can't be used
     */
    public ConsensusService(RulesConfig config, String name, long seed, RuleChangeListener watcher,
            Consumer<String> info,
            Consumer<String> warn)
            throws IOException {
        this(config, name, seed, watcher, info, warn, System::currentTimeMillis);
    }

    /**
     * The same with a wall clock of its own, milliseconds: lives are counted by it, and nothing else that is decided.
     */
    ConsensusService(RulesConfig config, String name, long seed, RuleChangeListener watcher, Consumer<String> info,
            Consumer<String> warn,
            LongSupplier wallClock) throws IOException {
        this.name = name;
        this.config = config;
        this.watcher = watcher;
        this.info = info;
        this.warn = warn;
        terms = new LeaseTiming(config.term() * MICROS, 0.01);
        names = List.copyOf(config.voters().keySet());
        target = names.get(Math.floorMod(seed, names.size()));
        control = new ScheduledThreadPoolExecutor(1, work -> {
            Thread thread = new Thread(null, work, "rules-control", STACK);
            thread.setDaemon(true);
            return thread;
        });
        control.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        control.setRemoveOnCancelPolicy(true);
        long wall = wallClock.getAsLong() * MICROS;
        directory = config.directory() == null ? null : new DurableDirectory(config.directory());
        DurableStore store = null;
        if (names.contains(name)) {
            try {
                store = new DurableStore(directory, name, names, wall);
            } catch (CorruptDataException e) {
                warn.accept("does not vote: in " + directory + ": " + e.getMessage());
            }
        }
        life = store == null ? wall : store.incarnation();
        String group = String.join(",", names) + " term " + config.term() + " ms";
        links = new TcpTransport(new Packet.Handshake(group, name, life), store == null ? null : config.listen(),
                config.voters(),
                new FromLinks(), warn);
        voter = store == null ? null
                : new VotingMember(name, names, terms, store, new AroundVoter(), new OnControl(), seed);
        holder = new LeaseHolder(name, life, terms, DocumentSchemas.all(), kept());
        kept = holder.knownVersions();
        snapshot = holder.snapshot();
        status = ConsensusStatus.of(snapshot, kept);
    }

    private List<VersionChain> kept() throws IOException {
        try {
            return directory == null ? List.of() : LeaseMessageCodec.decodeKnownVersions(directory.readRecords(KNOWN));
        } catch (CorruptDataException e) {
            warn.accept("in " + directory + ", file " + KNOWN + ": " + e.getMessage()
                    + "; no fallback is known until the voters are heard");
            return List.of();
        }
    }

    /** Begins to ask, and to vote where it does. */
    public void start() {
        links.start();
        long millis = Math.min(MOST_TICK_MILLIS, config.term() / 100);
        control.scheduleWithFixedDelay(() -> guarded(this::tick), 0, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public EffectiveRule effectiveRule(String document) {
        return snapshot.effectiveRule(now(), document);
    }

    /** What is held now; never waits. */
    public ConsensusStatus status() {
        return status;
    }

    /** This process' monotonic clock, microseconds; the same that leases are counted by. */
    public static long now() {
        return System.nanoTime() / MICROS;
    }

    /** No two gatherers act on contradicting versions for longer, milliseconds. */
    public long termMillis() {
        return config.term();
    }

    /** The connections' counters, and what did not fit, for the operators. */
    public String counters() {
        return links.counters() + " overflow " + overflow;
    }

    /** The versions that are kept of a document, as whoever leads tells. Waits so long at most. */
    public RuleHistory history(String document, long millis) throws TimeoutException, InterruptedException {
        Packet.ClientResponse reply = ask(document, null, millis);
        return new RuleHistory(reply.acting(), reply.versions(), reply.refused());
    }

    /** What a leader told: the number of the version that acts, versions, and sentences on what was refused. */
    public record RuleHistory(long acting, List<RuleDocument> versions, List<String> refused) {}

    /** What came of a proposal: its number, and why it was refused; empty where it acts. */
    public record ProposalOutcome(long number, String refused) {}

    /** Proposes; waits until the version acts or is refused, so long at most. */
    public ProposalOutcome propose(RuleProposal proposal, long millis) throws TimeoutException, InterruptedException {
        Packet.ClientResponse reply = ask(proposal.name(), proposal, millis);
        return new ProposalOutcome(reply.number(), reply.reason());
    }

    private Packet.ClientResponse ask(String document, RuleProposal proposal, long millis)
            throws TimeoutException, InterruptedException {
        var asked = new Packet.ClientRequest(requests.incrementAndGet(), document, proposal);
        var reply = new CompletableFuture<Packet.ClientResponse>();
        String[] last = {""};
        onControl(() -> {
            if (waiting.size() < MOST_WAITING) {
                waiting.put(asked.id(), new PendingRequest(asked, reply, state -> last[0] = state));
                request(asked);
            }
        });
        try {
            return reply.get(millis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new TimeoutException(last[0].isEmpty() ? "no leader of the voters was heard" : "it is " + last[0]
                    + ", and not known to act: somebody may hold an older version for up to a term");
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } finally {
            onControl(() -> waiting.remove(asked.id()));
        }
    }

    // ---- the control thread -------------------------------------------------------------------------------

    /** Work that may fail on what the disk or the wire gave. */
    private interface Work {
        void run() throws IOException, CorruptDataException;
    }

    private void guarded(Work work) {
        try {
            work.run();
        } catch (IOException | CorruptDataException | RuntimeException e) {
            warn.accept("what the rules agree on: " + e);
        }
    }

    private void onControl(Work work) {
        try {
            control.execute(() -> guarded(work));
        } catch (RejectedExecutionException e) {
            // it is closed: whoever waits, waits no longer than it said
        }
    }

    private void tick() throws IOException {
        long now = now();
        if (voter != null) {
            voter.tick(now);
        }
        LeaseMessage.LeaseRequest ask = holder.onTick(now);
        if (ask != null) {
            if (!answered) { // since the last renewal
                target = names.get((names.indexOf(target) + 1) % names.size());
            }
            send(ask);
        }
        if (!waiting.isEmpty() && now >= waitingAgainAt) {
            waitingAgainAt = now + AGAIN_MILLIS * MICROS;
            waiting.values().forEach(w -> request(w.request()));
        }
        publish(now);
    }

    private void send(LeaseMessage.LeaseRequest ask) {
        if (ask == null) {
            return;
        }
        answered = false;
        passedOn = 0;
        lastAsk = ask;
        sendTo(target, ask);
    }

    private void sendTo(String leader, LeaseMessage.LeaseRequest ask) {
        if (!leader.equals(name)) {
            links.send(leader, new Packet.LeaseEnvelope(ask));
        } else if (voter != null) {
            asking.remove(name);
            if (!voter.onLeaseRequest(ask)) {
                elsewhere(voter.leader());
            }
        }
    }

    /** The one asked does not lead: the last ask goes on to the one that does. A copy that comes late does no harm. */
    private void elsewhere(String leader) {
        if (names.contains(leader) && !leader.equals(target) && passedOn < 2 && lastAsk != null) {
            passedOn++;
            target = leader;
            sendTo(leader, lastAsk);
        }
    }

    private void request(Packet.ClientRequest request) {
        if (!target.equals(name)) {
            links.send(target, request);
        } else if (voter != null) {
            voter.onClientRequest(request, answer -> onControl(() -> reply((Packet.ClientResponse) answer)));
        }
    }

    private void reply(Packet.ClientResponse reply) {
        PendingRequest w = waiting.get(reply.id());
        if (w != null) {
            w.progress().accept(reply.state());
            if (!reply.state().equals("accepted") && !reply.state().equals("pending")) {
                w.reply().complete(reply);
            }
        }
    }

    private void hear(LeaseMessage message) {
        long now = now();
        LeaseMessage.LeaseRequest ask = null;
        if (message instanceof LeaseMessage.LeaseGrant g) {
            answered = true;
            ask = holder.onGrant(now, g);
        } else if (message instanceof LeaseMessage.VersionUpdate n) {
            ask = holder.onVersionUpdate(now, n);
        } else if (message instanceof LeaseMessage.LeaseDenial d) {
            answered = true;
            holder.onDenial(d);
        }
        publish(now); // before the ask, which gives the word that traffic goes by it already
        send(ask);
        keep();
    }

    /** What is held is for all to see. */
    private void publish(long now) {
        snapshot = holder.snapshot();
        List<VersionChain> known = holder.knownVersions();
        boolean changed = false;
        for (VersionChain c : known) {
            EffectiveRule act = snapshot.effectiveRule(now, c.name());
            ConsensusStatus.EffectiveSince was = since.get(c.name());
            if (was == null || was.basis() != act.basis() || was.from() != act.activeVersion()
                    || was.to() != act.latestVersion()) {
                since.put(c.name(), new ConsensusStatus.EffectiveSince(act.basis(), act.activeVersion(),
                        act.latestVersion(), System.currentTimeMillis()));
                changed = true;
                watcher.onRuleChanged(c.name(), act);
            }
        }
        String state = voter == null ? "" : voter.describeState();
        String leader = voter != null && !voter.leader().isEmpty() ? voter.leader() : target;
        if (changed || status.snapshot() != snapshot || !status.leader().equals(leader)
                || !status.voterState().equals(state)
                || !status.leaseDenial().equals(holder.denialReason())) {
            status = new ConsensusStatus(snapshot, known, since, leader, state, holder.denialReason(),
                    holder.invalidDocuments());
        }
    }

    /** What is known is kept: late, it costs a fallback and breaks nothing. */
    private void keep() {
        List<VersionChain> known = holder.knownVersions();
        if (directory == null || known.equals(kept)) {
            return;
        }
        kept = known;
        try {
            directory.replace(KNOWN, LeaseMessageCodec.encodeKnownVersions(kept));
            keeps = true;
        } catch (IOException e) {
            if (keeps) {
                warn.accept(
                        "what is known can't be kept in " + directory + ", after a restart no fallback is known: " + e);
            }
            keeps = false;
        }
    }

    private void take(FramedConnection from, Packet packet) throws CorruptDataException {
        String who = from.peer().name();
        boolean votes = names.contains(who);
        if (packet instanceof Packet.LeaseEnvelope s) {
            if (!(s.message() instanceof LeaseMessage.LeaseRequest ask)) {
                if (votes) {
                    hear(s.message());
                }
            } else if (voter != null && ask.holder().equals(who)) {
                asking.put(who, from);
                if (!voter.onLeaseRequest(ask)) {
                    links.send(from, new Packet.NotLeader(voter.leader()));
                }
            }
        } else if (packet instanceof Packet.NotLeader e) {
            if (votes) {
                elsewhere(e.leader());
            }
        } else if (packet instanceof Packet.ClientResponse r) {
            reply(r);
        } else if (voter != null && packet instanceof Packet.ClientRequest r) {
            if (!voter.onClientRequest(r, answer -> links.send(from, answer))) {
                links.send(from, new Packet.NotLeader(voter.leader()));
            }
        } else if (voter != null && votes) {
            if (packet instanceof Packet.RaftEnvelope l) {
                voter.onRaftMessage(who, l.message());
            } else if (packet instanceof Packet.ForwardedVerdict v) {
                voter.onForwardedVerdict(who, v.entry());
            } else if (packet instanceof Packet.TermRequest) {
                voter.onTermRequest(who);
            } else if (packet instanceof Packet.TermResponse t) {
                voter.onTermResponse(who, t.term());
            }
        }
    }

    @Override
    public void close() {
        onControl(() -> {
            if (voter != null) {
                voter.close();
            }
        });
        control.shutdown();
        try {
            control.awaitTermination(1, TimeUnit.SECONDS);
            links.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // it listens no more either way
        }
    }

    /** Packets go to the control thread in their order; too many are dropped. */
    private final class FromLinks implements TcpTransport.PacketListener {
        @Override
        public void onPacket(FramedConnection from, Packet packet) {
            if (taken.get() >= MOST_TAKEN) {
                overflow.incrementAndGet();
                return;
            }
            taken.incrementAndGet();
            onControl(() -> {
                taken.decrementAndGet();
                take(from, packet);
            });
        }

        @Override
        public void onDisconnect(FramedConnection link) {
            onControl(() -> asking.values().removeIf(l -> l == link));
        }
    }

    private final class AroundVoter implements VotingMember.VoterContext {
        @Override
        public long now() {
            return ConsensusService.now();
        }

        @Override
        public void sendToVoter(String to, Packet packet) {
            links.send(to, packet);
        }

        @Override
        public void sendToLeaseHolder(String to, LeaseMessage message) {
            if (to.equals(name)) {
                onControl(() -> hear(message));
            } else if (asking.containsKey(to)) {
                links.send(asking.get(to), new Packet.LeaseEnvelope(message));
            }
        }

        @Override
        public boolean isReachable(String other) {
            return links.isReachable(other);
        }

        @Override
        public void info(String line) {
            info.accept(line);
        }

        @Override
        public void warn(String line) {
            warn.accept(line);
        }
    }

    /** The log's library works on the control thread. */
    private final class OnControl implements RaftNodeExecutor {
        @Override
        public void execute(Runnable task) {
            onControl(task::run);
        }

        @Override
        public void submit(Runnable task) {
            onControl(task::run);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            try {
                control.schedule(() -> guarded(task::run), delay, unit);
            } catch (RejectedExecutionException e) {
                // it is closed
            }
        }
    }
}
