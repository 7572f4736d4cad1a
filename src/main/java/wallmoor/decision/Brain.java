package wallmoor.decision;

import java.util.*;
import wallmoor.decision.PeerMessage.Ban;
import wallmoor.decision.PeerMessage.Entry;
import wallmoor.decision.RouterApi.*;
import wallmoor.decision.State.*;

/**
 * All decisions of one root. What it takes in and gives out is in {@link RouterApi}. Single-threaded, no
 * clock and no input or output of its own: equal events after an equal start give equal actions. The ordinary
 * path is the Dummy Queues policy of docs/design.md; all else is marked with what it guards against.
 */
public final class Brain {

    // ---- tuned values -------------------------------------------------------------------------------------

    /** Weight of one latency sample: about the last ten answers count. */
    private static final double LATENCY_STEP = 0.15;
    /** Weight of one sample of the fleet's figures, which get many more samples than one leaf's. */
    private static final double FLEET_STEP = 0.03;
    /** The design's: latency this many times the best marks the count at which a leaf fills up. */
    private static final double KNEE_RISE = 1.2;
    /** The design's start value of that count, in parts. */
    private static final double KNEE_START = 0.5;
    /** The design's cap on parts asked, times those needed. */
    private static final double SPARE_CAP = 1.1;
    /** How far p stays below what would make the mean r*n (the paper's 2n^(alpha-1) on a small fleet). */
    private static final double P_SHORT = 0.05;
    /** A part is late after this many typical latencies: parts differ in work, few sound ones by so much. */
    private static final double LATE_AFTER = 3;
    /** ... and not before this share of its class's aim: below it there is no need to hurry. */
    private static final double LATE_FLOOR = 0.2;
    /** A leaf with but one part out is ill only after its silence has lasted so many times as long. */
    private static final double ALONE = 2;
    /** With more than this share of parts at sound leaves late, everything is slow: no leaf is to blame. */
    private static final double ALL_SLOW = 0.12;
    /** Typical latency before any is heard, as a share of the class's aim. */
    private static final double FIRST_GUESS = 0.15;
    /** A leaf's sample weighs in full when the one before it is many times so many typical latencies old. */
    private static final double SEEN_FOR = 20;
    /** Failures expected before a part is served weigh on a rank as this many latencies each. */
    private static final double FAIL_WEIGHT = 6;
    /** A part that is late is better left where it is than sent to a leaf that fails more than this share. */
    private static final double FAILING = 0.5;
    /** A late part counts as this much of a failed one: in load, sound leaves have late parts too. */
    private static final double LATE_WEIGHT = 0.4;
    /** A failed leaf's share of failures halves in this time (microseconds), as it gets no samples. */
    private static final double FAIL_HALF_LIFE = 3e6;
    /** A leaf to be avoided for a part counts as this much worse there: it comes after all others. */
    private static final double TRIED = 1e3;
    /** Wait before an ill leaf's trial, in typical latencies; so long another root's word of it holds. */
    private static final double TRIAL_AFTER = 12;
    /** ... and before the trial of one that can't be reached or takes nothing: a refusal costs it no work. */
    private static final double REACH_AFTER = 3;
    /** That wait doubles with each trial, so often at most: each costs a part its time, at every root. */
    private static final int TRIALS = 3;
    /** With less time left than this share of a typical latency no attempt can help. */
    private static final double LEAST_TIME = 0.5;
    /** A zone's price in rank: crossing counts as this much more latency for each point of its cost. */
    private static final double CROSS_WEIGHT = 12;
    /** A leaf unused for this many typical latencies is idle: its connection may have died unseen. */
    private static final double IDLE_AFTER = 4;
    /** With more than this share of parts lost that followed idleness, idle connections are closed first. */
    private static final double IDLE_LOSS = 0.2;
    /** With more than this share of attempts lost to timed-out connects, connecting is slow everywhere. */
    private static final double SLOW_CONNECTS = 0.05;
    /** A reset this soon, in typical latencies, points at the part: a full strike; others are half a one. */
    private static final double RESET_SOON = 0.25;
    /** Strikes, at most one for each leaf, at which a query is taken to kill its leaves. */
    private static final double STRIKES_OUT = 2;
    /** Share of the aim that a query may be expected to take at admission. */
    private static final double ADMIT_AIM = 0.9;
    /** Worth for work shifts that share where queries need more than this of their aim, in full at twice. */
    private static final double ADMIT_STRAIN = 0.45;
    /** Bounds on how worth for work shifts that share. */
    private static final double ADMIT_LEAST = 0.7;
    private static final double ADMIT_MOST = 1.2;
    /** Work of a part of the second step, in parts of the first. */
    private static final double FOLLOW_WORK = 0.5;
    /** Query time over the mean of its parts' expected times, before it is learnt; at most one a part. */
    private static final double STRETCH_START = 2.5;
    /** One query's bound on that ratio. */
    private static final double STRETCH_MOST = 6;
    /** Bounds on how the parts out at a leaf now, beside those at its samples, scale its latency. */
    private static final double EXPECT_LEAST = 0.5;
    private static final double EXPECT_MOST = 3;
    /** A come-back time, as a share of the class's aim: the client's next try can still be served. */
    private static final double COME_BACK = 0.3;
    /** Least time between two messages on parts out, in typical latencies: a queue hardly moves in less. */
    private static final double TELL_EVERY = 0.2;
    /** What a root has told of its parts at a leaf fades after this many typical latencies. */
    private static final double TOLD_FOR = 4;
    /** Parts out are told if queries need more of their aim than this, or than so often the price of it. */
    private static final double TELL_STRAIN = 0.25;
    private static final double TELL_WORTH = 2.5;
    /** So many roots at most count in calling a leaf ill: below what this root has tried itself. */
    private static final int TELLERS = 3;
    /** Weight of another root's latency sample. */
    private static final double PEER_STEP = 0.05;
    /** Most calls that a cold leaf gets beyond its allowance, or their root: the bound leaves twice that. */
    private static final double SLACK = 5;
    /** Rounds between two sweeps over what is open. */
    private static final int SWEEP_ROUNDS = 4;
    /** Weights of parts may add up this much short (the wire's rounding). */
    private static final double WEIGHT_SLACK = 5e-5;
    /** Time over which a tenant's use is held against its allowance (microseconds). */
    private static final long TENANT_WINDOW = 2_000_000;
    /** First wait and cap before discovery is asked again (microseconds), doubled with jitter. */
    private static final long ASK_AGAIN = 500_000;
    private static final long ASK_CAP = 4_000_000;

