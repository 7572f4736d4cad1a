package wallmoor.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import wallmoor.rules.DocumentSchema;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.LeaseHolder;
import wallmoor.rules.LeaseMessage;
import wallmoor.rules.LeaseTable;
import wallmoor.rules.LeaseTiming;
import wallmoor.rules.LogEntry;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleEvent;
import wallmoor.rules.RuleProposal;
import wallmoor.rules.RuleStateMachine;
import wallmoor.rules.VersionChain;

/**
 * Gatherers that agree on one document, {@link #NAME}, by the real deciders; the first few of them vote as well. What
 * they act on is told to a {@link InvariantChecker}. Voters come to lead by themselves where they hear no leader, or
 * when told to.
 */
public final class RuleSimulation implements SimulatedCluster.ProcessListener {
    /** The document. */
    public static final String NAME = "settings";
    /** A voter that heard no leader for so long tries to come to lead. */
    private static final long PATIENCE = 1_000_000;

    private final class Gatherer implements SimulatedCluster.SimulatedProcess {
        final int number;
        final LeaseHolder holder;
        int asks;
        boolean answered = true;

        Gatherer(int number, int life) {
            this.number = number;
            holder = new LeaseHolder("g" + number, life, terms, kinds, kept.get(number));
        }

        @Override
        public void onMessage(long now, int from, Object message) {
            LeaseMessage.LeaseRequest ask = null;
            if (message instanceof LeaseMessage.LeaseGrant g) {
                answered = true;
                asks = from;
                ask = holder.onGrant(now, g);
            } else if (message instanceof LeaseMessage.VersionUpdate n) {
                asks = from;
                ask = holder.onVersionUpdate(now, n);
            } else if (message instanceof LeaseMessage.LeaseDenial d) {
                denied++;
                holder.onDenial(d);
            }
            send(ask);
            kept.set(number, holder.knownVersions());
        }

        @Override
        public void onTick(long now) {
            LeaseMessage.LeaseRequest ask = holder.onTick(now);
            if (ask != null && !answered) { // since the last renewal
                asks = (asks + 1) % voters;
            }
            send(ask);
        }

        private void send(LeaseMessage.LeaseRequest ask) {
            if (ask != null) {
                answered = false;
                world.send(number, asks, ask);
            }
        }
    }

    private final class Voter implements SimulatedCluster.SimulatedProcess, LeaseTable.Actions {
        final int number;
        final int life;
        final Gatherer gatherer;
        final RuleStateMachine ledger = new RuleStateMachine(names);
        final LeaseTable grants;
        int applied;
        long heardAt;
        long toldAt;

        Voter(int number, int life) {
            this.number = number;
            this.life = life;
            gatherer = new Gatherer(number, life);
            grants = new LeaseTable("g" + number, life, terms, ledger, this);
            heardAt = world.localTime(number, world.now());
            apply(heardAt, logged[number]); // it had kept so much
        }

        @Override
        public void onMessage(long now, int from, Object message) {
            if (message instanceof SimulatedLog.LogNotice.Attempt a) {
                log.decide(number, a);
            } else if (message instanceof SimulatedLog.LogNotice.Committed c) {
                apply(now, c.upTo());
            } else if (message instanceof SimulatedLog.LogNotice.Barrier b) {
                apply(now, b.upTo());
                if (b.success()) {
                    grants.onBarrier(now, b.token());
                } else {
                    grants.onBarrierFailed(now, b.token());
                }
            } else if (message instanceof LogEntry e) {
                log.append(number, e);
            } else if (message instanceof LeaseMessage.LeaseRequest a) {
                grants.onLeaseRequest(now, a);
            } else {
                gatherer.onMessage(now, from, message);
            }
        }

        @Override
        public void onTick(long now) {
            int heard = log.heardFromLeader(number);
            grants.onElectionChanged(now, log.believesItLeads(number));
            if (heard >= 0) {
                heardAt = now;
                apply(now, heard);
            } else if (now - heardAt > PATIENCE + world.random().nextLong(PATIENCE)) {
                elect(number);
                heardAt = now;
            }
            RuleDocument pending = ledger.pending(NAME);
            if (pending != null && now - toldAt > PATIENCE / 2) {
                toldAt = now;
                LogEntry verdict = DocumentSchemas.verdict("g" + number, kinds, pending);
                IntStream.range(0, voters).forEach(v -> world.send(number, v, verdict));
            }
            grants.onTick(now);
            gatherer.onTick(now);
        }

