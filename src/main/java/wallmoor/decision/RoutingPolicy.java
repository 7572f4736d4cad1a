package wallmoor.decision;

import java.util.*;
import wallmoor.decision.GossipMessage.QuarantineNotice;
import wallmoor.decision.GossipMessage.WorkerReport;
import wallmoor.decision.State.*;

/**
 * All decisions of one root. What it takes in and gives out is in {@link RoutingActions}. Single-threaded, no
 * clock and no input or output of its own: equal events after an equal start give equal actions. The ordinary
 * path is the Dummy Queues policy of docs/design.md; all else is marked with what it guards against.
 */
public final class RoutingPolicy {

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

    private RoutingSettings settings;
    private final RoutingActions actions;
    private final Random random;
    private final WorkerTable fleet;
    private final RequestTable open = new RequestTable();
    private final ClassLatencies times = new ClassLatencies(FLEET_STEP, LATENCY_STEP);
    /** The place of the first class in force: its times are what those of leaves are held against. */
    private int leading;
    private final List<SlidingWindowSum> tenantUse = new ArrayList<>();
    private final Map<Integer, Long> banned = new LinkedHashMap<>();
    private final MovingAverage meanHint = new MovingAverage(FLEET_STEP);
    private final MovingAverage meanDensity = new MovingAverage(FLEET_STEP);
    private final MovingAverage idleLoss = new MovingAverage(LATENCY_STEP);
    private final ConnectTimeoutDetector slowConnects = new ConnectTimeoutDetector(FLEET_STEP, SLOW_CONNECTS);
    private final MovingAverage strain = new MovingAverage(LATENCY_STEP);
    private final MovingAverage load = new MovingAverage(FLEET_STEP);
    private final ClassFairness shares;
    private final SlidingWindowSum taken;
    private final SlidingWindowSum extras;
    /** Parts that a warm leaf serves of ours. */
    private final WarmThroughput pace = new WarmThroughput();
    private long startedAt;
    /** When a part was served last, and when a query was admitted last. */
    private long heardAt;
    private long admittedAt;
    /** Queries that an event of this round touched: a busy root has no time for others before a sweep. */
    private final Set<TrackedQuery> touched = new LinkedHashSet<>();
    private final Set<TrackedWorker> untold = new LinkedHashSet<>();
    private final List<WorkerReport> answers = new ArrayList<>();
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
    public RoutingPolicy(RoutingSettings settings, long seed, RoutingActions actions) {
        SettingsValidator.check(settings);
        this.settings = settings;
        this.actions = Objects.requireNonNull(actions, "actions are null");
        random = new Random(seed);
        fleet = new WorkerTable(settings.layout());
        times.ensureClasses(settings.classes().size());
        settings.tenants().forEach(t -> tenantUse.add(new SlidingWindowSum(TENANT_WINDOW)));
        shares = new ClassFairness(settings.classes(), settings.costs().worstServedClass());
        taken = new SlidingWindowSum(Math.max(1, settings.rules().retryBudgetWindow() - settings.roundInterval()));
        extras = new SlidingWindowSum(settings.rules().retryBudgetWindow() + settings.roundInterval());
    }

    // ---- events -------------------------------------------------------------------------------------------

    /** The root starts; a stale list follows. */
    public void onStart(long at) {
        tick(at);
        startedAt = now;
        if (settings.watchOnRequest()) {
            ask();
        }
    }

    /** So many roots share now what they have in common, and this is this one's place among them, from 0. */
    public void onGatherersChanged(int count, int place) {
        settings = settings.amongGatherers(count, place);
    }

    /**
     * Whole new settings; what is bound to the start stays. A class keeps its place; one gone takes no query.
     *
     * @throws IllegalArgumentException if the settings contradict themselves; nothing has changed then
     */
    public void onSettingsChanged(long at, RoutingSettings next, Set<Integer> vanished) {
        tick(at);
        RoutingSettings changed = settings.reloadedWith(next);
        SettingsValidator.check(changed);
        settings = changed;
        times.ensureClasses(settings.classes().size());
        shares.ensureClasses(next.classes().size(), vanished, next.costs().worstServedClass());
        leading = vanished.contains(leading) ? settings.firstClassBut(vanished) : leading;
    }

    /** How many leaves of the list are avoided though the list has them serve. */
    public long ejectedWorkers() {
        return fleet.workers().stream().filter(l -> l.status == WorkerStatus.UP && l.ejected).count();
    }

    /** Time goes on. A root that was not woken when it should have been stood still itself: all that it finds
     * then looks late: for half as long again nothing is learnt from its times, and answers count before
     * silence does, as they may lie unread. */
    private void tick(long at) {
        if (at != now) {
            if (sweeping && at - now > 2L * SWEEP_ROUNDS * settings.roundInterval()) {
                standUntil = at + (at - now) / 2;
            }
            stood = at < standUntil;
            now = at;
        }
    }

