package wallmoor.migration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import wallmoor.migration.MigrationAction.ProposePlan;
import wallmoor.migration.MigrationAction.SendRequest;
import wallmoor.placement.BlockReplicas;
import wallmoor.placement.PlacementProblem;
import wallmoor.placement.StorageNode;

/** Nodes, leaders, clients and a wire between them, all on one clock. What is seen of it goes to a judge. */
final class MigrationSimulation {
    static final long STEP = 10_000;
    static final int CHUNKS = 2;
    static final long QUERY = 150_000;
    static final MigrationSettings SETTINGS = new MigrationSettings(1_000_000_000, 500_000, 300_000, 1_500_000, 50_000);
    private static final long TIMEOUT = 200_000;

    /** On the wire: a request, or a chunk for it, or what came of it. */
    private record Letter(long due, Leader leader, SendRequest send, ReplicaResponse said, Integer fetched) {}

    /** A part that runs once, on its way to a node. */
    private record Part(long due, int id, String block, String node, long version, List<String> others) {}

    /** A query that reads, and where it will. */
    private record Query(long due, String block, long version, SortedSet<String> owners) {}

    /** One that carries out; it may stand still while another leads. */
    static final class Leader {
        final MigrationCoordinator mover = new MigrationCoordinator(SETTINGS);
        long frozenUntil;
        final Map<Long, Long> deadlines = new TreeMap<>();
    }

    final PlacementProblem fleet;
    final Random random;
    final Map<String, SimulatedNode> nodes = new TreeMap<>();
    final List<Leader> leaders = new ArrayList<>();
    final MigrationInvariants judge;
    private List<Letter> wire = new ArrayList<>();
    private List<Part> parts = new ArrayList<>();
    private List<Query> queries = new ArrayList<>();
    private final Map<String, Long> downUntil = new HashMap<>();
    long now;
    long number = 1;
    MigrationPlan state;
    private MigrationPlan accepted;
    private long actsAt;
    private int ids;
    long version;
    // what goes wrong from now on, or once
    long loseRequestsUntil;
    long loseAnswersUntil;
    boolean repeatNext;
    boolean lateNext;
    boolean flipNext;
    long spoilsUntil;
    int jitter = 1;

    MigrationSimulation(PlacementProblem fleet, long seed) {
        this.fleet = fleet;
        random = new Random(seed);
        for (StorageNode n : fleet.nodes()) {
            nodes.put(n.id(), new SimulatedNode(n.id(), n.diskMb()));
        }
        int made = -1000;
        for (BlockReplicas b : fleet.blocks()) {
            int[] content = new int[CHUNKS];
            for (int i = 0; i < CHUNKS; i++) {
                content[i] = made--;
            }
            for (String n : b.holders()) {
                nodes.get(n).held.put(b.id(), ReplicaRecord.owned(CHUNKS * (long) SETTINGS.chunkBytes(), b.sizeMb()));
                nodes.get(n).content.put(b.id(), content.clone());
            }
        }
        state = MigrationPlan.initial(fleet, 4);
        judge = new MigrationInvariants(this);
        leaders.add(new Leader());
        tell(leaders.get(0));
    }

    private void tell(Leader l) {
        act(l, l.mover.onVersionActive(now, number, state));
    }

    /** A step of time, with all that is due in it. */
    void step() {
        now += STEP;
        downUntil.entrySet().removeIf(e -> {
            nodes.get(e.getKey()).down = e.getValue() > now;
            return e.getValue() <= now;
        });
        if (accepted != null && now >= actsAt) {
            number++;
            state = accepted;
            accepted = null;
            leaders.stream().filter(l -> now >= l.frozenUntil).forEach(this::tell);
        }
        List<Letter> due = wire.stream()
                .filter(m -> m.due() <= now && (m.said() == null || now >= m.leader().frozenUntil)).toList();
        var rest = new ArrayList<>(wire);
        rest.removeAll(due);
        wire = rest;
        due.forEach(this::deliver);
        for (Leader l : leaders) {
            if (now >= l.frozenUntil) {
                if (l.mover.status().version() < number) {
                    tell(l);
                }
                var over = l.deadlines.entrySet().stream().filter(e -> e.getValue() <= now).map(Map.Entry::getKey)
                        .toList();
                over.forEach(id -> {
                    l.deadlines.remove(id);
                    act(l, l.mover.onRequestFailed(now, id, "no answer"));
                });
                act(l, l.mover.onTick(now));
            }
        }
        clients();
        judge.look();
    }

