package wallmoor.endpoints;

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
import wallmoor.core.WorkerEndpoint;

/**
 * The one list of nodes that comes of what several sources say, with a stated rule for their disagreement
 * (docs/membership.md). It decides only: it takes news with their time and returns changes with their causes; it knows
 * no socket, file, clock or thread, and one caller at a time uses it. A change costs by its size, not by the fleet's.
 */
public final class EndpointRegistry {
    /** Where a node stands, for the operators. */
    public record EndpointStatus(WorkerEndpoint endpoint, String cause) {}

    /** How a source stands, for the operators. */
    public record SourceStatus(String source, int endpoints, int pendingRemoval, String state) {}

    /** Nodes under suspicion at most: each is tried every second. */
    private static final int MOST_SUSPECTS = 64;

    private record ScheduledReview(long at, String id) {}

    private static final class RegisteredEndpoint {
        final String id;
        final FlapDamping holds;
        SourceView.EndpointClaim word;
        SourceView speaker;
        /** Whether a source that is not trusted said that it serves, when last looked at. */
        boolean named;
        boolean eligible;
        String address;
        int cell;
        int tier;
        String refusal;
        WorkerEndpoint shown;
        String cause;
        long goneAt;
        long coldFrom;
        boolean dead;
        boolean namedBelow;
        long namedBelowAt;
        long wakeAt;

        RegisteredEndpoint(String id, FlapDamping holds) {
            this.id = id;
            this.holds = holds;
        }
    }

    private final RegistryPolicy policy;
    private final Map<String, SourceView> views = new LinkedHashMap<>();
    private final List<SourceView> byRank = new ArrayList<>();
    private final Map<String, RegisteredEndpoint> nodes = new HashMap<>();
    private final Map<String, Set<String>> claims = new HashMap<>();
    /** Of each cell, the nodes that may serve, by tier. */
    private final Map<Integer, TreeMap<Integer, Set<String>>> cells = new HashMap<>();
    private final Map<String, String> suspectedAddresses = new LinkedHashMap<>();
    private final PriorityQueue<ScheduledReview> wakes = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private int dead;
    private long now;