    /** A query has arrived; its parts follow at the same time. */
    public void onQueryArrived(long at, QueryArrived q) {
        tick(at);
        taken.add(now, 1);
        int index = Math.min(Math.max(q.queryClass(), 0), settings.classes().size() - 1);
        double worthShare = 1;
        if (q.tenant() >= 0 && q.tenant() < tenantUse.size()) {
            SlidingWindowSum use = tenantUse.get(q.tenant());
            use.add(now, 1);
            double allowed = settings.tenants().get(q.tenant()).quotaPerSecond() / settings.gatherers();
            if (use.sum(now) > 1 + allowed * TENANT_WINDOW / 1e6) {
                worthShare = settings.overQuotaWeight();
            }
        }
        QueryClass kind = settings.classes().get(index);
        long first = times.clientStartTime(now, q, index, settings);
        if (kind.lateValueShare() > 0 && first + kind.latencyObjective() - now < typical(index)) {
            worthShare *= kind.lateValueShare();
            first = now;
        }
        TrackedQuery query = new TrackedQuery(q, index, kind, now, worthShare, first);
        open.add(query);
        touched.add(query);
        sweepSoon();
    }

    /** A part of a query has arrived, of its first step or its second. */
    public void onPartArrived(long at, PartArrived p) {
        tick(at);
        taken.add(now, 1);
        TrackedQuery query = open.query(p.queryNumber());
        if (query == null) {
            return;
        }
        double scale = 1;
        if (p.workHint() > 0) {
            meanHint.add(p.workHint());
            scale = p.workHint() / meanHint.orElse(p.workHint());
        }
        open.add(new TrackedPart(p.id(), query, p.shard(), p.weight(), scale));
        touched.add(query);
    }

    /** An attempt has ended. */
    public void onAttemptEnded(long at, AttemptEnded e) {
        tick(at);
        TrackedPart part = open.part(e.part());
        TrackedAttempt attempt = part == null ? null : part.inFlight.remove(e.attempt());
        if (attempt == null) {
            return;
        }
        attempt.worker.inFlight.remove(attempt);
        attempt.worker.lastUsedAt = now;
        if (e.reason() == AttemptEndReason.OK && strained()) {
            answers.add(
                    WorkerReport.latency(attempt.worker.id, e.duration() / attempt.part.workScale / typical(leading)));
        } else {
            changed(attempt.worker);
        }
        learn(attempt, e);
        if (attempt.worker.status == WorkerStatus.REMOVED) {
            fleet.removeIfUnused(attempt.worker);
        }
        if (e.reason().neverRan) {
            part.possiblyExecuted.remove(e.attempt());
        }
        if (part.finished) {
            open.removeIfUnused(part);
            return;
        }
        TrackedQuery q = part.query;
        touched.add(q);
        if (e.reason() == AttemptEndReason.RESET && q.resetWorkers.add(attempt.worker)) {
            boolean soon = e.duration() < RESET_SOON * typical(q.classIndex);
            q.poisonEvidence += soon || q.scouting && now < alarmUntil ? 1 : 0.5;
            q.scouting |= q.answeredWeight() == 0; // one that kills is not to take the other replicas too
        }
        part.answered = e.reason() == AttemptEndReason.OK;
        part.finished = part.answered || e.partOver();
        if (part.answered) {
            part.inFlight.values().forEach(this::cancel);
        }
    }

