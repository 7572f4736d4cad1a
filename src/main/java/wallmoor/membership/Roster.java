package wallmoor.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import wallmoor.core.Member;

/**
 * The one list of nodes that comes of what several sources say, with a stated rule for their disagreement
 * (docs/membership.md). It decides only: it takes news with their time and returns changes with their causes; it knows
 * no socket, file, clock or thread, and one caller at a time uses it. A change costs by its size, not by the fleet's.
 */
public final class Roster {
    /** Where a node stands, for the operators. */
    public record Standing(Member member, String cause) {}

    /** How a source stands, for the operators. */
    public record SourceStanding(String source, int nodes, int doubted, String state) {}

    /** Nodes under suspicion at most: each is tried every second. */
    private static final int MOST_SUSPECTS = 64;

    private record Wake(long at, String id) {}

    private static final class Node {
        final String id;
        final Holds holds;
        View.Held word;
        View speaker;
        /** Whether a source that is not trusted said that it serves, when last looked at. */
        boolean named;
        boolean eligible;
        String address;
        int cell;
        int tier;
        String refusal;
        Member shown;
        String cause;
        long goneAt;
        long coldFrom;
        boolean dead;
        boolean namedBelow;
        long namedBelowAt;
        long wakeAt;

        Node(String id, Holds holds) {
            this.id = id;
            this.holds = holds;
        }
    }

    private final Policy policy;
    private final Map<String, View> views = new LinkedHashMap<>();
    private final List<View> byRank = new ArrayList<>();
    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<String, Set<String>> claims = new HashMap<>();
    /** Of each cell, the nodes that may serve, by tier. */
    private final Map<Integer, TreeMap<Integer, Set<String>>> cells = new HashMap<>();
    private final Map<String, String> suspects = new LinkedHashMap<>();
    private final PriorityQueue<Wake> wakes = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private int dead;
    private long now;

    /** An empty roster. */
    public Roster(Policy policy) {
        this.policy = policy;
        for (Policy.Source source : policy.sources()) {
            var view = new View(source, policy, byRank.size());
            views.put(source.name(), view);
            byRank.add(view);
        }
    }

    /**
     * Takes news in.
     *
     * @param at microseconds that never go back
     * @return what becomes of which nodes; each is named once at most
     * @throws IllegalArgumentException if the source is unknown, names more nodes than it may or one of them twice:
     *                                  then nothing of the news is taken
     */
    public List<Change> take(long at, News news) {
        now = Math.max(now, at);
        View view = views.get(news.source());
        if (view == null) {
            throw new IllegalArgumentException("no source " + news.source());
        }
        Set<String> touched = Set.of();
        if (news instanceof News.Whole whole) {
            check(view, whole.entries(), 0);
            touched = view.whole(now, whole);
        } else if (news instanceof News.Changes changes) {
            check(view, changes.entries(), view.size());
            touched = view.changes(now, changes);
        } else if (news instanceof News.Same) {
            view.same(now);
        } else if (news instanceof News.Failed failed) {
            view.failed(failed.why());
        }
        return settle(touched);
    }

    private static void check(View view, List<Entry> entries, int held) {
        var named = new LinkedHashSet<String>();
        int most = view.source().mostNodes();
        for (Entry e : entries) {
            if (!named.add(e.id()) && !view.source().trusted()) {
                throw new IllegalArgumentException(view.source().name() + " names " + e.id() + " twice");
            }
        }
        if (held + named.stream().filter(id -> held == 0 || !view.names(id)).count() > most) {
            throw new IllegalArgumentException(view.source().name() + " names more than " + most + " nodes");
        }
    }

    /** What time alone has brought about. */
    public List<Change> tick(long at) {
        now = Math.max(now, at);
        var touched = new LinkedHashSet<String>();
        byRank.forEach(v -> touched.addAll(v.tick(now)));
        return settle(touched);
    }