    // ---- state --------------------------------------------------------------------------------------------

    private Settings settings;
    private final RouterApi.Actions actions;
    private final Random random;
    private final Fleet fleet;
    private final Open open = new Open();
    private final ClassTimes times = new ClassTimes(FLEET_STEP, LATENCY_STEP);
    /** The place of the first class in force: its times are what those of leaves are held against. */
    private int leading;
    private final List<WindowCounter> tenantUse = new ArrayList<>();
    private final Map<Integer, Long> banned = new LinkedHashMap<>();
    private final Smoothed meanHint = new Smoothed(FLEET_STEP);
    private final Smoothed meanDensity = new Smoothed(FLEET_STEP);
    private final Smoothed idleLoss = new Smoothed(LATENCY_STEP);
    private final SlowConnects slowConnects = new SlowConnects(FLEET_STEP, SLOW_CONNECTS);
    private final Smoothed strain = new Smoothed(LATENCY_STEP);
    private final Smoothed load = new Smoothed(FLEET_STEP);
    private final ClassShares shares;
    private final WindowCounter taken;
    private final WindowCounter extras;
    /** Parts that a warm leaf serves of ours. */
    private final WarmPace pace = new WarmPace();
    private long startedAt;
    /** When a part was served last, and when a query was admitted last. */
    private long heardAt;
    private long admittedAt;
    /** Queries that an event of this round touched: a busy root has no time for others before a sweep. */
    private final Set<Query> touched = new LinkedHashSet<>();
    private final Set<Leaf> untold = new LinkedHashSet<>();
    private final List<Entry> answers = new ArrayList<>();
    private long toldAt;
    private long alarmUntil;
    private long now;
    private boolean sweeping;
    private boolean sweepDue;
    private boolean stood;
    private long standUntil;
    private boolean subscribed;
    private boolean asking;
    private long askWait = ASK_AGAIN;

    /**
     * Makes the decisions of one root.
     *
     * @throws IllegalArgumentException if the settings contradict themselves
     */
    public Brain(Settings settings, long seed, RouterApi.Actions actions) {
        SettingsCheck.check(settings);
        this.settings = settings;
        this.actions = Objects.requireNonNull(actions, "actions are null");
        random = new Random(seed);
        fleet = new Fleet(settings.layout());
        times.cover(settings.classes().size());
        settings.tenants().forEach(t -> tenantUse.add(new WindowCounter(TENANT_WINDOW)));
        shares = new ClassShares(settings.classes(), settings.costs().worstClass());
        taken = new WindowCounter(Math.max(1, settings.rules().budgetWindow() - settings.round()));
        extras = new WindowCounter(settings.rules().budgetWindow() + settings.round());
    }

    // ---- events -------------------------------------------------------------------------------------------

    /** The root starts; a stale list follows. */
    public void onStart(long at) {
        tick(at);
        startedAt = now;
        if (settings.subscribe()) {
            ask();
        }
    }

    /** So many roots share now what they have in common, and this is this one's place among them, from 0. */
    public void onRoots(int count, int place) {
        settings = settings.among(count, place);
    }

    /**
     * Whole new settings; what is bound to the start stays. A class keeps its place; one gone takes no query.
     *
     * @throws IllegalArgumentException if the settings contradict themselves; nothing has changed then
     */
    public void onSettings(long at, Settings next, Set<Integer> vanished) {
        tick(at);
        Settings changed = settings.changedTo(next);
        SettingsCheck.check(changed);
        settings = changed;
        times.cover(settings.classes().size());
        shares.cover(next.classes().size(), vanished, next.costs().worstClass());
        leading = vanished.contains(leading) ? settings.first(vanished) : leading;
    }

    /** How many leaves of the list are avoided though the list has them serve. */
    public long avoided() {
        return fleet.leaves().stream().filter(l -> l.state == LeafState.UP && l.ill).count();
    }

    /** Time goes on. A root that was not woken when it should have been stood still itself: all that it finds
     * then looks late: for half as long again nothing is learnt from its times, and answers count before
     * silence does, as they may lie unread. */
    private void tick(long at) {
        if (at != now) {
            if (sweeping && at - now > 2L * SWEEP_ROUNDS * settings.round()) {
                standUntil = at + (at - now) / 2;
            }
            stood = at < standUntil;
            now = at;
        }
    }