    private void act(Leader l, List<MigrationAction> actions) {
        for (MigrationAction a : actions) {
            if (a instanceof ProposePlan p) {
                propose(l, p);
            } else if (a instanceof SendRequest s) {
                l.deadlines.put(s.requestId(), now + TIMEOUT);
                long delay = STEP * (1 + random.nextInt(jitter));
                if (now >= loseRequestsUntil) {
                    wire.add(new Letter(now + (lateNext ? 40 * STEP : delay), l, s, null, null));
                }
                if (repeatNext) {
                    wire.add(new Letter(now + 35 * STEP, l, s, null, null));
                }
                lateNext = false;
                repeatNext = false;
            }
        }
    }

    private void propose(Leader l, ProposePlan p) {
        if (accepted == null && p.parentVersion() == number) {
            accepted = p.plan();
            actsAt = now + STEP * (1 + random.nextInt(3 * jitter));
            try { // what a process would read of the document
                var kind = wallmoor.rules.DocumentSchemas.PLAN;
                judge.same(p.plan(), MigrationPlan.decode(kind.parse(p.plan().body())));
                judge.check(state.migrations().isEmpty() || p.plan().maxEncodedLength() <= state.maxEncodedLength(),
                        "a step is too large");
                judge.check(p.plan().body().length() + p.plan().fallback().length() <= p.plan().maxEncodedLength(),
                        "most is not the most");
                judge.check(kind.isAtMostAsPermissive(kind.parse(p.plan().fallback()), kind.parse(p.plan().body())),
                        "a fallback is bolder");
            } catch (wallmoor.rules.InvalidRuleException | UnreadablePlanException e) {
                throw new AssertionError(e);
            }
        } else if (p.parentVersion() != number || !p.plan().equals(accepted)) {
            act(l, l.mover.onProposalRejected(now, p.parentVersion()));
        }
    }

    private void deliver(Letter m) {
        SimulatedNode node = nodes.get(m.send().node());
        if (m.said() != null) {
            if (m.leader().deadlines.remove(m.send().requestId()) != null) {
                act(m.leader(), m.leader().mover.onResponse(now, m.send().requestId(), m.said()));
            }
            return;
        }
        if (node.down) {
            return;
        }
        if (m.fetched() != null) {
            var p = (ReplicaRequest.FetchChunk) m.send().request();
            answer(m, node.pulled(m.send().block(), m.send().fencingToken(), p.chunkIndex(), m.fetched(), p.limitMb()));
            return;
        }
        ReplicaResponse said = node.answer(m.send().block(), m.send().fencingToken(), m.send().request());
        if (said.code() == ReplicaResponse.ResponseCode.OK
                && m.send().request() instanceof ReplicaRequest.FetchChunk p) {
            SimulatedNode from = nodes.get(p.source());
            if (from.down || !from.of(m.send().block()).isComplete()) {
                said = new ReplicaResponse(ReplicaResponse.ResponseCode.NO_SOURCE, said.replica(), said.space(),
                        List.of(), 0, Map.of());
            } else { // it is fetched now and written when it has come: the rules are asked again then
                int value = from.content.get(m.send().block())[p.chunkIndex()];
                boolean flip = flipNext || now < spoilsUntil;
                flipNext = false;
                wire.add(new Letter(now + STEP * (1 + random.nextInt(2 * jitter)), m.leader(), m.send(), null,
                        flip ? value ^ 1 << 20 : value));
                return;
            }
        }
        answer(m, said);
    }