    /** An empty roster. */
    public EndpointRegistry(RegistryPolicy policy) {
        this.policy = policy;
        for (RegistryPolicy.SourcePolicy source : policy.sources()) {
            var view = new SourceView(source, policy, byRank.size());
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
    public List<EndpointChange> apply(long at, WatchEvent news) {
        now = Math.max(now, at);
        SourceView view = views.get(news.source());
        if (view == null) {
            throw new IllegalArgumentException("no source " + news.source());
        }
        Set<String> touched = Set.of();
        if (news instanceof WatchEvent.EndpointSnapshot whole) {
            check(view, whole.endpoints(), 0);
            touched = view.whole(now, whole);
        } else if (news instanceof WatchEvent.EndpointDelta changes) {
            check(view, changes.endpoints(), view.size());
            touched = view.changes(now, changes);
        } else if (news instanceof WatchEvent.EndpointsUnchanged) {
            view.same(now);
        } else if (news instanceof WatchEvent.SourceFailure failed) {
            view.failed(failed.reason());
        }
        return settle(touched);
    }

    private static void check(SourceView view, List<SourceEndpoint> entries, int held) {
        var named = new LinkedHashSet<String>();
        int most = view.source().maxEndpoints();
        for (SourceEndpoint e : entries) {
            if (!named.add(e.id()) && !view.source().trusted()) {
                throw new IllegalArgumentException(view.source().name() + " names " + e.id() + " twice");
            }
        }
        if (held + named.stream().filter(id -> held == 0 || !view.names(id)).count() > most) {
            throw new IllegalArgumentException(view.source().name() + " names more than " + most + " nodes");
        }
    }

    /** What time alone has brought about. */
    public List<EndpointChange> tick(long at) {
        now = Math.max(now, at);
        var touched = new LinkedHashSet<String>();
        byRank.forEach(v -> touched.addAll(v.tick(now)));
        return settle(touched);
    }

    /** When {@link #tick} has something to do, or {@link Long#MAX_VALUE}. */
    public long nextTickAt() {
        long due = wakes.isEmpty() ? Long.MAX_VALUE : wakes.peek().at;
        for (SourceView v : byRank) {
            due = Math.min(due, v.due());
        }
        return due;
    }

    /** A connection to the node came up, or did not: evidence beside the sources, for those not trusted. */
    public List<EndpointChange> reportConnection(long at, String id, boolean up) {
        now = Math.max(now, at);
        RegisteredEndpoint node = nodes.get(id);
        if (node == null || node.speaker == null || node.speaker.source().trusted()) {
            return List.of();
        }
        if (up) {
            suspectedAddresses.remove(id);
            node.holds.onConnectSucceeded();
            return List.of();
        }
        // where most can't be connected to, the fault is nearer than they are: all stay, for the module to try
        if (2 * (dead + 1) > Math.max(2, nodes.size()) || !node.holds.onConnectFailed(now)) {
            if (node.shown != null && suspectedAddresses.size() < MOST_SUSPECTS) {
                suspectedAddresses.put(id, node.shown.address());
            }
            return List.of();
        }
        return settle(Set.of(id));
    }

    /**
     * Nodes to which a connection has failed, and none come up since, with their addresses. The module leaves such a
     * node alone, so that no further evidence comes of itself: who has sockets should try them, and report.
     */
    public Map<String, String> suspectedAddresses() {
        return Map.copyOf(suspectedAddresses);
    }

    /** All nodes that are known, in the order of their ids, with the cause of their state. */
    public List<EndpointStatus> endpointStatuses() {
        return nodes.values().stream().filter(n -> n.shown != null || n.word != null)
                .map(n -> new EndpointStatus(n.shown != null ? n.shown : member(n, WorkerEndpoint.EndpointState.GONE),
                        n.shown != null ? n.cause : n.refusal))
                .sorted((a, b) -> a.endpoint().id().compareTo(b.endpoint().id())).toList();
    }

    /** The sources in the order of their rank. */
    public List<SourceStatus> sourceStatuses() {
        return byRank.stream().map(v -> new SourceStatus(v.source().name(), v.size(), v.doubted(), v.standing(now)))
                .toList();
    }

    /** Nodes of which anything is remembered. */
    int retainedEndpoints() {
        return nodes.size();
    }

    // ---- deciding -----------------------------------------------------------------------------------------

    /** Looks again at these nodes, at those whose time has come, and at those that depend on them. */
    private List<EndpointChange> settle(Collection<String> touched) {
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
        var changes = new ArrayList<EndpointChange>();
        for (String id : look) {
            show(nodes.get(id), changes);
        }
        look.forEach(this::tidy);
        return changes;
    }

    /** Finds whose word counts for a node, and enters its address; returns those that claim the same or its last. */
    private Set<String> claim(String id) {
        RegisteredEndpoint node = nodes.computeIfAbsent(id,
                i -> new RegisteredEndpoint(i, new FlapDamping(policy.damping())));
        node.word = null;
        node.speaker = null;
        for (SourceView v : byRank) { // the first source that says anything of it
            SourceView.EndpointClaim word = v.word(id);
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
    private void judge(RegisteredEndpoint node, Map<Integer, Integer> cellsTouched) {
        boolean serves = node.word != null && node.word.entry.state() == WorkerEndpoint.EndpointState.SERVING;
        boolean trusted = node.speaker != null && node.speaker.source().trusted();
        if (!trusted && serves != node.named) {
            if (serves) {
                node.holds.onReturned(now);
            } else {
                node.holds.onRemoved(now);
            }
            node.named = serves;
        }
        node.refusal = null;
        if (serves && !trusted) {
            node.refusal = rival(node);
            if (node.refusal == null && node.holds.isSuppressed(now)) {
                node.refusal = "held out: " + node.holds.suppressionReason();
                wake(node, node.holds.suppressedUntil());
            }
        }
        boolean isDead = serves && !trusted && node.holds.isUnreachable(now);
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
            suspectedAddresses.remove(node.id);
        }
        node.cell = cell;
        node.tier = tier;
    }

    /**
     * Has the node looked at again then; an earlier time that is set already finds out by itself what is left to wait.
     */
    private void wake(RegisteredEndpoint node, long at) {
        if (at > now && (node.wakeAt <= now || at < node.wakeAt)) {
            node.wakeAt = at;
            wakes.add(new ScheduledReview(at, node.id));
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
    private String rival(RegisteredEndpoint node) {
        for (String id : claims.get(node.address)) {
            RegisteredEndpoint other = nodes.get(id);
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

    private void show(RegisteredEndpoint node, List<EndpointChange> changes) {
        boolean trusted = node.speaker != null && node.speaker.source().trusted();
        boolean wanted = node.eligible && (trusted || node.tier == tierOf(node.cell));
        if (wanted) {
            become(node, serving(node, trusted), node.word.cause, changes);
            return;
        }
        if (node.word != null && node.word.gone() && trusted) {
            become(node, node.shown == null ? null : member(node, WorkerEndpoint.EndpointState.GONE), node.word.cause,
                    changes);
            return;
        }
        boolean drains = node.word != null && node.word.entry.state() == WorkerEndpoint.EndpointState.DRAINING;
        if (drains && (trusted || node.shown != null)) {
            become(node, member(node, WorkerEndpoint.EndpointState.DRAINING), node.word.cause, changes);
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
        if (node.shown.state() == WorkerEndpoint.EndpointState.SERVING || node.goneAt == 0) {
            node.goneAt = now + policy.drainMicros();
        }
        wake(node, node.goneAt);
        boolean over = now >= node.goneAt;
        become(node, new WorkerEndpoint(node.id, node.shown.address(), node.shown.zone(), node.shown.kind(),
                node.shown.cell(), over ? WorkerEndpoint.EndpointState.GONE : WorkerEndpoint.EndpointState.DRAINING,
                node.shown.size(),
                node.shown.upSince()), cause, changes);
    }

    private String expiry() {
        for (SourceView v : byRank) {
            if (v.expiry() != null) {
                return v.expiry();
            }
        }
        return "no longer named by any source";
    }

    private void become(RegisteredEndpoint node, WorkerEndpoint member, String cause, List<EndpointChange> changes) {
        if (member == null || member.equals(node.shown)) {
            return;
        }
        node.shown = member;
        node.cause = cause;
        if (member.state() == WorkerEndpoint.EndpointState.SERVING) {
            node.goneAt = 0;
        }
        changes.add(new EndpointChange(member, cause));
        if (member.state() == WorkerEndpoint.EndpointState.GONE) {
            node.shown = null;
            node.goneAt = 0;
        }
    }

    /**
     * The member that a node serves as. A source that does not tell when it started has one that appears or comes back,
     * or that answers elsewhere, cold from then; one that was there when the source was first heard is not.
     */
    private WorkerEndpoint serving(RegisteredEndpoint node, boolean trusted) {
        SourceEndpoint e = node.word.entry;
        boolean stays = node.shown != null && node.shown.state() == WorkerEndpoint.EndpointState.SERVING
                && (node.shown.address().equals(e.address()) || trusted);
        if (e.upSince() != SourceEndpoint.UNKNOWN_START) {
            node.coldFrom = e.upSince();
        } else if (!stays) {
            node.coldFrom = node.word.fromStart && node.shown == null && node.cause == null ? 0 : now;
        }
        return member(node, WorkerEndpoint.EndpointState.SERVING);
    }

    private static WorkerEndpoint member(RegisteredEndpoint node, WorkerEndpoint.EndpointState state) {
        SourceEndpoint e = node.word.entry;
        long upSince = e.upSince() != SourceEndpoint.UNKNOWN_START ? e.upSince() : node.coldFrom;
        return new WorkerEndpoint(node.id, e.address(), e.zone(), e.kind(), e.cell(), state, e.size(), upSince);
    }

    /** Forgets what no longer bears on anything. */
    private void tidy(String id) {
        RegisteredEndpoint node = nodes.get(id);
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
            long until = Math.max(node.word.since, node.namedBelowAt) + policy.tombstoneMicros();
            if (named || !last && now < until) {
                wake(node, until);
                return;
            }
            node.speaker.forgetTomb(id);
            claim(id);
        }
        if (node.word == null && !node.holds.isSuppressed(now)) {
            if (node.holds.hasHistory(now)) { // else one that flaps would be new each time
                wake(node, node.holds.historyExpiresAt());
            } else {
                nodes.remove(id);
            }
        }
    }
}
