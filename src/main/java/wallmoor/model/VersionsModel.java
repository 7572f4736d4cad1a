package wallmoor.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import wallmoor.versions.Act;
import wallmoor.versions.Chain;
import wallmoor.versions.Document;
import wallmoor.versions.Effect;
import wallmoor.versions.Entry;
import wallmoor.versions.Grants;
import wallmoor.versions.Holder;
import wallmoor.versions.Kind;
import wallmoor.versions.Kinds;
import wallmoor.versions.Ledger;
import wallmoor.versions.Message;
import wallmoor.versions.Proposal;
import wallmoor.versions.Terms;

/**
 * Gatherers that agree on one document, {@link #NAME}, by the real deciders; the first few of them vote as well. What
 * they act on is told to a {@link Judge}. Voters come to lead by themselves where they hear no leader, or when told to.
 */
public final class VersionsModel implements World.Watcher {
    /** The document. */
    public static final String NAME = "settings";
    /** A voter that heard no leader for so long tries to come to lead. */
    private static final long PATIENCE = 1_000_000;

    private final class Gatherer implements World.Node {
        final int number;
        final Holder holder;
        int asks;
        boolean answered = true;

        Gatherer(int number, int life) {
            this.number = number;
            holder = new Holder("g" + number, life, terms, kinds, kept.get(number));
        }

        @Override
        public void onMessage(long now, int from, Object message) {
            Message.Ask ask = null;
            if (message instanceof Message.Grant g) {
                answered = true;
                asks = from;
                ask = holder.onGrant(now, g);
            } else if (message instanceof Message.News n) {
                asks = from;
                ask = holder.onNews(now, n);
            } else if (message instanceof Message.Denied d) {
                denied++;
                holder.onDenied(d);
            }
            send(ask);
            kept.set(number, holder.known());
        }

        @Override
        public void onTick(long now) {
            Message.Ask ask = holder.onTick(now);
            if (ask != null && !answered) { // since the last renewal
                asks = (asks + 1) % voters;
            }
            send(ask);
        }

        private void send(Message.Ask ask) {
            if (ask != null) {
                answered = false;
                world.send(number, asks, ask);
            }
        }
    }

    private final class Voter implements World.Node, Grants.Actions {
        final int number;
        final int life;
        final Gatherer gatherer;
        final Ledger ledger = new Ledger(names);
        final Grants grants;
        int applied;
        long heardAt;
        long toldAt;

        Voter(int number, int life) {
            this.number = number;
            this.life = life;
            gatherer = new Gatherer(number, life);
            grants = new Grants("g" + number, life, terms, ledger, this);
            heardAt = world.local(number, world.now());
            apply(heardAt, logged[number]); // it had kept so much
        }

        @Override
        public void onMessage(long now, int from, Object message) {
            if (message instanceof OrderedLog.Notice.Attempt a) {
                log.decide(number, a);
            } else if (message instanceof OrderedLog.Notice.Committed c) {
                apply(now, c.upTo());
            } else if (message instanceof OrderedLog.Notice.Barrier b) {
                apply(now, b.upTo());
                if (b.success()) {
                    grants.onBarrier(now, b.token());
                } else {
                    grants.onNoBarrier(now, b.token());
                }
            } else if (message instanceof Entry e) {
                log.append(number, e);
            } else if (message instanceof Message.Ask a) {
                grants.onAsk(now, a);
            } else {
                gatherer.onMessage(now, from, message);
            }
        }

        @Override
        public void onTick(long now) {
            int heard = log.hears(number);
            grants.onElected(now, log.believesToLead(number));
            if (heard >= 0) {
                heardAt = now;
                apply(now, heard);
            } else if (now - heardAt > PATIENCE + world.random().nextLong(PATIENCE)) {
                elect(number);
                heardAt = now;
            }
            Document pending = ledger.pending(NAME);
            if (pending != null && now - toldAt > PATIENCE / 2) {
                toldAt = now;
                Entry verdict = Kinds.verdict("g" + number, kinds, pending);
                IntStream.range(0, voters).forEach(v -> world.send(number, v, verdict));
            }
            grants.onTick(now);
            gatherer.onTick(now);
        }