    private void answer(Letter m, ReplicaResponse said) {
        if (now >= loseAnswersUntil) {
            wire.add(new Letter(now + STEP * (1 + random.nextInt(jitter)), m.leader(), m.send(), said, null));
        }
    }

    /** A client asks for a part that runs once, and another reads. Each goes by a map that acts somewhere. */
    void open(String block, boolean once) {
        boolean hears = accepted != null && random.nextBoolean();
        var on = new TreeSet<>(state.owners().get(block));
        if (hears) {
            on.retainAll(accepted.owners().get(block));
        }
        judge.check(!on.isEmpty(), "nobody owns " + block);
        if (once) {
            var order = new ArrayList<>(on);
            java.util.Collections.shuffle(order, random);
            parts.add(new Part(now + STEP * (1 + random.nextInt(10)), ++ids, block, order.remove(0), number, order));
        } else {
            queries.add(new Query(now + random.nextInt((int) QUERY), block, number, on));
        }
    }

    private void clients() {
        for (Query q : List.copyOf(queries)) {
            if (q.due() <= now) {
                queries.remove(q);
                q.owners().forEach(n -> judge.read(q.block(), q.version(), nodes.get(n)));
            }
        }
        for (Part p : List.copyOf(parts)) {
            SimulatedNode node = nodes.get(p.node());
            if (p.due() <= now) {
                parts.remove(p);
                if (node.down) {
                    continue; // nobody knows what came of it: it is not told again
                }
                if (random.nextInt(4) == 0) { // told twice, late
                    parts.add(new Part(now + STEP * (20 + random.nextInt(100)), p.id(), p.block(), p.node(),
                            p.version(), List.of()));
                }
                ReplicaRecord h = node.of(p.block());
                if (judge.ranOn(p.id(), node)) {
                    continue; // a node knows the parts that it ran
                }
                if (h.servesNonIdempotent(p.version())) {
                    judge.ran(p.id(), p.block(), node);
                } else {
                    node.held.put(p.block(), h.afterRejecting(p.version()));
                    if (!p.others().isEmpty()) {
                        parts.add(new Part(now + STEP, p.id(), p.block(), p.others().get(0), p.version(),
                                p.others().subList(1, p.others().size())));
                    }
                }
            }
        }
    }

    void down(String node, long micros) {
        nodes.get(node).down = true;
        downUntil.put(node, now + micros);
    }

    /** The one that leads is gone, and another begins. */
    void crash() {
        leaders.clear();
        leaders.add(new Leader());
        tell(leaders.get(0));
    }

    /** The one that leads stands still, and another begins; later both act. */
    void pauseLeader(long micros) {
        leaders.get(leaders.size() - 1).frozenUntil = now + micros;
        leaders.add(new Leader());
        tell(leaders.get(leaders.size() - 1));
    }

    void wish(MigrationCoordinator.OperatorCommand wish) {
        Leader l = leaders.get(leaders.size() - 1);
        act(l, l.mover.onCommand(now, wish));
    }

    /** Another author's version comes between. */
    void rival() {
        if (accepted == null) {
            accepted = state.withPaused(state.paused());
            actsAt = now + 2 * STEP;
        }
    }

    private MigrationPlan restarted() {
        try {
            return state.retargeted(state.target(), 4);
        } catch (IncompatibleTargetException e) {
            throw new AssertionError(e);
        }
    }

    /** What an operator does at last: starts it again, with all that was broken mended. */
    boolean ends() {
        loseRequestsUntil = 0;
        loseAnswersUntil = 0;
        spoilsUntil = 0;
        nodes.values().forEach(n -> n.otherMb = 0);
        for (int i = 0; i < 6_000; i++) {
            if (((state.stopped() && state.migrations().isEmpty()) || state.paused() || state.frozenBlocks().size() > 0)
                    && accepted == null) {
                accepted = restarted();
                actsAt = now + STEP;
            }
            step();
            if (leaders.get(leaders.size() - 1).mover.status().phase() == MigrationStatus.MigrationPhase.FINISHED
                    && now >= leaders.get(0).frozenUntil) {
                return true;
            }
        }
        return false;
    }
}