    /** A query has arrived; its parts follow at the same time. */
    public void onQuery(long at, QueryArrived q) {
        tick(at);
        taken.add(now, 1);
        int index = Math.min(Math.max(q.queryClass(), 0), settings.classes().size() - 1);
        double worthShare = 1;
        if (q.tenant() >= 0 && q.tenant() < tenantUse.size()) {
            WindowCounter use = tenantUse.get(q.tenant());
            use.add(now, 1);
            double allowed = settings.tenants().get(q.tenant()).allowancePerS() / settings.roots();
            if (use.sum(now) > 1 + allowed * TENANT_WINDOW / 1e6) {
                worthShare = settings.overShareWorth();
            }
        }
        QueryClass kind = settings.classes().get(index);
        long first = times.firstTry(now, q, index, settings);
        if (kind.lateWorth() > 0 && first + kind.aim() - now < typical(index)) {
            worthShare *= kind.lateWorth();
            first = now;
        }
        Query query = new Query(q, index, kind, now, worthShare, first);
        open.add(query);
        touched.add(query);
        sweepSoon();
    }

    /** A part of a query has arrived, of its first step or its second. */
    public void onPart(long at, PartArrived p) {
        tick(at);
        taken.add(now, 1);
        Query query = open.query(p.number());
        if (query == null) {
            return;
        }
        double scale = 1;
        if (p.hint() > 0) {
            meanHint.add(p.hint());
            scale = p.hint() / meanHint.or(p.hint());
        }
        open.add(new Part(p.id(), query, p.shard(), p.weight(), scale));
        touched.add(query);
    }

    /** An attempt has ended. */
    public void onOutcome(long at, AttemptEnded e) {
        tick(at);
        Part part = open.part(e.part());
        Attempt attempt = part == null ? null : part.out.remove(e.attempt());
        if (attempt == null) {
            return;
        }
        attempt.leaf.out.remove(attempt);
        attempt.leaf.usedAt = now;
        if (e.outcome() == Outcome.OK && strained()) {
            answers.add(Entry.answer(attempt.leaf.id, e.took() / attempt.part.scale / typical(leading)));
        } else {
            changed(attempt.leaf);
        }
        learn(attempt, e);
        if (attempt.leaf.state == LeafState.REMOVED) {
            fleet.forget(attempt.leaf);
        }
        if (e.outcome().neverRan) {
            part.mayRun.remove(e.attempt());
        }
        if (part.over) {
            open.forget(part);
            return;
        }
        Query q = part.query;
        touched.add(q);
        if (e.outcome() == Outcome.RESET && q.resetBy.add(attempt.leaf)) {
            boolean soon = e.took() < RESET_SOON * typical(q.index);
            q.strikes += soon || q.scout && now < alarmUntil ? 1 : 0.5;
            q.scout |= q.weightIn() == 0; // one that kills is not to take the other replicas too
        }
        part.ok = e.outcome() == Outcome.OK;
        part.over = part.ok || e.over();
        if (part.ok) {
            part.out.values().forEach(this::cancel);
        }
    }

    /** The client has left. */
    public void onHangup(long at, String id) {
        tick(at);
        Query query = open.query(id);
        if (query != null) {
            close(query, false);
        }
    }

    /** A timer is due. */
    public void onTimer(long at, String token) {
        tick(at);
        if (token.equals("sweep")) {
            sweeping = false;
            sweepDue = true;
        } else if (token.equals("ask")) {
            asking = false;
            if (settings.subscribe() && !subscribed) {
                ask();
            }
        }
    }

    /** Another root has sent something. */
    public void onPeer(long at, int from, byte[] contents) {
        tick(at);
        if (from < 0 || from >= settings.roots()) {
            return;
        }
        Ban ban = PeerMessage.ban(contents);
        if (ban != null) {
            ban(ban.signature(), now + ban.lasts());
        }
        PeerMessage.entries(contents).forEach(e -> fleet.tagged(e.tag()).ifPresent(l -> hear(l, e, from)));
    }

    /** What another root tells of a leaf: a hint that fades, and never more than what this root has seen. */
    private void hear(Leaf leaf, Entry e, int from) {
        Told old = leaf.told.remove(from);
        if (!e.isAnswer()) {
            double lasts = (e.isIll() ? TRIAL_AFTER : TOLD_FOR) * typical(leading);
            leaf.told.put(from, new Told(e.isIll() ? 0 : e.code(), e.isIll(), now, now + (long) lasts));
            return;
        }
        leaf.latency.add(typical(leading) * e.ratio(), PEER_STEP);
        leaf.peerHeardAt = now;
        if (old != null && old.parts() > 1) {
            leaf.told.put(from, new Told(old.parts() - 1, false, old.at(), old.until()));
        }
    }

    /** Tells the other roots of parts out, answers and illness, as {@link #hear} takes them. */
    private void tell() {
        if (!settings.limits().peers() || untold.isEmpty() && answers.isEmpty()
                || !open.isEmpty() && now - toldAt < TELL_EVERY * typical(leading)) {
            return;
        }
        toldAt = now;
        for (Leaf leaf : untold) {
            leaf.toldAt = now;
            answers.add(leaf.ill ? Entry.ill(leaf.id) : Entry.parts(leaf.id, leaf.out.size()));
        }
        actions.tellPeers(PeerMessage.write(answers));
        untold.clear();
        answers.clear();
    }

    private void changed(Leaf leaf) {
        if (strained()) {
            untold.add(leaf);
        }
    }

    private boolean strained() {
        double price = settings.costs().peer() * (settings.roots() - 1);
        return settings.limits().peers() && strain.or(0) > Math.min(TELL_STRAIN, TELL_WORTH * price);
    }

