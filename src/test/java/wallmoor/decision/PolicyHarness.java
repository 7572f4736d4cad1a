package wallmoor.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One policy with a clock turned by hand; every action is written down as a line of words. Its workers are named "leaf"
 * and their cell: turns and tags go by the hash of a name, so that other names are other inputs.
 */
final class PolicyHarness implements RoutingActions {
    static final long MS = 1000;
    static final long ROUND = 5 * MS;

    final List<String> actions = new ArrayList<>();
    final List<byte[]> broadcasts = new ArrayList<>();
    /** For each attempt, within what time it has to begin. */
    final List<Long> beginWithins = new ArrayList<>();
    final RoutingPolicy policy;
    long now = 1_000_000;
    private long queries;

    PolicyHarness(SiteSettings site) {
        this(site, 7);
    }

    PolicyHarness(SiteSettings site, long seed) {
        policy = new RoutingPolicy(site.settings(), seed, this);
        policy.onStart(now);
    }

    /** Settings with one change at a time. */
    static final class SiteSettings {
        int gatherers = 1;
        int position;
        boolean watchOnRequest;
        double worstServedClass;
        boolean parallelAttempts = true;
        int maxAttempts = 4;
        boolean gossip;
        boolean retryAfter = true;
        boolean clientsMarkRetries;
        long retryBudgetWindow;
        double retryBudgetMinimum;
        double retryBudgetRatio;
        ShardLayout layout = new ShardLayout(12, 12, 2);
        List<Tenant> tenants = List.of();
        List<QueryClass> classes = new ArrayList<>(List.of(allParts(Idempotency.IDEMPOTENT)));

        static QueryClass allParts(Idempotency idempotency) {
            return new QueryClass(1, 0.3, 2_000_000, 0, 4_000_000, idempotency, 1_000_000, 1, 1, 0.9, 0);
        }

        static QueryClass someParts(double need, double floor) {
            return new QueryClass(1, 0.3, 2_000_000, 0, 4_000_000, Idempotency.IDEMPOTENT, 0, need, floor, 0.9, 0);
        }

        /** A class whose late answers earn nothing, with so many parts in its second phase. */
        static QueryClass worthlessWhenLate(int followUp) {
            return new QueryClass(1, 0, 2_000_000, 0, 4_000_000, Idempotency.IDEMPOTENT, 0, 1, 1, 0.9, followUp);
        }

        /** One of five gatherers that gossip. */
        static SiteSettings withGossip() {
            var site = new SiteSettings();
            site.gatherers = 5;
            site.gossip = true;
            return site;
        }

        SiteSettings onlyClass(QueryClass c) {
            classes = List.of(c);
            return this;
        }

        RoutingSettings settings() {
            return new RoutingSettings(gatherers, position, 0, ROUND, watchOnRequest, classes, tenants, 0.1, false,
                    clientsMarkRetries,
                    layout,
                    new PlatformLimits(true, parallelAttempts, false, gossip, retryAfter, 500_000, maxAttempts, 1000, 1,
                            250_000),
                    new PlatformRules(20_000, 500_000, 0.2, 10_000_000, 2.5, 1_000_000, 10_000_000, retryBudgetWindow,
                            retryBudgetMinimum,
                            retryBudgetRatio),
                    new CostModel(0, 0.05, 0.05, 0.01, 0.01, worstServedClass));
        }
    }

    static WorkerListEntry worker(int cell, WorkerStatus state, long upSince) {
        return new WorkerListEntry("leaf" + cell, 0, 0, cell, state, 1, upSince);
    }

    PolicyHarness completeList(WorkerListEntry... entries) {
        policy.onWorkerList(now, WorkerListKind.COMPLETE, List.of(entries));
        policy.onRoundEnd(now);
        return this;
    }

    /** All cells with one worker each. */
    PolicyHarness workers(int cells) {
        var entries = new WorkerListEntry[cells];
        for (int i = 0; i < cells; i++) {
            entries[i] = worker(i, WorkerStatus.UP, Absent.VALUE);
        }
        return completeList(entries);
    }

    /** A query with a part for each shard; returns its id. Parts are named id/shard. */
    String query(int queryClass, int... shards) {
        return query(queryClass, 4_000_000, false, shards);
    }

    /** A marked retry whose client waits for this much longer. */
    String retry(long left, int... shards) {
        return query(0, left, true, shards);
    }

    private String query(int queryClass, long left, boolean repeat, int... shards) {
        String id = "q" + queries;
        policy.onQueryArrived(now, new QueryArrived(id, queries, queryClass, 0, null, now + left, Absent.VALUE,
                shards.length, repeat));
        for (int shard : shards) {
            policy.onPartArrived(now, new PartArrived(id + "/" + shard, queries, shard, 1.0 / shards.length,
                    Absent.VALUE));
        }
        queries++;
        policy.onRoundEnd(now);
        return id;
    }

    void endAttempt(String part, int attempt, String worker, AttemptEndReason outcome, long took) {
        policy.onAttemptEnded(now,
                new AttemptEnded(part, attempt, worker, outcome, took, outcome == AttemptEndReason.OK, Map.of()));
        policy.onRoundEnd(now);
    }

    /** Lets time pass in sweeps. */
    void advance(long time) {
        long end = now + time;
        while (now < end) {
            now = Math.min(end, now + 4 * ROUND);
            policy.onTimer(now, "sweep");
            policy.onRoundEnd(now);
        }
    }

    /** Ends every attempt in flight with OK after the given time. */
    void answerAll(long took) {
        advance(took);
        for (String line : List.copyOf(actions)) {
            if (line.startsWith("startAttempt ")) {
                String[] words = line.split(" ");
                endAttempt(words[1], 0, words[2], AttemptEndReason.OK, took);
            }
        }
    }

    /** Serves plain queries on every shard until latencies are known. */
    PolicyHarness warmUp(int cells) {
        for (int i = 0; i < 4; i++) {
            for (int shard = 0; shard < cells; shard++) {
                query(0, shard);
                answerAll(100 * MS);
                actions.clear();
            }
        }
        return this;
    }

    /** Another gatherer's message arrives. */
    void receiveGossip(int from, byte[] contents) {
        policy.onPeerMessage(now, from, contents);
        policy.onRoundEnd(now);
    }

    List<String> actions(String verb) {
        return actions.stream().filter(s -> s.startsWith(verb + " ")).toList();
    }

    /** The worker of the n-th attempt. */
    String workerOf(int n) {
        return actions("startAttempt").get(n).split(" ")[2];
    }

    @Override
    public void startAttempt(String part, String worker, long giveUpAfter, long beginWithin) {
        beginWithins.add(beginWithin);
        actions.add("startAttempt " + part + " " + worker);
    }

    @Override
    public void cancelAttempt(String part, int attempt) {
        actions.add("cancelAttempt " + part + " " + attempt);
    }

    @Override
    public void answer(String query, boolean whole) {
        actions.add("answer " + query + " " + whole);
    }

    @Override
    public void reject(String query, long comeBackAfter) {
        actions.add("reject " + query + " " + comeBackAfter);
    }

    @Override
    public void fail(String query) {
        actions.add("fail " + query);
    }

    @Override
    public void scheduleTimer(long in, String token) {
        actions.add("scheduleTimer " + in + " " + token);
    }

    @Override
    public void closeIdleConnections(String worker) {
        actions.add("closeIdleConnections " + worker);
    }

    @Override
    public void broadcast(byte[] contents) {
        actions.add("broadcast " + contents.length);
        broadcasts.add(contents);
    }

    @Override
    public void watchWorkerList() {
        actions.add("watchWorkerList now");
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }
}
