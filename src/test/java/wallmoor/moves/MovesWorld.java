package wallmoor.moves;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import wallmoor.moves.Action.Propose;
import wallmoor.moves.Action.Send;
import wallmoor.placement.Block;
import wallmoor.placement.Fleet;
import wallmoor.placement.Node;

/** Nodes, leaders, clients and a wire between them, all on one clock. What is seen of it goes to a judge. */
final class MovesWorld {
    static final long STEP = 10_000;
    static final int CHUNKS = 2;
    static final long QUERY = 150_000;
    static final Settings SETTINGS = new Settings(1_000_000_000, 500_000, 300_000, 1_500_000, 50_000);
    private static final long TIMEOUT = 200_000;

    /** On the wire: a request, or a chunk for it, or what came of it. */
    private record Letter(long due, Leader leader, Send send, Said said, Integer fetched) {}

    /** A part that runs once, on its way to a node. */
    private record Part(long due, int id, String block, String node, long version, List<String> others) {}

    /** A query that reads, and where it will. */
    private record Query(long due, String block, long version, SortedSet<String> owners) {}

    /** One that carries out; it may stand still while another leads. */
    static final class Leader {
        final Mover mover = new Mover(SETTINGS);
        long frozenUntil;
        final Map<Long, Long> deadlines = new TreeMap<>();
    }

    final Fleet fleet;
    final Random random;
    final Map<String, ModelNode> nodes = new TreeMap<>();
    final List<Leader> leaders = new ArrayList<>();
    final Judge judge;
    private List<Letter> wire = new ArrayList<>();
    private List<Part> parts = new ArrayList<>();
    private List<Query> queries = new ArrayList<>();
    private final Map<String, Long> downUntil = new HashMap<>();
    long now;
    long number = 1;
    State state;
    private State accepted;
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

    MovesWorld(Fleet fleet, long seed) {
        this.fleet = fleet;
        random = new Random(seed);
        for (Node n : fleet.nodes()) {
            nodes.put(n.id(), new ModelNode(n.id(), n.diskMb()));
        }
        int made = -1000;
        for (Block b : fleet.blocks()) {
            int[] content = new int[CHUNKS];
            for (int i = 0; i < CHUNKS; i++) {
                content[i] = made--;
            }
            for (String n : b.on()) {
                nodes.get(n).held.put(b.id(), Held.owned(CHUNKS * (long) SETTINGS.chunk(), b.mb()));
                nodes.get(n).content.put(b.id(), content.clone());
            }
        }
        state = State.of(fleet, 4);
        judge = new Judge(this);
        leaders.add(new Leader());
        tell(leaders.get(0));
    }

    private void tell(Leader l) {
        act(l, l.mover.onActs(now, number, state));
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
                    act(l, l.mover.onFailed(now, id, "no answer"));
                });
                act(l, l.mover.onTick(now));
            }
        }
        clients();
        judge.look();
    }

    private void act(Leader l, List<Action> actions) {
        for (Action a : actions) {
            if (a instanceof Propose p) {
                propose(l, p);
            } else if (a instanceof Send s) {
                l.deadlines.put(s.id(), now + TIMEOUT);
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

    private void propose(Leader l, Propose p) {
        if (accepted == null && p.parent() == number) {
            accepted = p.next();
            actsAt = now + STEP * (1 + random.nextInt(3 * jitter));
            try { // what a process would read of the document
                var kind = wallmoor.versions.Kinds.PLAN;
                judge.same(p.next(), State.read(kind.read(p.next().body())));
                judge.check(state.moves().isEmpty() || p.next().most() <= state.most(), "a step is too large");
                judge.check(p.next().body().length() + p.next().fallback().length() <= p.next().most(),
                        "most is not the most");
                judge.check(kind.within(kind.read(p.next().fallback()), kind.read(p.next().body())),
                        "a fallback is bolder");
            } catch (wallmoor.versions.UnreadableException e) {
                throw new AssertionError(e);
            }
        } else if (p.parent() != number || !p.next().equals(accepted)) {
            act(l, l.mover.onRefused(now, p.parent()));
        }
    }

    private void deliver(Letter m) {
        ModelNode node = nodes.get(m.send().node());
        if (m.said() != null) {
            if (m.leader().deadlines.remove(m.send().id()) != null) {
                act(m.leader(), m.leader().mover.onAnswer(now, m.send().id(), m.said()));
            }
            return;
        }
        if (node.down) {
            return;
        }
        if (m.fetched() != null) {
            var p = (Ask.Pull) m.send().ask();
            answer(m, node.pulled(m.send().block(), m.send().number(), p.index(), m.fetched(), p.mostMb()));
            return;
        }
        Said said = node.answer(m.send().block(), m.send().number(), m.send().ask());
        if (said.verdict() == Said.Verdict.OK && m.send().ask() instanceof Ask.Pull p) {
            ModelNode from = nodes.get(p.from());
            if (from.down || !from.of(m.send().block()).whole()) {
                said = new Said(Said.Verdict.NO_SOURCE, said.held(), said.room(), List.of(), 0, Map.of());
            } else { // it is fetched now and written when it has come: the rules are asked again then
                int value = from.content.get(m.send().block())[p.index()];
                boolean flip = flipNext || now < spoilsUntil;
                flipNext = false;
                wire.add(new Letter(now + STEP * (1 + random.nextInt(2 * jitter)), m.leader(), m.send(), null,
                        flip ? value ^ 1 << 20 : value));
                return;
            }
        }
        answer(m, said);
    }

    private void answer(Letter m, Said said) {
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
            ModelNode node = nodes.get(p.node());
            if (p.due() <= now) {
                parts.remove(p);
                if (node.down) {
                    continue; // nobody knows what came of it: it is not told again
                }
                if (random.nextInt(4) == 0) { // told twice, late
                    parts.add(new Part(now + STEP * (20 + random.nextInt(100)), p.id(), p.block(), p.node(),
                            p.version(), List.of()));
                }
                Held h = node.of(p.block());
                if (judge.ranOn(p.id(), node)) {
                    continue; // a node knows the parts that it ran
                }
                if (h.runsOnce(p.version())) {
                    judge.ran(p.id(), p.block(), node);
                } else {
                    node.held.put(p.block(), h.refused(p.version()));
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

    void wish(Mover.Wish wish) {
        Leader l = leaders.get(leaders.size() - 1);
        act(l, l.mover.onWish(now, wish));
    }

    /** Another author's version comes between. */
    void rival() {
        if (accepted == null) {
            accepted = state.pausing(state.paused());
            actsAt = now + 2 * STEP;
        }
    }

    /** What an operator does at last: starts it again, with all that was broken mended. */
    boolean ends() {
        loseRequestsUntil = 0;
        loseAnswersUntil = 0;
        spoilsUntil = 0;
        nodes.values().forEach(n -> n.otherMb = 0);
        for (int i = 0; i < 6_000; i++) {
            if ((state.stopped() && state.moves().isEmpty() || state.paused() || state.frozen().size() > 0)
                    && accepted == null) {
                accepted = state.aim(state.goal(), 4);
                actsAt = now + STEP;
            }
            step();
            if (leaders.get(leaders.size() - 1).mover.status().phase() == Status.Phase.FINISHED
                    && now >= leaders.get(0).frozenUntil) {
                return true;
            }
        }
        return false;
    }
}