    /** When {@link #tick} has something to do, or {@link Long#MAX_VALUE}. */
    public long due() {
        long due = wakes.isEmpty() ? Long.MAX_VALUE : wakes.peek().at;
        for (View v : byRank) {
            due = Math.min(due, v.due());
        }
        return due;
    }

    /** A connection to the node came up, or did not: evidence beside the sources, for those not trusted. */
    public List<Change> reached(long at, String id, boolean up) {
        now = Math.max(now, at);
        Node node = nodes.get(id);
        if (node == null || node.speaker == null || node.speaker.source().trusted()) {
            return List.of();
        }
        if (up) {
            suspects.remove(id);
            node.holds.reached();
            return List.of();
        }
        // where most can't be connected to, the fault is nearer than they are: all stay, for the module to try
        if (2 * (dead + 1) > Math.max(2, nodes.size()) || !node.holds.unreached(now)) {
            if (node.shown != null && suspects.size() < MOST_SUSPECTS) {
                suspects.put(id, node.shown.address());
            }
            return List.of();
        }
        return settle(Set.of(id));
    }

    /**
     * Nodes to which a connection has failed, and none come up since, with their addresses. The module leaves such a
     * node alone, so that no further evidence comes of itself: who has sockets should try them, and report.
     */
    public Map<String, String> suspects() {
        return Map.copyOf(suspects);
    }

    /** All nodes that are known, in the order of their ids, with the cause of their state. */
    public List<Standing> standings() {
        return nodes.values().stream().filter(n -> n.shown != null || n.word != null)
                .map(n -> new Standing(n.shown != null ? n.shown : member(n, Member.State.GONE),
                        n.shown != null ? n.cause : n.refusal))
                .sorted((a, b) -> a.member().id().compareTo(b.member().id())).toList();
    }

    /** The sources in the order of their rank. */
    public List<SourceStanding> sources() {
        return byRank.stream().map(v -> new SourceStanding(v.source().name(), v.size(), v.doubted(), v.standing(now)))
                .toList();
    }

    /** Nodes of which anything is remembered. */
    int nodesKept() {
        return nodes.size();
    }

    // ---- deciding -----------------------------------------------------------------------------------------

    /** Looks again at these nodes, at those whose time has come, and at those that depend on them. */
    private List<Change> settle(Collection<String> touched) {
        var look = new LinkedHashSet<>(touched);
        while (!wakes.isEmpty() && wakes.peek().at <= now) {
            look.add(wakes.poll().id);
        }
        if (look.isEmpty()) {
            return List.of();
        }
        for (String id : List.copyOf(look)) { // who claims an address bears on all that claim it
            look.addAll(claim(id));
        }
        var cellsTouched = new LinkedHashMap<Integer, Integer>();
        for (String id : look) {
            judge(nodes.get(id), cellsTouched);
        }
        cellsTouched.forEach((cell, tier) -> {
            if (tierOf(cell) != tier) { // another tier serves the cell now: that bears on all its nodes
                cells.getOrDefault(cell, new TreeMap<>()).values().forEach(look::addAll);
            }
        });
        var changes = new ArrayList<Change>();
        for (String id : look) {
            show(nodes.get(id), changes);
        }
        look.forEach(this::tidy);
        return changes;
    }

    /** Finds whose word counts for a node, and enters its address; returns those that claim the same or its last. */
    private Set<String> claim(String id) {
        Node node = nodes.computeIfAbsent(id, i -> new Node(i, new Holds(policy.holds())));
        node.word = null;
        node.speaker = null;
        for (View v : byRank) { // the first source that says anything of it
            View.Held word = v.word(id);
            // that a node left outranks lower sources only where the source is trusted
            if (word != null && (node.word == null || node.word.gone() && !node.speaker.source().trusted()
                    && !word.gone())) {
                node.word = word;
                node.speaker = v;
            }
        }
        String address = node.word == null ? null : node.word.entry.address();
        var mates = new LinkedHashSet<>(claims.getOrDefault(node.address, Set.of()));
        if (node.address != null && !node.address.equals(address)) {
            claims.get(node.address).remove(id);
            claims.computeIfPresent(node.address, (a, ids) -> ids.isEmpty() ? null : ids);
        }
        if (address != null) {
            claims.computeIfAbsent(address, a -> new LinkedHashSet<>()).add(id);
            mates.addAll(claims.get(address));
        }
        node.address = address;
        mates.removeIf(m -> !nodes.containsKey(m));
        return mates;
    }

