package wallmoor.agreement;

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
import wallmoor.versions.Act;
import wallmoor.versions.Acting;
import wallmoor.versions.Chain;
import wallmoor.versions.DamagedException;
import wallmoor.versions.Document;
import wallmoor.versions.Holder;
import wallmoor.versions.Kinds;
import wallmoor.versions.Message;
import wallmoor.versions.MessageForms;
import wallmoor.versions.Proposal;
import wallmoor.versions.Snapshot;
import wallmoor.versions.Terms;

/**
 * This gatherer's part in what all agree on: a holder of leases, and a voter where the operators' file names it. One
 * thread has all of that state, one has the connections; traffic reads a snapshot and waits for neither.
 */
public final class Agreement implements Acting, AutoCloseable {
    /** Hears of each change of what is gone by; on the control thread. */
    public interface Watcher {
        /** A document is gone by in another way from now on. */
        void changed(String name, Act act);
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
    private record Waiting(Packet.Request request, CompletableFuture<Packet.Reply> reply, Consumer<String> progress) {}

    private final String name;
    private final RulesConfig config;
    private final Terms terms;
    private final Consumer<String> info;
    private final Consumer<String> warn;
    private final Watcher watcher;
    private final Directory directory;
    private final ScheduledThreadPoolExecutor control;
    private final Links links;
    private final Voter voter;
    private final Holder holder;
    private final long life;
    private final List<String> names;
    private final AtomicInteger taken = new AtomicInteger();
    private final AtomicLong overflow = new AtomicLong();
    private final AtomicLong requests = new AtomicLong(System.nanoTime());
    private volatile Seen seen;
    private volatile Snapshot snapshot;
    // the control thread's
    private final Map<String, Link> asking = new HashMap<>();
    private final Map<Long, Waiting> waiting = new TreeMap<>();
    private final Map<String, Seen.Since> since = new HashMap<>();
    private List<Chain> kept = List.of();
    private Message.Ask lastAsk;
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
    public Agreement(RulesConfig config, String name, long seed, Watcher watcher, Consumer<String> info,
            Consumer<String> warn)
            throws IOException {
        this(config, name, seed, watcher, info, warn, System::currentTimeMillis);
    }

    /**
     * The same with a wall clock of its own, milliseconds: lives are counted by it, and nothing else that is decided.
     */
    Agreement(RulesConfig config, String name, long seed, Watcher watcher, Consumer<String> info, Consumer<String> warn,
            LongSupplier wallClock) throws IOException {
        this.name = name;
        this.config = config;
        this.watcher = watcher;
        this.info = info;
        this.warn = warn;
        terms = new Terms(config.term() * MICROS, 0.01);
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
        directory = config.directory() == null ? null : new Directory(config.directory());
        Store store = null;
        if (names.contains(name)) {
            try {
                store = new Store(directory, name, names, wall);
            } catch (DamagedException e) {
                warn.accept("does not vote: in " + directory + ": " + e.getMessage());
            }
        }
        life = store == null ? wall : store.life();
        String group = String.join(",", names) + " term " + config.term() + " ms";
        links = new Links(new Packet.Hello(group, name, life), store == null ? null : config.listen(), config.voters(),
                new FromLinks(), warn);
        voter = store == null ? null : new Voter(name, names, terms, store, new AroundVoter(), new OnControl(), seed);
        holder = new Holder(name, life, terms, Kinds.all(), kept());
        kept = holder.known();
        snapshot = holder.snapshot();
        seen = Seen.of(snapshot, kept);
    }