    /** All events of this moment are in: decide. */
    public void onEndOfRound(long at) {
        tick(at);
        if (sweepDue) {
            sweepDue = false;
            if (!stood) {
                fleet.leaves().forEach(this::checkSilence);
                boolean slow = allSlow();
                fleet.leaves().forEach(l -> markLate(l, slow));
            }
            pace.warm(now, fleet.sizes(l -> !l.ill && warm(l)));
            touched.clear();
            open.queries().forEach(this::decide);
        } else {
            List.copyOf(touched).stream().filter(open::has).forEach(this::decide);
        }
        touched.clear();
        tell();
        if (!open.isEmpty()) {
            sweepSoon();
        }
    }

    private void sweepSoon() {
        if (!sweeping) {
            sweeping = true;
            actions.timer(SWEEP_ROUNDS * settings.round(), "sweep");
        }
    }

    private void decide(Query q) {
        if (timeOut(q)) {
            return;
        }
        if (q.strikes >= STRIKES_OUT) {
            ban(q.signature(), now + q.kind.giveUp());
            actions.log("query " + q.arrived.id() + " given up: leaves reset under it");
            if (settings.limits().peers()) {
                actions.tellPeers(PeerMessage.write(new Ban(q.signature(), q.kind.giveUp())));
            }
            giveUp(q);
            return;
        }
        if (!q.started) {
            if (q.parts.size() >= q.expected) {
                start(q);
            }
        } else if (done(q)) {
            answer(q, q.step == 1 || q.firstWhole);
        } else {
            replenish(q);
        }
    }

    private static boolean done(Query q) {
        return q.step == 1 ? q.weightIn() >= need(q) - WEIGHT_SLACK : q.parts.stream().allMatch(p -> p.ok);
    }

    // ---- admission ----------------------------------------------------------------------------------------

    /** Refuses at once what can't make its time, least worth for its work first, or is too much to hold. */
    private boolean admit(Query q) {
        List<Part> ranked = ranked(q.parts);
        int n = needed(q, ranked);
        double mean = 0;
        for (Part p : ranked.subList(0, n)) {
            Leaf leaf = choose(p, p.tried);
            mean += leaf == null ? Double.POSITIVE_INFINITY : expected(leaf, q.index) / n;
        }
        double aged = mean * faded(now - Math.max(heardAt, admittedAt), q.kind.aim());
        double work = settings.worthByWork()
                ? (double) n / q.parts.size() : n + FOLLOW_WORK * q.kind.followUp();
        double density = q.kind.worth() * q.worthShare * shares.weight(q.index) / work;
        double relative = Math.sqrt(density / meanDensity.or(density));
        meanDensity.add(density);
        q.predicted = mean;
        double time = aged * times.stretch(q.index).or(Math.min(n, STRETCH_START));
        strain.add(Math.min(2, time / aim(q)));
        double scarce = Math.min(1, Math.max(0, strain.or(0) / ADMIT_STRAIN - 1));
        double shift = Math.min(ADMIT_MOST, Math.max(ADMIT_LEAST, relative)) - 1;
        double allowed = ADMIT_AIM * (1 + shift * scarce) * aim(q);
        if (time > allowed) {
            times.stretch(q.index).add(Math.min(n, STRETCH_START)); // one turned away would never learn again
        }
        boolean admitted = time <= allowed && !open.full(settings);
        admittedAt = admitted ? now : admittedAt;
        return admitted;
    }

    /** The share of the present step's weight that makes it whole. */
    private static double need(Query q) {
        return q.step == 1 ? q.kind.need() : 1;
    }

    /** What an old report still counts: once nothing is sent, nothing is heard that could say better. */
    private static double faded(long age, long aim) {
        return Math.pow(0.5, (double) Math.max(0, age - aim) / aim);
    }

    /** A leaf's latency; one left out, with nothing of ours out there, comes back to the average. */
    private double latency(Leaf leaf, int c) {
        double usual = typical(c);
        double latency = leaf.latency.or(usual);
        return latency <= usual || !leaf.out.isEmpty() ? latency : usual + (latency - usual)
                * faded(now - Math.max(leaf.usedAt, leaf.lastHeard()), settings.classes().get(c).aim());
    }

    /** What a part sent now is expected to take: the leaf's latency, scaled to the parts out there now. */
    private double expected(Leaf leaf, int c) {
        double ratio = (leaf.partsAt(now) + 1) / (leaf.outAtSend.or(leaf.partsAt(now)) + 1);
        return latency(leaf, c) * Math.min(EXPECT_MOST, Math.max(EXPECT_LEAST, ratio));
    }

    private long aim(Query q) {
        long hint = Math.max(0, q.arrived.hint());
        long aim = q.kind.aim() + (long) (q.kind.aimStretch() * hint) - (q.at - q.firstTry);
        return Math.min(aim, q.arrived.deadline() - q.at);
    }

    // ---- the ordinary path: Dummy Queues ------------------------------------------------------------------

    private void start(Query q) {
        if (q.step == 1 && (banned.getOrDefault(q.signature(), 0L) > now || !admit(q))) {
            giveUp(q);
            return;
        }
        q.started = true;
        List<Part> ranked = ranked(q.parts);
        int n = needed(q, ranked);
        int r = n;
        if (n < ranked.size()) {
            load.add(loadNow());
            r = round(clamp(rStar(slowdown(), load.or(0)), n, ranked.size()), n, random.nextDouble());
            if (r > n && !idle(ranked.subList(0, r))) {
                r = n;
            }
        }
        q.scout = q.step == 1 && now < alarmUntil;
        for (int i = 0; i < (q.scout ? 1 : r); i++) {
            Attempt sent = send(ranked.get(i), false);
            if (sent != null) {
                sent.spare = i >= n;
            }
        }
    }