        private void apply(long now, long upTo) {
            for (; applied < upTo; applied++) {
                List<Effect> effects = ledger.apply(log.entries().get(applied));
                grants.onApplied(now, effects);
                for (Effect e : effects) {
                    if (e instanceof Effect.Pending) {
                        toldAt = Long.MIN_VALUE / 2;
                    } else if (e instanceof Effect.Refused) {
                        refused++;
                    }
                }
            }
            logged[number] = applied;
        }

        @Override
        public void send(String holder, Message message) {
            world.send(number, Integer.parseInt(holder.substring(1)), message);
        }

        @Override
        public void append(Entry entry) {
            log.append(number, entry);
        }

        @Override
        public void barrier(long token) {
            log.barrier(number, token);
        }
    }

    private final Terms terms;
    private final Map<String, Kind> kinds = Kinds.all();
    private final int voters;
    private final List<String> names;
    private final World world;
    private final OrderedLog log;
    private final Judge judge = new Judge();
    private final Gatherer[] gatherers;
    private final Voter[] voting;
    private final long[] logged;
    private final Ledger all;
    private int decided;
    private final List<List<Chain>> kept = new ArrayList<>();
    private long refused;
    private long denied;

    /**
     * None of them started.
     *
     * @param late share of the log's notices that take up to three seconds
     */
    public VersionsModel(int voters, int count, Terms terms, long tick, double late, long seed) {
        this.terms = terms;
        this.voters = voters;
        names = IntStream.range(0, voters).mapToObj(i -> "g" + i).toList();
        world = new World(count, tick, seed, this);
        log = new OrderedLog(world, voters, late);
        gatherers = new Gatherer[count];
        voting = new Voter[voters];
        logged = new long[voters];
        all = new Ledger(names);
        IntStream.range(0, count).forEach(i -> kept.add(List.of()));
    }

    /** The world they are in. */
    public World world() {
        return world;
    }

    /** What they did. */
    public Judge judge() {
        return judge;
    }

    /** Starts a gatherer, or starts it again. */
    public void start(int number) {
        world.start(number, life -> {
            if (number >= voters) {
                gatherers[number] = new Gatherer(number, life);
                return gatherers[number];
            }
            log.ended(number);
            voting[number] = new Voter(number, life);
            gatherers[number] = voting[number].gatherer;
            return voting[number];
        });
    }

    /** Starts all. */
    public void startAll() {
        IntStream.range(0, gatherers.length).forEach(this::start);
    }

    /** What a gatherer had kept is lost; before it is started again. */
    public void forget(int number) {
        kept.set(number, List.of());
    }

    /** A voter tries to come to lead. */
    public void elect(int voter) {
        if (world.runs(voter) && log.elect(voter)) {
            voting[voter].apply(world.local(voter, world.now()), log.entries().size());
            voting[voter].grants.onElected(world.local(voter, world.now()), true);
        }
    }

    /** Whoever believes to lead is handed a proposal on the last version that it knows; whether there is one. */
    public boolean propose(String body, String fallback) {
        for (int v = 0; v < voters; v++) {
            if (world.runs(v) && log.believesToLead(v)) {
                Document head = voting[v].ledger.head(NAME);
                log.append(v, new Entry.Propose(new Proposal(NAME, head == null ? 0 : head.number(),
                        head == null ? "" : head.hash(), "author", body, fallback)));
                return true;
            }
        }
        return false;
    }

    /** What a gatherer goes by now. */
    public Act act(int number) {
        return gatherers[number].holder.snapshot().acting(world.local(number, world.now()), NAME);
    }

    /** The last accepted version in the log's order, or 0. */
    public long head() {
        for (; decided < log.entries().size(); decided++) {
            all.apply(log.entries().get(decided));
        }
        return all.head(NAME) == null ? 0 : all.head(NAME).number();
    }

    /** Proposals that came to nothing, counted at each voter; and leases that were denied. */
    public List<Long> counts() {
        return List.of(refused, denied);
    }

    @Override
    public void did(int node, long at) {
        if (gatherers[node] == null) {
            return;
        }
        var snapshot = gatherers[node].holder.snapshot();
        Act act = snapshot.acting(world.local(node, at), NAME);
        if (act.basis() == Act.Basis.VERSION || act.basis() == Act.Basis.CAREFUL) {
            judge.acts(node, at, act.from(), act.to(), world.truly(node, snapshot.until()));
        } else {
            judge.ceases(node, at);
        }
    }

    @Override
    public void stopped(int node, long at) {
        judge.ceases(node, at);
    }
}