    /** The client has left. */
    public void onClientDisconnected(long at, String id) {
        tick(at);
        TrackedQuery query = open.query(id);
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
            if (settings.watchOnRequest() && !subscribed) {
                ask();
            }
        }
    }

    /** Another root has sent something. */
    public void onPeerMessage(long at, int from, byte[] contents) {
        tick(at);
        if (from < 0 || from >= settings.gatherers()) {
            return;
        }
        QuarantineNotice ban = GossipMessage.readQuarantine(contents);
        if (ban != null) {
            ban(ban.signature(), now + ban.duration());
        }
        GossipMessage.readReports(contents).forEach(e -> fleet.byTag(e.tag()).ifPresent(l -> hear(l, e, from)));
    }

    /** What another root tells of a leaf: a hint that fades, and never more than what this root has seen. */
    private void hear(TrackedWorker leaf, WorkerReport e, int from) {
        PeerReport old = leaf.peerReports.remove(from);
        if (!e.isLatency()) {
            double lasts = (e.isEjected() ? TRIAL_AFTER : TOLD_FOR) * typical(leading);
            leaf.peerReports.put(from,
                    new PeerReport(e.isEjected() ? 0 : e.code(), e.isEjected(), now, now + (long) lasts));
            return;
        }
        leaf.latency.add(typical(leading) * e.latencyRatio(), PEER_STEP);
        leaf.peerAnsweredAt = now;
        if (old != null && old.inFlight() > 1) {
            leaf.peerReports.put(from, new PeerReport(old.inFlight() - 1, false, old.reportedAt(), old.expiresAt()));
        }
    }

    /** Tells the other roots of parts out, answers and illness, as {@link #hear} takes them. */
    private void tell() {
        if (!settings.limits().gossip() || untold.isEmpty() && answers.isEmpty()
                || !open.isEmpty() && now - toldAt < TELL_EVERY * typical(leading)) {
            return;
        }
        toldAt = now;
        for (TrackedWorker leaf : untold) {
            leaf.gossipedAt = now;
            answers.add(leaf.ejected ? WorkerReport.ejected(leaf.id)
                    : WorkerReport.inFlight(leaf.id, leaf.inFlight.size()));
        }
        actions.broadcast(GossipMessage.write(answers));
        untold.clear();
        answers.clear();
    }

    private void changed(TrackedWorker leaf) {
        if (strained()) {
            untold.add(leaf);
        }
    }

    private boolean strained() {
        double price = settings.costs().gossipMessage() * (settings.gatherers() - 1);
        return settings.limits().gossip() && strain.orElse(0) > Math.min(TELL_STRAIN, TELL_WORTH * price);
    }

    /** All events of this moment are in: decide. */
    public void onRoundEnd(long at) {
        tick(at);
        if (sweepDue) {
            sweepDue = false;
            if (!stood) {
                fleet.workers().forEach(this::checkSilence);
                boolean slow = allSlow();
                fleet.workers().forEach(l -> markLate(l, slow));
            }
            pace.updateWarmWorkers(now, fleet.relativeSizes(l -> !l.ejected && warm(l)));
            touched.clear();
            open.queries().forEach(this::decide);
        } else {
            List.copyOf(touched).stream().filter(open::contains).forEach(this::decide);
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
            actions.scheduleTimer(SWEEP_ROUNDS * settings.roundInterval(), "sweep");
        }
    }

    private void decide(TrackedQuery q) {
        if (timeOut(q)) {
            return;
        }
        if (q.poisonEvidence >= STRIKES_OUT) {
            ban(q.signature(), now + q.queryClass.clientTimeout());
            actions.log("query " + q.arrival.id() + " given up: leaves reset under it");
            if (settings.limits().gossip()) {
                actions.broadcast(
                        GossipMessage.write(new QuarantineNotice(q.signature(), q.queryClass.clientTimeout())));
            }
            giveUp(q);
            return;
        }
        if (!q.started) {
            if (q.parts.size() >= q.expectedParts) {
                start(q);
            }
        } else if (done(q)) {
            answer(q, q.phase == 1 || q.firstPhaseComplete);
        } else {
            replenish(q);
        }
    }

    private static boolean done(TrackedQuery q) {
        return q.phase == 1 ? q.answeredWeight() >= need(q) - WEIGHT_SLACK : q.parts.stream().allMatch(p -> p.answered);
    }

    // ---- admission ----------------------------------------------------------------------------------------

    /** Refuses at once what can't make its time, least worth for its work first, or is too much to hold. */
    private boolean admit(TrackedQuery q) {
        List<TrackedPart> ranked = ranked(q.parts);
        int n = needed(q, ranked);
        double mean = 0;
        for (TrackedPart p : ranked.subList(0, n)) {
            TrackedWorker leaf = choose(p, p.triedWorkers);
            mean += leaf == null ? Double.POSITIVE_INFINITY : expected(leaf, q.classIndex) / n;
        }
        double aged = mean * faded(now - Math.max(heardAt, admittedAt), q.queryClass.latencyObjective());
        double work = settings.weightByWork()
                ? (double) n / q.parts.size() : n + FOLLOW_WORK * q.queryClass.followUpParts();
        double density = q.queryClass.priorityWeight() * q.weightFactor * shares.weight(q.classIndex) / work;
        double relative = Math.sqrt(density / meanDensity.orElse(density));
        meanDensity.add(density);
        q.predictedPartTime = mean;
        double time = aged * times.queryStretch(q.classIndex).orElse(Math.min(n, STRETCH_START));
        strain.add(Math.min(2, time / aim(q)));
        double scarce = Math.min(1, Math.max(0, strain.orElse(0) / ADMIT_STRAIN - 1));
        double shift = Math.min(ADMIT_MOST, Math.max(ADMIT_LEAST, relative)) - 1;
        double allowed = ADMIT_AIM * (1 + shift * scarce) * aim(q);
        if (time > allowed) {
            times.queryStretch(q.classIndex).add(Math.min(n, STRETCH_START)); // one turned away would never learn again
        }
        boolean admitted = time <= allowed && !open.isFull(settings);
        admittedAt = admitted ? now : admittedAt;
        return admitted;
    }

    /** The share of the present step's weight that makes it whole. */
    private static double need(TrackedQuery q) {
        return q.phase == 1 ? q.queryClass.completeShare() : 1;
    }

    /** What an old report still counts: once nothing is sent, nothing is heard that could say better. */
    private static double faded(long age, long aim) {
        return Math.pow(0.5, (double) Math.max(0, age - aim) / aim);
    }

    /** A leaf's latency; one left out, with nothing of ours out there, comes back to the average. */
    private double latency(TrackedWorker leaf, int c) {
        double usual = typical(c);
        double latency = leaf.latency.orElse(usual);
        return latency <= usual || !leaf.inFlight.isEmpty() ? latency : usual + (latency - usual)
                * faded(now - Math.max(leaf.lastUsedAt, leaf.lastAnsweredAt()),
                        settings.classes().get(c).latencyObjective());
    }

    /** What a part sent now is expected to take: the leaf's latency, scaled to the parts out there now. */
    private double expected(TrackedWorker leaf, int c) {
        double ratio = (leaf.totalInFlight(now) + 1) / (leaf.inFlightAtSend.orElse(leaf.totalInFlight(now)) + 1);
        return latency(leaf, c) * Math.min(EXPECT_MOST, Math.max(EXPECT_LEAST, ratio));
    }

    private long aim(TrackedQuery q) {
        long hint = Math.max(0, q.arrival.workHint());
        long aim = q.queryClass.latencyObjective() + (long) (q.queryClass.objectivePerWork() * hint)
                - (q.arrivedAt - q.clientStartedAt);
        return Math.min(aim, q.arrival.deadline() - q.arrivedAt);
    }

    // ---- the ordinary path: Dummy Queues ------------------------------------------------------------------

    private void start(TrackedQuery q) {
        if (q.phase == 1 && (banned.getOrDefault(q.signature(), 0L) > now || !admit(q))) {
            giveUp(q);
            return;
        }
        q.started = true;
        List<TrackedPart> ranked = ranked(q.parts);
        int n = needed(q, ranked);
        int r = n;
        if (n < ranked.size()) {
            load.add(loadNow());
            r = round(clamp(optimalRedundancy(slowdown(), load.orElse(0)), n, ranked.size()), n, random.nextDouble());
            if (r > n && !idle(ranked.subList(0, r))) {
                r = n;
            }
        }
        q.scouting = q.phase == 1 && now < alarmUntil;
        for (int i = 0; i < (q.scouting ? 1 : r); i++) {
            TrackedAttempt sent = send(ranked.get(i), false);
            if (sent != null) {
                sent.spare = i >= n;
            }
        }
    }

    /** r* = 1/lambda - 1/mu with lambda = load / (1 + 1/mu). */
    static double optimalRedundancy(double slowdown, double load) {
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
        return fleet.workers().stream().filter(l -> l.latency.hasValue())
                .mapToDouble(l -> l.latency.orElse(0) / l.bestLatency - 1).average().orElse(0);
    }

    /**
     * Our first-n parts out at a leaf, times the roots, over the count at which its latency first rose.
     * Late parts don't count: a hung part would read as load and take the spares away when they help most.
     */
    private double loadNow() {
        return fleet.workers().stream().filter(l -> l.status == WorkerStatus.UP)
                .mapToDouble(l -> l.inFlight.stream().filter(a -> !a.late && !a.spare).count()
                        * settings.gatherers() / l.concurrencyLimit)
                .average().orElse(0);
    }

    private boolean idle(List<TrackedPart> asked) {
        List<TrackedWorker> used = new ArrayList<>();
        for (TrackedPart p : asked) {
            TrackedWorker leaf = choose(p, used);
            if (leaf == null || !leaf.inFlight.isEmpty() || used.contains(leaf)) {
                return false;
            }
            used.add(leaf);
        }
        return true;
    }

    /** How many of the parts, in this order, make a whole answer. */
    private int needed(TrackedQuery q, List<TrackedPart> ranked) {
        int n = 0;
        for (double weight = 0; n < ranked.size() && (q.phase == 2 || weight < need(q) - WEIGHT_SLACK); n++) {
            weight += ranked.get(n).weight;
        }
        return n;
    }

    private List<TrackedPart> ranked(List<TrackedPart> some) {
        Map<TrackedPart, Double> ranks = new LinkedHashMap<>();
        for (TrackedPart p : some) {
            TrackedWorker leaf = choose(p, p.triedWorkers);
            ranks.put(p, leaf == null ? Double.MAX_VALUE : rank(leaf, p));
        }
        return some.stream().sorted((a, b) -> ranks.get(a).compareTo(ranks.get(b))).toList();
    }

    /** The design's rule: least smoothed latency times own parts out plus one; lower is better. */
    private double rank(TrackedWorker leaf, TrackedPart p) {
        double rank = latency(leaf, p.query.classIndex) * (leaf.totalInFlight(now) + 1) / warmth(leaf);
        double failures = leaf.failureRate.expectedFailures(now);
        rank *= 1 + FAIL_WEIGHT * failures;
        if (p.query.queryClass.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            rank += failures * p.query.queryClass.latencyObjective(); // one failure there is its query's end
        }
        if (!leaf.peerReports.isEmpty()) {
            rank *= Math.pow(1 + FAIL_WEIGHT, Math.min(TELLERS, leaf.peersThatEjected(now)));
        }
        return leaf.zone == settings.zone() ? rank : rank * (1 + CROSS_WEIGHT * settings.costs().crossZone());
    }

    private double typical(int c) {
        return times.partLatency(c).orElse(FIRST_GUESS * settings.classes().get(c).latencyObjective());
    }

    /** The best leaf for a part that may be sent to, or null; those to avoid come late, silent ones last. */
    private TrackedWorker choose(TrackedPart p, List<TrackedWorker> avoid) {
        TrackedWorker best = null;
        double bestRank = 0;
        boolean once = p.query.queryClass.idempotency() == Idempotency.NOT_IDEMPOTENT; // what runs once is no trial
        for (TrackedWorker leaf : fleet.holders(p.shard)) {
            if (!sendable(leaf)) {
                continue;
            }
            double rank = rank(leaf, p) * (avoid.contains(leaf) ? TRIED : 1)
                    * (leaf.ejected && (now < leaf.halfOpenAt || once) ? TRIED * TRIED : 1);
            if (best == null || rank < bestRank || rank == bestRank && random.nextBoolean()) {
                best = leaf;
                bestRank = rank;
            }
        }
        return best;
    }

    // ---- late and failed parts ----------------------------------------------------------------------------

    /** Brings the timely attempts of a query back up to what it needs: unsent parts first, then retries. */
    private void replenish(TrackedQuery q) {
        List<TrackedPart> open = new ArrayList<>();
        List<TrackedPart> unsent = new ArrayList<>();
        double weight = q.answeredWeight();
        for (TrackedPart p : q.parts) {
            if (p.hasTimelyAttempt()) {
                weight += p.weight;
            } else if (!p.answered) {
                (p.attemptCount == 0 ? unsent : open).add(p);
            }
        }
        q.scouting &= q.answeredWeight() == 0;
        double need = q.scouting ? WEIGHT_SLACK : need(q) - WEIGHT_SLACK;
        if (weight >= need) {
            return;
        }
        for (TrackedPart p : ranked(unsent)) {
            if (weight < need && send(p, false) != null) {
                weight += p.weight;
            }
        }
        for (TrackedPart p : open) {
            if (weight < need && again(p)) {
                weight += p.weight;
            }
        }
        double still = q.parts.stream().filter(p -> p.answered || !p.finished && !p.inFlight.isEmpty() || mayTry(p))
                .mapToDouble(p -> p.weight).sum();
        if (still < q.queryClass.minimumShare() - WEIGHT_SLACK) {
            giveUp(q);
        }
    }

    /** Whether a further attempt for this part is allowed and in time, were none out and the budget open. */
    private boolean mayTry(TrackedPart p) {
        return !p.finished && p.attemptCount < settings.limits().maxAttempts() && fits(p.query)
                && (p.attemptCount == 0 || now < repeatUntil(p));
    }

    /** Whether there is time for an answer that earns anything. */
    private boolean fits(TrackedQuery q) {
        return ends(q) - now > LEAST_TIME * typical(q.classIndex);
    }

    /** When an answer to this query ceases to earn anything. */
    private long ends(TrackedQuery q) {
        return q.queryClass.lateValueShare() > 0 ? q.arrival.deadline() : q.arrivedAt + aim(q);
    }

    /** A further attempt for a part that failed or is late. If everything is slow, late parts just wait. */
    private boolean again(TrackedPart p) {
        if (p.inFlight.isEmpty()) {
            return send(p, false) != null;
        }
        if (p.inFlight.values().stream().anyMatch(a -> a.cancelled)) {
            return true;
        }
        boolean leafIll = p.inFlight.values().stream().allMatch(a -> a.worker.ejected || silent(a.worker) >= 1);
        TrackedWorker other = choose(p, p.triedWorkers);
        if (other == null || p.triedWorkers.contains(other) || other.ejected || other.failureRate.rate(now) > FAILING
                || !leafIll && allSlow() || now >= repeatUntil(p)) {
            return false;
        }
        if (p.inFlight.size() == 1 && send(p, true) != null) {
            return true;
        }
        var limits = settings.limits();
        boolean full = p.inFlight.size() > (limits.parallelAttempts() ? 1 : 0);
        if (full && leafIll && limits.cancellation() && p.attemptCount < limits.maxAttempts() && inBudget()) {
            cancel(p.inFlight.values().iterator().next());
            return true;
        }
        return false;
    }

    /** Refuses queries of this signature for a while: see {@link TrackedQuery#signature}. */
    private void ban(int signature, long until) {
        banned.values().removeIf(end -> end <= now);
        banned.put(signature, until);
        alarmUntil = Math.max(alarmUntil, until);
    }

    /** Looks for late parts, as they weigh on ranks, and tells of those long out. A second step hurries. */
    private void markLate(TrackedWorker leaf, boolean slow) {
        for (TrackedAttempt a : leaf.inFlight) {
            TrackedQuery q = a.part.query;
            long age = now - a.sentAt;
            double half = q.phase == 2 ? (ends(q) - a.sentAt) / 2.0 : Double.MAX_VALUE;
            boolean late = age > Math.min(half, lateAfter(a.part))
                    || leaf.ejected && now < leaf.halfOpenAt && age > typical(q.classIndex);
            if (late && !a.late && !slow && !a.part.finished) {
                failed(leaf, LATE_WEIGHT);
            }
            a.late |= late;
            if (now - Math.max(a.sentAt, leaf.gossipedAt) > TOLD_FOR * typical(leading)) {
                changed(leaf);
            }
        }
    }

    private double lateAfter(TrackedPart p) {
        TrackedQuery q = p.query;
        return Math.max(LATE_AFTER * typical(q.classIndex), LATE_FLOOR * q.queryClass.latencyObjective())
                * Math.max(1, p.workScale);
    }

    private boolean allSlow() {
        int sound = 0;
        int late = 0;
        for (TrackedWorker l : fleet.workers()) {
            if (!l.ejected) {
                sound += l.inFlight.size();
                for (TrackedAttempt a : l.inFlight) {
                    late += a.late ? 1 : 0;
                }
            }
        }
        return late > ALL_SLOW * sound && late > 2 || slowConnects.inEveryZone();
    }

    // ---- endings ------------------------------------------------------------------------------------------

    /** Ends a query whose time or use is over. */
    private boolean timeOut(TrackedQuery q) {
        long left = q.arrival.deadline() - now;
        if (left > 2L * SWEEP_ROUNDS * settings.roundInterval() && now < ends(q)) {
            return false;
        }
        double in = q.answeredWeight();
        if (in >= q.queryClass.minimumShare() - WEIGHT_SLACK && (q.phase == 2 || q.queryClass.followUpParts() == 0)) {
            answer(q, q.phase == 1 && in >= need(q) - WEIGHT_SLACK);
        } else {
            giveUp(q);
        }
        return true;
    }

    private void answer(TrackedQuery q, boolean whole) {
        actions.answer(q.arrival.id(), whole);
        if (q.phase == 1 && q.queryClass.followUpParts() > 0) {
            q.firstPhaseComplete = whole;
            q.expectedParts = (int) Math.min(q.queryClass.followUpParts(),
                    q.parts.stream().filter(p -> p.answered).count());
            letGo(q);
            q.parts = new ArrayList<>();
            q.phase = 2;
            q.started = false;
            return;
        }
        if (q.predictedPartTime > 0 && !stood) {
            times.queryStretch(q.classIndex).add(Math.min(STRETCH_MOST, (now - q.arrivedAt) / q.predictedPartTime));
        }
        close(q, now - q.arrivedAt <= aim(q));
    }

    /** The final answer to a query that is given up, at once: a refusal where the rules let it be one. */
    private void giveUp(TrackedQuery q) {
        if (q.started && q.predictedPartTime > 0 && !stood) {
            MovingAverage ratio = times.queryStretch(q.classIndex); // else only those that made it would tell its time
            ratio.add(Math.min(STRETCH_MOST, Math.max((now - q.arrivedAt) / q.predictedPartTime, ratio.orElse(0))));
        }
        if (q.queryClass.idempotency() != Idempotency.IDEMPOTENT && q.mayHaveExecuted()) {
            actions.fail(q.arrival.id());
        } else {
            double longest = settings.limits().retryAfter() ? settings.limits().maxRetryAfter() : 0;
            actions.reject(q.arrival.id(),
                    (long) Math.min(longest, COME_BACK * q.queryClass.latencyObjective() * jitter(0.25)));
        }
        close(q, false);
    }

    /** Around one, by at most so much either way. */
    private double jitter(double spread) {
        return 1 - spread + 2 * spread * random.nextDouble();
    }

    private void close(TrackedQuery q, boolean inTime) {
        shares.add(q.classIndex, q.queryClass.priorityWeight() * q.weightFactor, inTime);
        open.remove(q);
        letGo(q);
    }

    private void letGo(TrackedQuery q) {
        for (TrackedPart p : q.parts) {
            p.finished = true;
            p.inFlight.values().forEach(this::cancel);
            open.removeIfUnused(p);
        }
    }

    private void cancel(TrackedAttempt a) {
        if (!a.cancelled && settings.limits().cancellation()) {
            a.cancelled = true;
            actions.cancelAttempt(a.part.id, a.number);
        }
    }

    // ---- leaf health --------------------------------------------------------------------------------------

    private void learn(TrackedAttempt a, AttemptEnded e) {
        TrackedWorker leaf = a.worker;
        int c = a.part.query.classIndex;
        boolean noConnect = e.reason() == AttemptEndReason.CONNECT_FAILED;
        long timeout = settings.limits().connectTimeout();
        boolean slow = noConnect && timeout > 0 && e.duration() >= timeout;
        slowConnects.add(leaf.zone, slow);
        if (slow && slowConnects.inEveryZone()) {
            return; // no leaf is to blame
        }
        switch (e.reason()) {
            case OK -> {
                double took = Math.max(settings.roundInterval(), e.duration()); // a clock may stand still
                took /= Math.max(0.5, a.part.workScale);
                if (!stood) {
                    sample(leaf, took, a);
                    times.partLatency(c).add(took);
                }
                leaf.answeredAt = now;
                heardAt = now;
                if (!stood && !leaf.ejected && warm(leaf)) {
                    pace.recordAnswer(now);
                }
                if (a.afterIdle) {
                    idleLoss.add(0);
                }
                failed(leaf, 0);
                well(leaf);
            }
            case CANCELLED, TIMEOUT -> {
                if (!stood && e.duration() > leaf.latency.orElse(typical(c))) {
                    sample(leaf, e.duration(), a);
                }
            }
            case ERROR, REJECTED, RESET, CONNECT_FAILED -> {
                failed(leaf, 1);
                if (e.reason() != AttemptEndReason.ERROR) {
                    leaf.unreachable = true;
                    leaf.processLost |= e.reason() == AttemptEndReason.RESET || noConnect && !slow;
                    ill(leaf, "" + e.reason());
                }
            }
            default -> {}
        }
    }

    private void sample(TrackedWorker leaf, double took, TrackedAttempt a) {
        leaf.latency.add(took, weight(now - leaf.lastAnsweredAt()));
        leaf.inFlightAtSend.add(a.totalInFlightBefore);
        double smoothed = leaf.latency.orElse(took);
        if (Double.isNaN(leaf.bestLatency) || smoothed < leaf.bestLatency) {
            leaf.bestLatency = smoothed;
        }
        boolean above = smoothed > KNEE_RISE * leaf.bestLatency;
        if (above && !leaf.aboveLimit) {
            leaf.concurrencyLimit = Math.max(KNEE_START, (a.inFlightBefore + 1) * settings.gatherers());
        }
        leaf.aboveLimit = above;
    }

    /** A sample after a long silence weighs more: where a leaf is heard seldom, the last word counts. */
    private double weight(double gap) {
        return Math.max(LATENCY_STEP, 1 - Math.exp(-gap / (SEEN_FOR * typical(leading))));
    }

    private void failed(TrackedWorker leaf, double share) {
        leaf.failureRate.add(now, share, weight(now - Math.max(leaf.lastAnsweredAt(), leaf.failureRate.addedAt())));
    }

    /**
     * A leaf that has answered nothing since its oldest part became late is ill. A slow leaf goes on
     * answering other parts, so this seldom acts on plain overload. Where one long part is all that is out,
     * the silence has to last {@link #ALONE} times as long. When wrong, the leaf misses a few parts until
     * its next answer or trial.
     */
    private void checkSilence(TrackedWorker leaf) {
        if (!leaf.ejected && silent(leaf) >= (leaf.inFlight.size() > 1 ? 1 : ALONE)) {
            ill(leaf, "silence");
            if (leaf.inFlight.iterator().next().afterIdle) {
                idleLoss.add(1);
            }
        }
    }

    /** How long nothing has come since a leaf's oldest part went out, over the time that makes it late. */
    private double silent(TrackedWorker leaf) {
        if (leaf.inFlight.isEmpty()) {
            return 0;
        }
        TrackedAttempt oldest = leaf.inFlight.iterator().next();
        return (now - Math.max(oldest.sentAt, leaf.answeredAt)) / lateAfter(oldest.part);
    }

    private void ill(TrackedWorker leaf, String why) {
        if (!leaf.ejected) {
            leaf.ejected = true;
            actions.log("leaf " + leaf.id + " ill: " + why);
        }
        double wait = (leaf.unreachable ? REACH_AFTER : TRIAL_AFTER) * typical(leading);
        leaf.halfOpenAt = now + (long) (wait * (1 << Math.min(TRIALS, leaf.halfOpenTrials)));
        untold.add(leaf);
    }

    private void well(TrackedWorker leaf) {
        if (!leaf.ejected) {
            return;
        }
        leaf.ejected = false;
        untold.add(leaf);
        actions.log("leaf " + leaf.id + " well");
        if (leaf.processLost && !cold(leaf)) {
            leaf.slowStartFrom = now;
        }
        leaf.markReachable();
    }

    // ---- guards of the rules ------------------------------------------------------------------------------

    /**
     * The one place where an attempt is sent. Null if a rule forbids it. A query that has ended has all its
     * parts over; one whose time is up was ended by {@link #timeOut} before this.
     */
    private TrackedAttempt send(TrackedPart p, boolean second) {
        if (!mayTry(p) || !p.inFlight.isEmpty() && !(second && settings.limits().parallelAttempts())
                || p.attemptCount > 0 && !inBudget()) {
            return null;
        }
        TrackedWorker leaf = choose(p, p.triedWorkers);
        if (leaf == null) {
            return null;
        }
        TrackedAttempt attempt = new TrackedAttempt(p, leaf, p.attemptCount, now, leaf.inFlight.size(),
                leaf.totalInFlight(now));
        if (p.attemptCount > 0) {
            extras.add(now, 1);
        }
        p.recordSent(attempt);
        changed(leaf);
        leaf.recordSent(now, settings.slowStartCountWindow());
        attempt.afterIdle = now - leaf.lastUsedAt > IDLE_AFTER * typical(p.query.classIndex);
        boolean idleDies = attempt.afterIdle && leaf.lastUsedAt > 0 && idleLoss.orElse(0) > IDLE_LOSS;
        if (idleDies || leaf.ejected && leaf.zone == settings.zone()) {
            actions.closeIdleConnections(leaf.id);
        }
        leaf.lastUsedAt = now;
        if (leaf.ejected) {
            leaf.halfOpenTrials++;
            ill(leaf, "trial");
        }
        // the first too, if a second may overtake it
        boolean bound = p.query.queryClass.idempotency() == Idempotency.WITH_KEY
                && (p.possiblyExecuted.size() > 1 || settings.limits().parallelAttempts());
        actions.startAttempt(p.id, leaf.id, Math.max(settings.roundInterval(), ends(p.query) - now),
                bound ? repeatUntil(p) - now : Long.MAX_VALUE);
        return attempt;
    }

    /**
     * Not draining or gone (sooner than the grace asks), not out of reach unless for a trial, and, if cold,
     * within its allowance. A shard with no replica in reach is refused at once, not worn out by retries.
     */
    private boolean sendable(TrackedWorker leaf) {
        if (leaf.status != WorkerStatus.UP || leaf.unreachable && now < leaf.halfOpenAt) {
            return false;
        }
        if (!cold(leaf)) {
            return true;
        }
        double share = coldAllowance(leaf);
        double slack = Math.min(SLACK, Math.sqrt(share * settings.gatherers()));
        double allowed = share + slack / settings.gatherers();
        double whole = Math.floor(allowed);
        return leaf.sentWithinWindow(now) + 1 <= whole + (myTurn(leaf, allowed - whole) ? 1 : 0);
    }

    /**
     * Of a fraction of a part, that share of the roots sends one in a window, and one root at least. They
     * take turns, at each leaf others, and one changes in a window: any gets one call more than the share.
     */
    private boolean myTurn(TrackedWorker leaf, double share) {
        double turns = (double) now / settings.slowStartCountWindow() + settings.position() + leaf.id.hashCode();
        return turns / settings.gatherers() % 1 < Math.max(share, 1.0 / settings.gatherers());
    }

    private boolean cold(TrackedWorker leaf) {
        return leaf.slowStartFrom != Absent.VALUE && now - leaf.slowStartFrom < settings.rules().slowStartWindow();
    }

    private boolean warm(TrackedWorker leaf) {
        return leaf.status == WorkerStatus.UP && !cold(leaf);
    }

    /**
     * Parts that this root may send within the window: its share of what a warm leaf carries, at this leaf's
     * warmth. One with a core and no queue serves a part in the typical time at the latest. What a process
     * before this one sent is not known: a leaf older than this one waits until that has left the window.
     */
    private double coldAllowance(TrackedWorker leaf) {
        if (leaf.slowStartFrom < startedAt && now - startedAt < settings.slowStartCountWindow()) {
            return 0;
        }
        long window = settings.rules().overloadWindow();
        double least = window / times.slowestPartLatency() / settings.gatherers();
        double warm = Math.max(pace.answersWithin(window, leaf.size), least);
        return settings.rules().overloadMultiple() * warmth(leaf) * warm;
    }

    /** The least share of its capacity that a leaf has at its age. */
    private double warmth(TrackedWorker leaf) {
        var rules = settings.rules();
        return !cold(leaf) ? 1 : rules.slowStartShare()
                + (1 - rules.slowStartShare()) * Math.max(0, now - leaf.slowStartFrom)
                        / Math.max(1, rules.slowStartWindow());
    }

    /** Until when a part may go again, counted from the decision of the first that may have run. */
    private long repeatUntil(TrackedPart p) {
        boolean free = p.query.queryClass.idempotency() == Idempotency.IDEMPOTENT || !p.mayHaveExecuted();
        return free ? Long.MAX_VALUE : p.query.queryClass.idempotency() == Idempotency.NOT_IDEMPOTENT ? 0
                : p.firstPossibleExecution() + p.query.queryClass.deduplicationWindow() - 2 * settings.roundInterval();
    }

    private boolean inBudget() {
        var rules = settings.rules();
        return rules.retryBudgetWindow() <= 0
                || extras.sum(now) + 1 <= rules.retryBudgetMinimum() + rules.retryBudgetRatio() * taken.sum(now);
    }

    // ---- discovery ----------------------------------------------------------------------------------------

    /** Discovery has news of the list. */
    public void onWorkerList(long at, WorkerListKind kind, List<WorkerListEntry> entries) {
        tick(at);
        if (kind == WorkerListKind.WATCH_FAILED) {
            subscribed = false;
            askLater();
            return;
        }
        if (kind == WorkerListKind.COMPLETE || kind == WorkerListKind.CHANGES) {
            subscribed = true;
            askWait = ASK_AGAIN;
        }
        if (kind == WorkerListKind.COMPLETE || kind == WorkerListKind.CACHED) {
            fleet.retainOnly(entries);
        }
        entries.forEach(this::entry);
    }

    private void entry(WorkerListEntry e) {
        TrackedWorker leaf = fleet.update(e, id -> new TrackedWorker(id, LATENCY_STEP, KNEE_START, FAIL_HALF_LIFE));
        if (e.startedAt() != Absent.VALUE && e.startedAt() > leaf.slowStartFrom) {
            if (now - e.startedAt() < settings.rules().slowStartWindow()) {
                leaf.forgetProcess();
            }
            leaf.slowStartFrom = e.startedAt();
        }
    }

    private void ask() {
        actions.watchWorkerList();
        askLater();
    }

    private void askLater() {
        if (asking) {
            return;
        }
        asking = true;
        actions.scheduleTimer((long) (askWait * jitter(0.5)), "ask"); // all may have lost it at once
        askWait = Math.min(ASK_CAP, 2 * askWait);
    }
}