    /** r* = 1/lambda - 1/mu with lambda = load / (1 + 1/mu). */
    static double rStar(double slowdown, double load) {
        return load <= 0 ? Double.POSITIVE_INFINITY : (1 + slowdown) / load - slowdown;
    }

    /** r*n within n and the smaller of k and the cap. */
    static double clamp(double r, int n, int k) {
        return Math.max(n, Math.min(r * n, Math.min(k, SPARE_CAP * n)));
    }

    /** The next whole number with probability p, else one fewer, never fewer than n. */
    static int round(double rn, int n, double draw) {
        double up = Math.ceil(rn);
        double p = rn - (up - 1) - P_SHORT;
        return Math.max(n, (int) (draw < p ? up : up - 1));
    }

    /** 1/mu: mean over leaves of smoothed latency over its best, less one. */
    private double slowdown() {
        return fleet.leaves().stream().filter(l -> l.latency.heard())
                .mapToDouble(l -> l.latency.or(0) / l.best - 1).average().orElse(0);
    }

    /**
     * Our first-n parts out at a leaf, times the roots, over the count at which its latency first rose.
     * Late parts don't count: a hung part would read as load and take the spares away when they help most.
     */
    private double loadNow() {
        return fleet.leaves().stream().filter(l -> l.state == LeafState.UP)
                .mapToDouble(l -> l.out.stream().filter(a -> !a.late && !a.spare).count()
                        * settings.roots() / l.knee)
                .average().orElse(0);
    }

    private boolean idle(List<Part> asked) {
        List<Leaf> used = new ArrayList<>();
        for (Part p : asked) {
            Leaf leaf = choose(p, used);
            if (leaf == null || !leaf.out.isEmpty() || used.contains(leaf)) {
                return false;
            }
            used.add(leaf);
        }
        return true;
    }

    /** How many of the parts, in this order, make a whole answer. */
    private int needed(Query q, List<Part> ranked) {
        int n = 0;
        for (double weight = 0; n < ranked.size() && (q.step == 2 || weight < need(q) - WEIGHT_SLACK); n++) {
            weight += ranked.get(n).weight;
        }
        return n;
    }

    private List<Part> ranked(List<Part> some) {
        Map<Part, Double> ranks = new LinkedHashMap<>();
        for (Part p : some) {
            Leaf leaf = choose(p, p.tried);
            ranks.put(p, leaf == null ? Double.MAX_VALUE : rank(leaf, p));
        }
        return some.stream().sorted((a, b) -> ranks.get(a).compareTo(ranks.get(b))).toList();
    }

    /** The design's rule: least smoothed latency times own parts out plus one; lower is better. */
    private double rank(Leaf leaf, Part p) {
        double rank = latency(leaf, p.query.index) * (leaf.partsAt(now) + 1) / warmth(leaf);
        double failures = leaf.fails.before(now);
        rank *= 1 + FAIL_WEIGHT * failures;
        if (p.query.kind.effect() == Effect.UNSAFE) {
            rank += failures * p.query.kind.aim(); // one failure there is its query's end
        }
        if (!leaf.told.isEmpty()) {
            rank *= Math.pow(1 + FAIL_WEIGHT, Math.min(TELLERS, leaf.toldIll(now)));
        }
        return leaf.zone == settings.zone() ? rank : rank * (1 + CROSS_WEIGHT * settings.costs().crossZone());
    }

    private double typical(int c) {
        return times.typical(c).or(FIRST_GUESS * settings.classes().get(c).aim());
    }

    /** The best leaf for a part that may be sent to, or null; those to avoid come late, silent ones last. */
    private Leaf choose(Part p, List<Leaf> avoid) {
        Leaf best = null;
        double bestRank = 0;
        boolean once = p.query.kind.effect() == Effect.UNSAFE; // what runs once is no trial
        for (Leaf leaf : fleet.holders(p.shard)) {
            if (!sendable(leaf)) {
                continue;
            }
            double rank = rank(leaf, p) * (avoid.contains(leaf) ? TRIED : 1)
                    * (leaf.ill && (now < leaf.trialAt || once) ? TRIED * TRIED : 1);
            if (best == null || rank < bestRank || rank == bestRank && random.nextBoolean()) {
                best = leaf;
                bestRank = rank;
            }
        }
        return best;
    }

    // ---- late and failed parts ----------------------------------------------------------------------------

    /** Brings the timely attempts of a query back up to what it needs: unsent parts first, then retries. */
    private void replenish(Query q) {
        List<Part> open = new ArrayList<>();
        List<Part> unsent = new ArrayList<>();
        double weight = q.weightIn();
        for (Part p : q.parts) {
            if (p.hasTimely()) {
                weight += p.weight;
            } else if (!p.ok) {
                (p.attempts == 0 ? unsent : open).add(p);
            }
        }
        q.scout &= q.weightIn() == 0;
        double need = q.scout ? WEIGHT_SLACK : need(q) - WEIGHT_SLACK;
        if (weight >= need) {
            return;
        }
        for (Part p : ranked(unsent)) {
            if (weight < need && send(p, false) != null) {
                weight += p.weight;
            }
        }
        for (Part p : open) {
            if (weight < need && again(p)) {
                weight += p.weight;
            }
        }
        double still = q.parts.stream().filter(p -> p.ok || !p.over && !p.out.isEmpty() || mayTry(p))
                .mapToDouble(p -> p.weight).sum();
        if (still < q.kind.floor() - WEIGHT_SLACK) {
            giveUp(q);
        }
    }