    /** Whether a node may serve, apart from its tier. */
    private void judge(Node node, Map<Integer, Integer> cellsTouched) {
        boolean serves = node.word != null && node.word.entry.state() == Member.State.SERVING;
        boolean trusted = node.speaker != null && node.speaker.source().trusted();
        if (!trusted && serves != node.named) {
            if (serves) {
                node.holds.returned(now);
            } else {
                node.holds.left(now);
            }
            node.named = serves;
        }
        node.refusal = null;
        if (serves && !trusted) {
            node.refusal = rival(node);
            if (node.refusal == null && node.holds.held(now)) {
                node.refusal = "held out: " + node.holds.why();
                wake(node, node.holds.until());
            }
        }
        boolean isDead = serves && !trusted && node.holds.dead(now);
        dead += isDead == node.dead ? 0 : isDead ? 1 : -1;
        node.dead = isDead;
        boolean eligible = serves && node.refusal == null;
        int cell = node.word == null ? node.cell : node.word.entry.cell();
        int tier = node.word == null || trusted ? 0 : node.word.entry.tier();
        if (eligible != node.eligible || eligible && (cell != node.cell || tier != node.tier)) {
            if (node.eligible) {
                cellsTouched.putIfAbsent(node.cell, tierOf(node.cell));
                TreeMap<Integer, Set<String>> tiers = cells.get(node.cell);
                tiers.get(node.tier).remove(node.id);
                tiers.computeIfPresent(node.tier, (t, ids) -> ids.isEmpty() ? null : ids);
                cells.computeIfPresent(node.cell, (c, t) -> t.isEmpty() ? null : t);
            }
            if (eligible) {
                cellsTouched.putIfAbsent(cell, tierOf(cell));
                cells.computeIfAbsent(cell, c -> new TreeMap<>())
                        .computeIfAbsent(tier, t -> new LinkedHashSet<>()).add(node.id);
            }
        }
        node.eligible = eligible;
        if (!eligible) {
            suspects.remove(node.id);
        }
        node.cell = cell;
        node.tier = tier;
    }

    /**
     * Has the node looked at again then; an earlier time that is set already finds out by itself what is left to wait.
     */
    private void wake(Node node, long at) {
        if (at > now && (node.wakeAt <= now || at < node.wakeAt)) {
            node.wakeAt = at;
            wakes.add(new Wake(at, node.id));
        }
    }

    private int tierOf(int cell) {
        TreeMap<Integer, Set<String>> tiers = cells.get(cell);
        return tiers == null ? Integer.MAX_VALUE : tiers.firstKey();
    }

    /**
     * Why another's claim to the node's address goes before its own, or null. A higher source's word on an address
     * binds the lower ones under whatever name, also when it says that what was there drains or is gone; a claim that
     * came after that word speaks of something newer. Between equals the later claim goes first; of two that came
     * together neither is to be believed.
     */
    private String rival(Node node) {
        for (String id : claims.get(node.address)) {
            Node other = nodes.get(id);
            if (other == node || other.word == null) {
                continue;
            }
            boolean above = other.speaker.rank() < node.speaker.rank();
            boolean beside = other.speaker == node.speaker;
            boolean gone = other.word.gone();
            if (above && (!gone || node.word.since <= other.word.since)
                    || beside && !gone && node.word.since <= other.word.since) {
                return "its address " + node.address + " is " + id + "'s, " + other.word.cause;
            }
        }
        return null;
    }

    // ---- showing ------------------------------------------------------------------------------------------

