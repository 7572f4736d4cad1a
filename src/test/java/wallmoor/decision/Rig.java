package wallmoor.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wallmoor.decision.RouterApi.AttemptEnded;
import wallmoor.decision.RouterApi.Costs;
import wallmoor.decision.RouterApi.Effect;
import wallmoor.decision.RouterApi.Layout;
import wallmoor.decision.RouterApi.LeafEntry;
import wallmoor.decision.RouterApi.LeafState;
import wallmoor.decision.RouterApi.Limits;
import wallmoor.decision.RouterApi.ListKind;
import wallmoor.decision.RouterApi.Outcome;
import wallmoor.decision.RouterApi.PartArrived;
import wallmoor.decision.RouterApi.QueryArrived;
import wallmoor.decision.RouterApi.QueryClass;
import wallmoor.decision.RouterApi.Rules;
import wallmoor.decision.RouterApi.Settings;
import wallmoor.decision.RouterApi.Tenant;

/** One Brain with a hand-turned clock; every action is written down as a line of words. */
final class Rig implements RouterApi.Actions {
    static final long MS = 1000;
    static final long ROUND = 5 * MS;

    final List<String> said = new ArrayList<>();
    final List<byte[]> told = new ArrayList<>();
    /** For each assign, within what time it has to begin. */
    final List<Long> beginWithins = new ArrayList<>();
    final Brain brain;
    long now = 1_000_000;
    private long queries;

    Rig(Site site) {
        this(site, 7);
    }

    Rig(Site site, long seed) {
        brain = new Brain(site.settings(), seed, this);
        brain.onStart(now);
    }

    /** Settings with one change at a time. */
    static final class Site {
        int roots = 1;
        int position;
        boolean subscribe;
        double worstClass;
        boolean parallel = true;
        int maxAttempts = 4;
        boolean peers;
        boolean retryAfter = true;
        boolean marksRetry;
        long budgetWindow;
        double minExtra;
        double ratio;
        Layout layout = new Layout(12, 12, 2);
        List<Tenant> tenants = List.of();
        List<QueryClass> classes = new ArrayList<>(List.of(all(Effect.SAFE)));

        static QueryClass all(Effect effect) {
            return new QueryClass(1, 0.3, 2_000_000, 0, 4_000_000, effect, 1_000_000, 1, 1, 0.9, 0);
        }

        static QueryClass some(double need, double floor) {
            return new QueryClass(1, 0.3, 2_000_000, 0, 4_000_000, Effect.SAFE, 0, need, floor, 0.9, 0);
        }

        /** A class whose late answers earn nothing, with so many parts in its second step. */
        static QueryClass worthlessLate(int followUp) {
            return new QueryClass(1, 0, 2_000_000, 0, 4_000_000, Effect.SAFE, 0, 1, 1, 0.9, followUp);
        }

        Site only(QueryClass c) {
            classes = List.of(c);
            return this;
        }

        Settings settings() {
            return new Settings(roots, position, 0, ROUND, subscribe, classes, tenants, 0.1, false, marksRetry,
                    layout,
                    new Limits(true, parallel, false, peers, retryAfter, 500_000, maxAttempts, 1000, 1,
                            250_000),
                    new Rules(20_000, 500_000, 0.2, 10_000_000, 2.5, 1_000_000, 10_000_000, budgetWindow, minExtra,
                            ratio),
                    new Costs(0, 0.05, 0.05, 0.01, 0.01, worstClass));
        }
    }

    static LeafEntry leaf(int cell, LeafState state, long upSince) {
        return new LeafEntry("leaf" + cell, 0, 0, cell, state, 1, upSince);
    }

    Rig list(LeafEntry... entries) {
        brain.onList(now, ListKind.WHOLE, List.of(entries));
        brain.onEndOfRound(now);
        return this;
    }

    /** All cells with one leaf each. */
    Rig leaves(int cells) {
        var entries = new LeafEntry[cells];
        for (int i = 0; i < cells; i++) {
            entries[i] = leaf(i, LeafState.UP, RouterApi.ABSENT);
        }
        return list(entries);
    }

    /** A query with a part for each shard; returns its id. Parts are named id/shard. */
    String query(int queryClass, int... shards) {
        return query(queryClass, 4_000_000, false, shards);
    }

    /** A marked repeat whose client waits for this much longer. */
    String repeat(long left, int... shards) {
        return query(0, left, true, shards);
    }

    private String query(int queryClass, long left, boolean repeat, int... shards) {
        String id = "q" + queries;
        brain.onQuery(now, new QueryArrived(id, queries, queryClass, 0, null, now + left, RouterApi.ABSENT,
                shards.length, repeat));
        for (int shard : shards) {
            brain.onPart(now, new PartArrived(id + "/" + shard, queries, shard, 1.0 / shards.length,
                    RouterApi.ABSENT));
        }
        queries++;
        brain.onEndOfRound(now);
        return id;
    }

    void ends(String part, int attempt, String leaf, Outcome outcome, long took) {
        brain.onOutcome(now, new AttemptEnded(part, attempt, leaf, outcome, took, outcome == Outcome.OK, Map.of()));
        brain.onEndOfRound(now);
    }

    /** Lets time pass in sweeps. */
    void pass(long time) {
        long end = now + time;
        while (now < end) {
            now = Math.min(end, now + 4 * ROUND);
            brain.onTimer(now, "sweep");
            brain.onEndOfRound(now);
        }
    }

    /** Ends every attempt that is out with OK after the given time. */
    void answerAll(long took) {
        pass(took);
        for (String line : List.copyOf(said)) {
            if (line.startsWith("assign ")) {
                String[] words = line.split(" ");
                ends(words[1], 0, words[2], Outcome.OK, took);
            }
        }
    }

    /** Serves plain queries on every shard until latencies are known. */
    Rig warm(int cells) {
        for (int i = 0; i < 4; i++) {
            for (int shard = 0; shard < cells; shard++) {
                query(0, shard);
                answerAll(100 * MS);
                said.clear();
            }
        }
        return this;
    }

    /** Another root's message arrives. */
    void hears(int from, byte[] contents) {
        brain.onPeer(now, from, contents);
        brain.onEndOfRound(now);
    }

    List<String> said(String verb) {
        return said.stream().filter(s -> s.startsWith(verb + " ")).toList();
    }

    /** The leaf of the n-th assign line. */
    String leafOf(int n) {
        return said("assign").get(n).split(" ")[2];
    }

    @Override
    public void assign(String part, String leaf, long giveUpAfter, long beginWithin) {
        beginWithins.add(beginWithin);
        said.add("assign " + part + " " + leaf);
    }

    @Override
    public void cancel(String part, int attempt) {
        said.add("cancel " + part + " " + attempt);
    }

    @Override
    public void answer(String query, boolean whole) {
        said.add("answer " + query + " " + whole);
    }

    @Override
    public void refuse(String query, long comeBackAfter) {
        said.add("refuse " + query + " " + comeBackAfter);
    }

    @Override
    public void fail(String query) {
        said.add("fail " + query);
    }

    @Override
    public void timer(long in, String token) {
        said.add("timer " + in + " " + token);
    }

    @Override
    public void closeIdle(String leaf) {
        said.add("closeIdle " + leaf);
    }

    @Override
    public void tellPeers(byte[] contents) {
        said.add("tellPeers " + contents.length);
        told.add(contents);
    }

    @Override
    public void subscribe() {
        said.add("subscribe now");
    }

    @Override
    public void log(String line) {
        said.add("log " + line);
    }
}