    /** Whether a further attempt for this part is allowed and in time, were none out and the budget open. */
    private boolean mayTry(Part p) {
        return !p.over && p.attempts < settings.limits().maxAttempts() && fits(p.query)
                && (p.attempts == 0 || now < repeatUntil(p));
    }

    /** Whether there is time for an answer that earns anything. */
    private boolean fits(Query q) {
        return ends(q) - now > LEAST_TIME * typical(q.index);
    }

    /** When an answer to this query ceases to earn anything. */
    private long ends(Query q) {
        return q.kind.lateWorth() > 0 ? q.arrived.deadline() : q.at + aim(q);
    }

    /** A further attempt for a part that failed or is late. If everything is slow, late parts just wait. */
    private boolean again(Part p) {
        if (p.out.isEmpty()) {
            return send(p, false) != null;
        }
        if (p.out.values().stream().anyMatch(a -> a.cancelled)) {
            return true;
        }
        boolean leafIll = p.out.values().stream().allMatch(a -> a.leaf.ill || silent(a.leaf) >= 1);
        Leaf other = choose(p, p.tried);
        if (other == null || p.tried.contains(other) || other.ill || other.fails.share(now) > FAILING
                || !leafIll && allSlow() || now >= repeatUntil(p)) {
            return false;
        }
        if (p.out.size() == 1 && send(p, true) != null) {
            return true;
        }
        var limits = settings.limits();
        boolean full = p.out.size() > (limits.parallelTries() ? 1 : 0);
        if (full && leafIll && limits.cancelling() && p.attempts < limits.maxAttempts() && inBudget()) {
            cancel(p.out.values().iterator().next());
            return true;
        }
        return false;
    }

    /** Refuses queries of this signature for a while: see {@link Query#signature}. */
    private void ban(int signature, long until) {
        banned.values().removeIf(end -> end <= now);
        banned.put(signature, until);
        alarmUntil = Math.max(alarmUntil, until);
    }

    /** Looks for late parts, as they weigh on ranks, and tells of those long out. A second step hurries. */
    private void markLate(Leaf leaf, boolean slow) {
        for (Attempt a : leaf.out) {
            Query q = a.part.query;
            long age = now - a.sentAt;
            double half = q.step == 2 ? (ends(q) - a.sentAt) / 2.0 : Double.MAX_VALUE;
            boolean late = age > Math.min(half, lateAfter(a.part))
                    || leaf.ill && now < leaf.trialAt && age > typical(q.index);
            if (late && !a.late && !slow && !a.part.over) {
                failed(leaf, LATE_WEIGHT);
            }
            a.late |= late;
            if (now - Math.max(a.sentAt, leaf.toldAt) > TOLD_FOR * typical(leading)) {
                changed(leaf);
            }
        }
    }

    private double lateAfter(Part p) {
        Query q = p.query;
        return Math.max(LATE_AFTER * typical(q.index), LATE_FLOOR * q.kind.aim()) * Math.max(1, p.scale);
    }

    private boolean allSlow() {
        int sound = 0;
        int late = 0;
        for (Leaf l : fleet.leaves()) {
            if (!l.ill) {
                sound += l.out.size();
                for (Attempt a : l.out) {
                    late += a.late ? 1 : 0;
                }
            }
        }
        return late > ALL_SLOW * sound && late > 2 || slowConnects.everywhere();
    }

    // ---- endings ------------------------------------------------------------------------------------------

    /** Ends a query whose time or use is over. */
    private boolean timeOut(Query q) {
        long left = q.arrived.deadline() - now;
        if (left > 2L * SWEEP_ROUNDS * settings.round() && now < ends(q)) {
            return false;
        }
        double in = q.weightIn();
        if (in >= q.kind.floor() - WEIGHT_SLACK && (q.step == 2 || q.kind.followUp() == 0)) {
            answer(q, q.step == 1 && in >= need(q) - WEIGHT_SLACK);
        } else {
            giveUp(q);
        }
        return true;
    }

    private void answer(Query q, boolean whole) {
        actions.answer(q.arrived.id(), whole);
        if (q.step == 1 && q.kind.followUp() > 0) {
            q.firstWhole = whole;
            q.expected = (int) Math.min(q.kind.followUp(), q.parts.stream().filter(p -> p.ok).count());
            letGo(q);
            q.parts = new ArrayList<>();
            q.step = 2;
            q.started = false;
            return;
        }
        if (q.predicted > 0 && !stood) {
            times.stretch(q.index).add(Math.min(STRETCH_MOST, (now - q.at) / q.predicted));
        }
        close(q, now - q.at <= aim(q));
    }

    /** The final answer to a query that is given up, at once: a refusal where the rules let it be one. */
    private void giveUp(Query q) {
        if (q.started && q.predicted > 0 && !stood) {
            Smoothed ratio = times.stretch(q.index); // else only those that made it would tell its time
            ratio.add(Math.min(STRETCH_MOST, Math.max((now - q.at) / q.predicted, ratio.or(0))));
        }
        if (q.kind.effect() != Effect.SAFE && q.mayHaveRun()) {
            actions.fail(q.arrived.id());
        } else {
            double longest = settings.limits().retryAfter() ? settings.limits().maxRetryAfter() : 0;
            actions.refuse(q.arrived.id(), (long) Math.min(longest, COME_BACK * q.kind.aim() * jitter(0.25)));
        }
        close(q, false);
    }

    /** Around one, by at most so much either way. */
    private double jitter(double spread) {
        return 1 - spread + 2 * spread * random.nextDouble();
    }