    private void show(Node node, List<Change> changes) {
        boolean trusted = node.speaker != null && node.speaker.source().trusted();
        boolean wanted = node.eligible && (trusted || node.tier == tierOf(node.cell));
        if (wanted) {
            become(node, serving(node, trusted), node.word.cause, changes);
            return;
        }
        if (node.word != null && node.word.gone() && trusted) {
            become(node, node.shown == null ? null : member(node, Member.State.GONE), node.word.cause, changes);
            return;
        }
        boolean drains = node.word != null && node.word.entry.state() == Member.State.DRAINING;
        if (drains && (trusted || node.shown != null)) {
            become(node, member(node, Member.State.DRAINING), node.word.cause, changes);
            return;
        }
        String cause = node.refusal != null ? node.refusal
                : node.eligible ? "stands by in tier " + node.tier + ": tier " + tierOf(node.cell) + " serves cell "
                        + node.cell
                        : node.word != null ? node.word.cause : expiry();
        node.refusal = cause;
        if (node.shown == null) {
            return;
        }
        // it finishes what it has, then it is gone
        if (node.shown.state() == Member.State.SERVING || node.goneAt == 0) {
            node.goneAt = now + policy.linger();
        }
        wake(node, node.goneAt);
        boolean over = now >= node.goneAt;
        become(node, new Member(node.id, node.shown.address(), node.shown.zone(), node.shown.kind(),
                node.shown.cell(), over ? Member.State.GONE : Member.State.DRAINING, node.shown.size(),
                node.shown.upSince()), cause, changes);
    }

    private String expiry() {
        for (View v : byRank) {
            if (v.expiry() != null) {
                return v.expiry();
            }
        }
        return "no longer named by any source";
    }

    private void become(Node node, Member member, String cause, List<Change> changes) {
        if (member == null || member.equals(node.shown)) {
            return;
        }
        node.shown = member;
        node.cause = cause;
        if (member.state() == Member.State.SERVING) {
            node.goneAt = 0;
        }
        changes.add(new Change(member, cause));
        if (member.state() == Member.State.GONE) {
            node.shown = null;
            node.goneAt = 0;
        }
    }

    /**
     * The member that a node serves as. A source that does not tell when it started has one that appears or comes back,
     * or that answers elsewhere, cold from then; one that was there when the source was first heard is not.
     */
    private Member serving(Node node, boolean trusted) {
        Entry e = node.word.entry;
        boolean stays = node.shown != null && node.shown.state() == Member.State.SERVING
                && (node.shown.address().equals(e.address()) || trusted);
        if (e.upSince() != Entry.UNTOLD) {
            node.coldFrom = e.upSince();
        } else if (!stays) {
            node.coldFrom = node.word.fromStart && node.shown == null && node.cause == null ? 0 : now;
        }
        return member(node, Member.State.SERVING);
    }

    private static Member member(Node node, Member.State state) {
        Entry e = node.word.entry;
        long upSince = e.upSince() != Entry.UNTOLD ? e.upSince() : node.coldFrom;
        return new Member(node.id, e.address(), e.zone(), e.kind(), e.cell(), state, e.size(), upSince);
    }

    /** Forgets what no longer bears on anything. */
    private void tidy(String id) {
        Node node = nodes.get(id);
        if (node == null || node.shown != null) {
            return;
        }
        while (node.word != null && node.word.gone()) {
            boolean named = byRank.stream().skip(node.speaker.rank() + 1L).anyMatch(v -> v.names(id));
            if (named || node.namedBelow) {
                node.namedBelowAt = now;
            }
            node.namedBelow = named;
            boolean last = node.speaker.rank() == byRank.size() - 1;
            long until = Math.max(node.word.since, node.namedBelowAt) + policy.tombstone();
            if (named || !last && now < until) {
                wake(node, until);
                return;
            }
            node.speaker.forgetTomb(id);
            claim(id);
        }
        if (node.word == null && !node.holds.held(now)) {
            if (node.holds.remembers(now)) { // else one that flaps would be new each time
                wake(node, node.holds.forgetAt());
            } else {
                nodes.remove(id);
            }
        }
    }
}
