package wallmoor.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A policy with a manual clock that records each action as a line of words. Worker names are "leaf" and their cell.
 * Slow start turns and gossip tags are computed from hashes of names, so other names are different inputs.
 */
final class PolicyHarness implements RoutingActions {
    /** A millisecond in microseconds. */
    static final long MS = 1000;
    static final long ROUND_MICROS = 5 * MS;

    final List<String> actions = new ArrayList<>();
    final List<byte[]> broadcasts = new ArrayList<>();
    /** The maximum start delay of each attempt. */
    final List<Long> maxStartDelays = new ArrayList<>();
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

    /** Settings that tests change one at a time. */
    static final class SiteSettings {
        int gatherers = 1;
        int position;
        boolean watchOnRequest;
        double worstClassWeight;
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

        static QueryClass someParts(double completeShare, double minimumShare) {
            return new QueryClass(1, 0.3, 2_000_000, 0, 4_000_000, Idempotency.IDEMPOTENT, 0, completeShare,
                    minimumShare, 0.9, 0);
        }

        /** Returns a class whose late answers earn nothing, with this number of parts in its second phase. */
        static QueryClass worthlessWhenLate(int followUpParts) {
            return new QueryClass(1, 0, 2_000_000, 0, 4_000_000, Idempotency.IDEMPOTENT, 0, 1, 1, 0.9, followUpParts);
        }

        /** Returns the settings of one of five gatherers that gossip. */
        static SiteSettings withGossip() {
            var site = new SiteSettings();
            site.gatherers = 5;
            site.gossip = true;
            return site;
        }

        SiteSettings withOnlyClass(QueryClass queryClass) {
            classes = List.of(queryClass);
            return this;
        }

        RoutingSettings settings() {
            return new RoutingSettings(gatherers, position, 0, ROUND_MICROS, watchOnRequest, classes, tenants, 0.1,
                    false, clientsMarkRetries, layout,
                    new PlatformLimits(true, parallelAttempts, false, gossip, retryAfter, 500_000, maxAttempts, 1000, 1,
                            250_000),
                    new PlatformRules(20_000, 500_000, 0.2, 10_000_000, 2.5, 1_000_000, 10_000_000, retryBudgetWindow,
                            retryBudgetMinimum,
                            retryBudgetRatio),
                    new CostModel(0, 0.05, 0.05, 0.01, 0.01, worstClassWeight));
        }
    }

    static WorkerListEntry worker(int cell, WorkerStatus status, long startedAt) {
        return new WorkerListEntry("leaf" + cell, 0, 0, cell, status, 1, startedAt);
    }

    PolicyHarness completeList(WorkerListEntry... entries) {
        policy.onWorkerList(now, WorkerListKind.COMPLETE, List.of(entries));
        policy.onRoundEnd(now);
        return this;
    }

    /** Lists one worker for each cell. */
    PolicyHarness workers(int cells) {
        var entries = new WorkerListEntry[cells];
        for (int i = 0; i < cells; i++) {
            entries[i] = worker(i, WorkerStatus.UP, Absent.VALUE);
        }
        return completeList(entries);
    }

    /** Sends a query with a part for each shard and returns its id. The ids of parts are id/shard. */
    String query(int queryClass, int... shards) {
        return query(queryClass, 4_000_000, false, true, shards);
    }

    /** Sends a query whose parts carry no idempotency key. */
    String queryWithoutKey(int queryClass, int... shards) {
        return query(queryClass, 4_000_000, false, false, shards);
    }

    /** Sends a marked retry whose client waits for this much longer. */
    String retry(long timeLeft, int... shards) {
        return query(0, timeLeft, true, true, shards);
    }

    /** Sends a query that needs every part, whatever share is enough for its class. */
    String queryOfEveryPart(int... shards) {
        return query(0, 4_000_000, false, true, true, 1.0 / shards.length, shards);
    }

    /** Sends a query whose parts have this weight each. */
    String queryWithWeight(double weight, int... shards) {
        return query(0, 4_000_000, false, true, false, weight, shards);
    }

    private String query(int queryClass, long timeLeft, boolean isRetry, boolean withKey, int... shards) {
        return query(queryClass, timeLeft, isRetry, withKey, false, 1.0 / shards.length, shards);
    }

    private String query(int queryClass, long timeLeft, boolean isRetry, boolean withKey, boolean everyPart,
            double weight, int... shards) {
        String id = "q" + queries;
        policy.onQueryArrived(now, new QueryArrived(id, queries, queryClass, 0, null, now + timeLeft, Absent.VALUE,
                shards.length, isRetry, withKey, everyPart));
        for (int shard : shards) {
            policy.onPartArrived(now, new PartArrived(id + "/" + shard, queries, shard, weight, Absent.VALUE));
        }
        queries++;
        policy.onRoundEnd(now);
        return id;
    }

    void endAttempt(String part, int attempt, String worker, AttemptEndReason reason, long duration) {
        policy.onAttemptEnded(now,
                new AttemptEnded(part, attempt, worker, reason, duration, reason == AttemptEndReason.OK, Map.of()));
        policy.onRoundEnd(now);
    }

    /** Advances the clock in sweeps. */
    void advance(long time) {
        long end = now + time;
        while (now < end) {
            now = Math.min(end, now + 4 * ROUND_MICROS);
            policy.onTimer(now, "sweep");
            policy.onRoundEnd(now);
        }
    }

    /** Ends the first attempt of each part with OK after the given time. */
    void answerAll(long duration) {
        advance(duration);
        for (String line : List.copyOf(actions)) {
            if (line.startsWith("startAttempt ")) {
                String[] words = line.split(" ");
                endAttempt(words[1], 0, words[2], AttemptEndReason.OK, duration);
            }
        }
    }

    /** Serves queries on every shard until latencies are known. */
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

    /** Delivers a message from another gatherer. */
    void receiveGossip(int from, byte[] message) {
        policy.onPeerMessage(now, from, message);
        policy.onRoundEnd(now);
    }

    List<String> actions(String name) {
        return actions.stream().filter(s -> s.startsWith(name + " ")).toList();
    }

    /** Returns the worker of the n-th attempt. */
    String workerOf(int index) {
        return actions("startAttempt").get(index).split(" ")[2];
    }

    @Override
    public void startAttempt(String part, String worker, long timeout, long maxStartDelay) {
        maxStartDelays.add(maxStartDelay);
        actions.add("startAttempt " + part + " " + worker);
    }

    @Override
    public void cancelAttempt(String part, int attempt) {
        actions.add("cancelAttempt " + part + " " + attempt);
    }

    @Override
    public void answer(String query, boolean complete) {
        actions.add("answer " + query + " " + complete);
    }

    @Override
    public void reject(String query, long retryAfter) {
        actions.add("reject " + query + " " + retryAfter);
    }

    @Override
    public void fail(String query) {
        actions.add("fail " + query);
    }

    @Override
    public void scheduleTimer(long delay, String token) {
        actions.add("scheduleTimer " + delay + " " + token);
    }

    @Override
    public void closeIdleConnections(String worker) {
        actions.add("closeIdleConnections " + worker);
    }

    @Override
    public void broadcast(byte[] message) {
        actions.add("broadcast " + message.length);
        broadcasts.add(message);
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