        private void apply(long now, long upTo) {
            for (; applied < upTo; applied++) {
                List<RuleEvent> effects = ledger.apply(log.entries().get(applied));
                grants.onApplied(now, effects);
                for (RuleEvent e : effects) {
                    if (e instanceof RuleEvent.VersionPending) {
                        toldAt = Long.MIN_VALUE / 2;
                    } else if (e instanceof RuleEvent.ProposalRejected) {
                        refused++;
                    }
                }
            }
            logged[number] = applied;
        }

        @Override
        public void send(String holder, LeaseMessage message) {
            world.send(number, Integer.parseInt(holder.substring(1)), message);
        }

        @Override
        public void append(LogEntry entry) {
            log.append(number, entry);
        }

        @Override
        public void startBarrier(long token) {
            log.barrier(number, token);
        }
    }

    private final LeaseTiming terms;
    private final Map<String, DocumentSchema> kinds = DocumentSchemas.all();
    private final int voters;
    private final List<String> names;
    private final SimulatedCluster world;
    private final SimulatedLog log;
    private final InvariantChecker checker = new InvariantChecker();
    private final Gatherer[] gatherers;
    private final Voter[] voting;
    private final long[] logged;
    private final RuleStateMachine all;
    private int decided;
    private final List<List<VersionChain>> kept = new ArrayList<>();
    private long refused;
    private long denied;

    /**
     * None of them started.
     *
     * @param late share of the log's notices that take up to three seconds
     */
    public RuleSimulation(int voters, int count, LeaseTiming terms, long tick, double late, long seed) {
        this.terms = terms;
        this.voters = voters;
        names = IntStream.range(0, voters).mapToObj(i -> "g" + i).toList();
        world = new SimulatedCluster(count, tick, seed, this);
        log = new SimulatedLog(world, voters, late);
        gatherers = new Gatherer[count];
        voting = new Voter[voters];
        logged = new long[voters];
        all = new RuleStateMachine(names);
        IntStream.range(0, count).forEach(i -> kept.add(List.of()));
    }

    /** The world they are in. */
    public SimulatedCluster world() {
        return world;
    }

    /** What they did. */
    public InvariantChecker checker() {
        return checker;
    }

    /** Starts a gatherer, or starts it again. */
    public void start(int number) {
        world.start(number, life -> {
            if (number >= voters) {
                gatherers[number] = new Gatherer(number, life);
                return gatherers[number];
            }
            log.onProcessEnded(number);
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
    public void loseStoredVersions(int number) {
        kept.set(number, List.of());
    }

    /** A voter tries to come to lead. */
    public void elect(int voter) {
        if (world.isRunning(voter) && log.elect(voter)) {
            voting[voter].apply(world.localTime(voter, world.now()), log.entries().size());
            voting[voter].grants.onElectionChanged(world.localTime(voter, world.now()), true);
        }
    }

    /** Whoever believes to lead is handed a proposal on the last version that it knows; whether there is one. */
    public boolean propose(String body, String fallback) {
        for (int v = 0; v < voters; v++) {
            if (world.isRunning(v) && log.believesItLeads(v)) {
                RuleDocument head = voting[v].ledger.latestAccepted(NAME);
                log.append(v, new LogEntry.ProposeVersion(new RuleProposal(NAME, head == null ? 0 : head.version(),
                        head == null ? "" : head.hash(), "author", body, fallback)));
                return true;
            }
        }
        return false;
    }

    /** What a gatherer goes by now. */
    public EffectiveRule effectiveRule(int number) {
        return gatherers[number].holder.snapshot().effectiveRule(world.localTime(number, world.now()), NAME);
    }

    /** The last accepted version in the log's order, or 0. */
    public long latestAccepted() {
        for (; decided < log.entries().size(); decided++) {
            all.apply(log.entries().get(decided));
        }
        return all.latestAccepted(NAME) == null ? 0 : all.latestAccepted(NAME).version();
    }

    /** Proposals that came to nothing, counted at each voter; and leases that were denied. */
    public List<Long> counts() {
        return List.of(refused, denied);
    }

    @Override
    public void onStep(int node, long at) {
        if (gatherers[node] == null) {
            return;
        }
        var snapshot = gatherers[node].holder.snapshot();
        EffectiveRule act = snapshot.effectiveRule(world.localTime(node, at), NAME);
        if (act.basis() == EffectiveRule.Basis.VERSION || act.basis() == EffectiveRule.Basis.CAREFUL) {
            checker.startedActing(node, at, act.activeVersion(), act.latestVersion(),
                    world.latestTrueTime(node, snapshot.leaseExpiry()));
        } else {
            checker.stoppedActing(node, at);
        }
    }

    @Override
    public void onStopped(int node, long at) {
        checker.stoppedActing(node, at);
    }
}