    private List<Chain> kept() throws IOException {
        try {
            return directory == null ? List.of() : MessageForms.kept(directory.whole(KNOWN));
        } catch (DamagedException e) {
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
    public Act acting(String document) {
        return snapshot.acting(now(), document);
    }

    /** What is held now; never waits. */
    public Seen seen() {
        return seen;
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
    public Told history(String document, long millis) throws TimeoutException, InterruptedException {
        Packet.Reply reply = ask(document, null, millis);
        return new Told(reply.acting(), reply.versions(), reply.refused());
    }

    /** What a leader told: the number of the version that acts, versions, and sentences on what was refused. */
    public record Told(long acting, List<Document> versions, List<String> refused) {}

    /** What came of a proposal: its number, and why it was refused; empty where it acts. */
    public record Outcome(long number, String refused) {}

    /** Proposes; waits until the version acts or is refused, so long at most. */
    public Outcome propose(Proposal proposal, long millis) throws TimeoutException, InterruptedException {
        Packet.Reply reply = ask(proposal.name(), proposal, millis);
        return new Outcome(reply.number(), reply.why());
    }

    private Packet.Reply ask(String document, Proposal proposal, long millis)
            throws TimeoutException, InterruptedException {
        var asked = new Packet.Request(requests.incrementAndGet(), document, proposal);
        var reply = new CompletableFuture<Packet.Reply>();
        String[] last = {""};
        onControl(() -> {
            if (waiting.size() < MOST_WAITING) {
                waiting.put(asked.id(), new Waiting(asked, reply, state -> last[0] = state));
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
        void run() throws IOException, DamagedException;
    }

    private void guarded(Work work) {
        try {
            work.run();
        } catch (IOException | DamagedException | RuntimeException e) {
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
        Message.Ask ask = holder.onTick(now);
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

    private void send(Message.Ask ask) {
        if (ask == null) {
            return;
        }
        answered = false;
        passedOn = 0;
        lastAsk = ask;
        sendTo(target, ask);
    }

    private void sendTo(String leader, Message.Ask ask) {
        if (!leader.equals(name)) {
            links.send(leader, new Packet.Said(ask));
        } else if (voter != null) {
            asking.remove(name);
            if (!voter.onAsk(ask)) {
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

    private void request(Packet.Request request) {
        if (!target.equals(name)) {
            links.send(target, request);
        } else if (voter != null) {
            voter.onRequest(request, answer -> onControl(() -> reply((Packet.Reply) answer)));
        }
    }

    private void reply(Packet.Reply reply) {
        Waiting w = waiting.get(reply.id());
        if (w != null) {
            w.progress().accept(reply.state());
            if (!reply.state().equals("accepted") && !reply.state().equals("pending")) {
                w.reply().complete(reply);
            }
        }
    }

    private void hear(Message message) {
        long now = now();
        Message.Ask ask = null;
        if (message instanceof Message.Grant g) {
            answered = true;
            ask = holder.onGrant(now, g);
        } else if (message instanceof Message.News n) {
            ask = holder.onNews(now, n);
        } else if (message instanceof Message.Denied d) {
            answered = true;
            holder.onDenied(d);
        }
        publish(now); // before the ask, which gives the word that traffic goes by it already
        send(ask);
        keep();
    }

    /** What is held is for all to see. */
    private void publish(long now) {
        snapshot = holder.snapshot();
        List<Chain> known = holder.known();
        boolean changed = false;
        for (Chain c : known) {
            Act act = snapshot.acting(now, c.name());
            Seen.Since was = since.get(c.name());
            if (was == null || was.basis() != act.basis() || was.from() != act.from() || was.to() != act.to()) {
                since.put(c.name(), new Seen.Since(act.basis(), act.from(), act.to(), System.currentTimeMillis()));
                changed = true;
                watcher.changed(c.name(), act);
            }
        }
        String state = voter == null ? "" : voter.state();
        String leader = voter != null && !voter.leader().isEmpty() ? voter.leader() : target;
        if (changed || seen.snapshot() != snapshot || !seen.leader().equals(leader) || !seen.voter().equals(state)
                || !seen.denied().equals(holder.denied())) {
            seen = new Seen(snapshot, known, since, leader, state, holder.denied(), holder.unreadable());
        }
    }

    /** What is known is kept: late, it costs a fallback and breaks nothing. */
    private void keep() {
        List<Chain> known = holder.known();
        if (directory == null || known.equals(kept)) {
            return;
        }
        kept = known;
        try {
            directory.replace(KNOWN, MessageForms.keep(kept));
            keeps = true;
        } catch (IOException e) {
            if (keeps) {
                warn.accept(
                        "what is known can't be kept in " + directory + ", after a restart no fallback is known: " + e);
            }
            keeps = false;
        }
    }

    private void take(Link from, Packet packet) throws DamagedException {
        String who = from.hello().name();
        boolean votes = names.contains(who);
        if (packet instanceof Packet.Said s) {
            if (!(s.message() instanceof Message.Ask ask)) {
                if (votes) {
                    hear(s.message());
                }
            } else if (voter != null && ask.holder().equals(who)) {
                asking.put(who, from);
                if (!voter.onAsk(ask)) {
                    links.send(from, new Packet.Elsewhere(voter.leader()));
                }
            }
        } else if (packet instanceof Packet.Elsewhere e) {
            if (votes) {
                elsewhere(e.leader());
            }
        } else if (packet instanceof Packet.Reply r) {
            reply(r);
        } else if (voter != null && packet instanceof Packet.Request r) {
            if (!voter.onRequest(r, answer -> links.send(from, answer))) {
                links.send(from, new Packet.Elsewhere(voter.leader()));
            }
        } else if (voter != null && votes) {
            if (packet instanceof Packet.Log l) {
                voter.onLog(who, l.message());
            } else if (packet instanceof Packet.Verdict v) {
                voter.onVerdict(who, v.entry());
            } else if (packet instanceof Packet.AskTerm) {
                voter.onAskTerm(who);
            } else if (packet instanceof Packet.Term t) {
                voter.onTerm(who, t.term());
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
    private final class FromLinks implements Links.Heard {
        @Override
        public void packet(Link from, Packet packet) {
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
        public void gone(Link link) {
            onControl(() -> asking.values().removeIf(l -> l == link));
        }
    }

    private final class AroundVoter implements Voter.Around {
        @Override
        public long now() {
            return Agreement.now();
        }

        @Override
        public void toVoter(String to, Packet packet) {
            links.send(to, packet);
        }

        @Override
        public void toHolder(String to, Message message) {
            if (to.equals(name)) {
                onControl(() -> hear(message));
            } else if (asking.containsKey(to)) {
                links.send(asking.get(to), new Packet.Said(message));
            }
        }

        @Override
        public boolean reaches(String other) {
            return links.reaches(other);
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