    private void close(Query q, boolean inTime) {
        shares.add(q.index, q.kind.worth() * q.worthShare, inTime);
        open.remove(q);
        letGo(q);
    }

    private void letGo(Query q) {
        for (Part p : q.parts) {
            p.over = true;
            p.out.values().forEach(this::cancel);
            open.forget(p);
        }
    }

    private void cancel(Attempt a) {
        if (!a.cancelled && settings.limits().cancelling()) {
            a.cancelled = true;
            actions.cancel(a.part.id, a.number);
        }
    }

    // ---- leaf health --------------------------------------------------------------------------------------

    private void learn(Attempt a, AttemptEnded e) {
        Leaf leaf = a.leaf;
        int c = a.part.query.index;
        boolean noConnect = e.outcome() == Outcome.CONNECT_FAILED;
        long timeout = settings.limits().connectTimeout();
        boolean slow = noConnect && timeout > 0 && e.took() >= timeout;
        slowConnects.add(leaf.zone, slow);
        if (slow && slowConnects.everywhere()) {
            return; // no leaf is to blame
        }
        switch (e.outcome()) {
            case OK -> {
                double took = Math.max(settings.round(), e.took()); // a clock may stand still
                took /= Math.max(0.5, a.part.scale);
                if (!stood) {
                    sample(leaf, took, a);
                    times.typical(c).add(took);
                }
                leaf.heardAt = now;
                heardAt = now;
                if (!stood && !leaf.ill && warm(leaf)) {
                    pace.answered(now);
                }
                if (a.afterIdle) {
                    idleLoss.add(0);
                }
                failed(leaf, 0);
                well(leaf);
            }
            case CANCELLED, TIMEOUT -> {
                if (!stood && e.took() > leaf.latency.or(typical(c))) {
                    sample(leaf, e.took(), a);
                }
            }
            case ERROR, FULL, RESET, CONNECT_FAILED -> {
                failed(leaf, 1);
                if (e.outcome() != Outcome.ERROR) {
                    leaf.unreachable = true;
                    leaf.died |= e.outcome() == Outcome.RESET || noConnect && !slow;
                    ill(leaf, "" + e.outcome());
                }
            }
            default -> {}
        }
    }

    private void sample(Leaf leaf, double took, Attempt a) {
        leaf.latency.add(took, weight(now - leaf.lastHeard()));
        leaf.outAtSend.add(a.allBefore);
        double smoothed = leaf.latency.or(took);
        if (Double.isNaN(leaf.best) || smoothed < leaf.best) {
            leaf.best = smoothed;
        }
        boolean above = smoothed > KNEE_RISE * leaf.best;
        if (above && !leaf.aboveKnee) {
            leaf.knee = Math.max(KNEE_START, (a.outBefore + 1) * settings.roots());
        }
        leaf.aboveKnee = above;
    }

    /** A sample after a long silence weighs more: where a leaf is heard seldom, the last word counts. */
    private double weight(double gap) {
        return Math.max(LATENCY_STEP, 1 - Math.exp(-gap / (SEEN_FOR * typical(leading))));
    }

    private void failed(Leaf leaf, double share) {
        leaf.fails.add(now, share, weight(now - Math.max(leaf.lastHeard(), leaf.fails.addedAt())));
    }

    /**
     * A leaf that has answered nothing since its oldest part became late is ill. A slow leaf goes on
     * answering other parts, so this seldom acts on plain overload. Where one long part is all that is out,
     * the silence has to last {@link #ALONE} times as long. When wrong, the leaf misses a few parts until
     * its next answer or trial.
     */
    private void checkSilence(Leaf leaf) {
        if (!leaf.ill && silent(leaf) >= (leaf.out.size() > 1 ? 1 : ALONE)) {
            ill(leaf, "silence");
            if (leaf.out.iterator().next().afterIdle) {
                idleLoss.add(1);
            }
        }
    }

    /** How long nothing has come since a leaf's oldest part went out, over the time that makes it late. */
    private double silent(Leaf leaf) {
        if (leaf.out.isEmpty()) {
            return 0;
        }
        Attempt oldest = leaf.out.iterator().next();
        return (now - Math.max(oldest.sentAt, leaf.heardAt)) / lateAfter(oldest.part);
    }

    private void ill(Leaf leaf, String why) {
        if (!leaf.ill) {
            leaf.ill = true;
            actions.log("leaf " + leaf.id + " ill: " + why);
        }
        double wait = (leaf.unreachable ? REACH_AFTER : TRIAL_AFTER) * typical(leading);
        leaf.trialAt = now + (long) (wait * (1 << Math.min(TRIALS, leaf.trials)));
        untold.add(leaf);
    }

    private void well(Leaf leaf) {
        if (!leaf.ill) {
            return;
        }
        leaf.ill = false;
        untold.add(leaf);
        actions.log("leaf " + leaf.id + " well");
        if (leaf.died && !cold(leaf)) {
            leaf.coldFrom = now;
        }
        leaf.inReach();
    }

    // ---- guards of the rules ------------------------------------------------------------------------------

    /**
     * The one place where an attempt is sent. Null if a rule forbids it. A query that has ended has all its
     * parts over; one whose time is up was ended by {@link #timeOut} before this.
     */
    private Attempt send(Part p, boolean second) {
        if (!mayTry(p) || !p.out.isEmpty() && !(second && settings.limits().parallelTries())
                || p.attempts > 0 && !inBudget()) {
            return null;
        }
        Leaf leaf = choose(p, p.tried);
        if (leaf == null) {
            return null;
        }
        Attempt attempt = new Attempt(p, leaf, p.attempts, now, leaf.out.size(), leaf.partsAt(now));
        if (p.attempts > 0) {
            extras.add(now, 1);
        }
        p.sent(attempt);
        changed(leaf);
        leaf.sent(now, settings.coldWindow());
        attempt.afterIdle = now - leaf.usedAt > IDLE_AFTER * typical(p.query.index);
        boolean idleDies = attempt.afterIdle && leaf.usedAt > 0 && idleLoss.or(0) > IDLE_LOSS;
        if (idleDies || leaf.ill && leaf.zone == settings.zone()) {
            actions.closeIdle(leaf.id);
        }
        leaf.usedAt = now;
        if (leaf.ill) {
            leaf.trials++;
            ill(leaf, "trial");
        }
        boolean bound = p.query.kind.effect() == Effect.KEYED // the first too, if a second may overtake it
                && (p.mayRun.size() > 1 || settings.limits().parallelTries());
        actions.assign(p.id, leaf.id, Math.max(settings.round(), ends(p.query) - now),
                bound ? repeatUntil(p) - now : Long.MAX_VALUE);
        return attempt;
    }

    /**
     * Not draining or gone (sooner than the grace asks), not out of reach unless for a trial, and, if cold,
     * within its allowance. A shard with no replica in reach is refused at once, not worn out by retries.
     */
    private boolean sendable(Leaf leaf) {
        if (leaf.state != LeafState.UP || leaf.unreachable && now < leaf.trialAt) {
            return false;
        }
        if (!cold(leaf)) {
            return true;
        }
        double share = coldAllowance(leaf);
        double slack = Math.min(SLACK, Math.sqrt(share * settings.roots()));
        double allowed = share + slack / settings.roots();
        double whole = Math.floor(allowed);
        return leaf.sentSince(now) + 1 <= whole + (myTurn(leaf, allowed - whole) ? 1 : 0);
    }

    /**
     * Of a fraction of a part, that share of the roots sends one in a window, and one root at least. They
     * take turns, at each leaf others, and one changes in a window: any gets one call more than the share.
     */
    private boolean myTurn(Leaf leaf, double share) {
        double turns = (double) now / settings.coldWindow() + settings.position() + leaf.id.hashCode();
        return turns / settings.roots() % 1 < Math.max(share, 1.0 / settings.roots());
    }

    private boolean cold(Leaf leaf) {
        return leaf.coldFrom != RouterApi.ABSENT && now - leaf.coldFrom < settings.rules().cold();
    }

    private boolean warm(Leaf leaf) {
        return leaf.state == LeafState.UP && !cold(leaf);
    }

    /**
     * Parts that this root may send within the window: its share of what a warm leaf carries, at this leaf's
     * warmth. One with a core and no queue serves a part in the typical time at the latest. What a process
     * before this one sent is not known: a leaf older than this one waits until that has left the window.
     */
    private double coldAllowance(Leaf leaf) {
        if (leaf.coldFrom < startedAt && now - startedAt < settings.coldWindow()) {
            return 0;
        }
        long window = settings.rules().overloadFor();
        double least = window / times.slowest() / settings.roots();
        double warm = Math.max(pace.within(window, leaf.size), least);
        return settings.rules().fallMultiple() * warmth(leaf) * warm;
    }

    /** The least share of its capacity that a leaf has at its age. */
    private double warmth(Leaf leaf) {
        var rules = settings.rules();
        return !cold(leaf) ? 1 : rules.coldShare()
                + (1 - rules.coldShare()) * Math.max(0, now - leaf.coldFrom) / Math.max(1, rules.cold());
    }

    /** Until when a part may go again, counted from the decision of the first that may have run. */
    private long repeatUntil(Part p) {
        boolean free = p.query.kind.effect() == Effect.SAFE || !p.mayHaveRun();
        return free ? Long.MAX_VALUE : p.query.kind.effect() == Effect.UNSAFE ? 0
                : p.firstMayHaveRun() + p.query.kind.dedupWindow() - 2 * settings.round();
    }

    private boolean inBudget() {
        var rules = settings.rules();
        return rules.budgetWindow() <= 0
                || extras.sum(now) + 1 <= rules.minExtra() + rules.repeatRatio() * taken.sum(now);
    }

    // ---- discovery ----------------------------------------------------------------------------------------

    /** Discovery has news of the list. */
    public void onList(long at, ListKind kind, List<LeafEntry> entries) {
        tick(at);
        if (kind == ListKind.BROKEN) {
            subscribed = false;
            askLater();
            return;
        }
        if (kind == ListKind.WHOLE || kind == ListKind.CHANGES) {
            subscribed = true;
            askWait = ASK_AGAIN;
        }
        if (kind == ListKind.WHOLE || kind == ListKind.STALE) {
            fleet.keepOnly(entries);
        }
        entries.forEach(this::entry);
    }

    private void entry(LeafEntry e) {
        Leaf leaf = fleet.enter(e, id -> new Leaf(id, LATENCY_STEP, KNEE_START, FAIL_HALF_LIFE));
        if (e.upSince() != RouterApi.ABSENT && e.upSince() > leaf.coldFrom) {
            if (now - e.upSince() < settings.rules().cold()) {
                leaf.startAnew();
            }
            leaf.coldFrom = e.upSince();
        }
    }

    private void ask() {
        actions.subscribe();
        askLater();
    }

    private void askLater() {
        if (asking) {
            return;
        }
        asking = true;
        actions.timer((long) (askWait * jitter(0.5)), "ask"); // all may have lost it at once
        askWait = Math.min(ASK_CAP, 2 * askWait);
    }
}
