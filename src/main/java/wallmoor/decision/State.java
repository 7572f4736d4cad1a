package wallmoor.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import wallmoor.decision.RouterApi.LeafState;
import wallmoor.decision.RouterApi.QueryArrived;
import wallmoor.decision.RouterApi.QueryClass;

/** What a root remembers of leaves, queries, parts and attempts. {@link Brain} alone reads and changes it. */
final class State {
    private State() {}

    static final class Leaf {
        final String id;
        int zone;
        int cell;
        LeafState state = LeafState.UP;
        /** As the list has it, for comparison with others. */
        double size = 1;
        long coldFrom = RouterApi.ABSENT;
        /** What it was sent, also while it was not known to be cold; null before the first part. */
        private WindowCounter sent;
        final Smoothed latency;
        final Smoothed outAtSend;
        double best = Double.NaN;
        double knee;
        boolean aboveKnee;
        final Fading fails;
        long heardAt;
        long peerHeardAt;
        boolean ill;
        long usedAt;
        long toldAt;
        /** It could not be connected to, broke its connection, or turned a part away. */
        boolean unreachable;
        /** Its process has gone, as far as can be told: when it answers again it has just started. */
        boolean died;
        long trialAt;
        /** Trials since it was well. */
        int trials;
        final Set<Attempt> out = new LinkedHashSet<>();
        /** What other roots, by number, have told of their parts here. */
        final Map<Integer, Told> told = new LinkedHashMap<>();

        Leaf(String id, double latencyStep, double knee, double failHalfLife) {
            this.fails = new Fading(failHalfLife);
            this.id = id;
            this.latency = new Smoothed(latencyStep);
            this.outAtSend = new Smoothed(latencyStep);
            this.knee = knee;
        }

        /** A part goes out; it counts over this window, which is the same at each call. */
        void sent(long now, long window) {
            if (sent == null) {
                sent = new WindowCounter(window);
            }
            sent.add(now, 1);
        }

        /** Parts sent within the window that ends now. */
        double sentSince(long now) {
            return sent == null ? 0 : sent.sum(now);
        }

        /** A new process: what was known of the old one no longer holds. */
        void startAnew() {
            latency.forget();
            ill = false;
            fails.forget();
            inReach();
        }

        void inReach() {
            unreachable = false;
            died = false;
            trials = 0;
        }

        /** Parts out here: our own and what other roots have told lately. */
        double partsAt(long now) {
            return told.isEmpty() ? out.size()
                    : out.size() + told.values().stream().filter(t -> t.until() > now).mapToInt(Told::parts).sum();
        }

        /** How many roots told that it is ill since it last answered us. */
        long toldIll(long now) {
            return told.isEmpty() ? 0
                    : told.values().stream().filter(t -> t.ill() && t.until() > now && t.at() > heardAt).count();
        }

        /** When an answer of this leaf was last heard, by this root or by one that told of it. */
        long lastHeard() {
            return Math.max(heardAt, peerHeardAt);
        }
    }

    /** What another root told of a leaf, held true until a time. */
    record Told(int parts, boolean ill, long at, long until) {}

    static final class Attempt {
        final Part part;
        final Leaf leaf;
        final int number;
        final long sentAt;
        final int outBefore;
        /** With other roots' parts, as far as known. */
        final double allBefore;
        boolean late;
        boolean afterIdle;
        boolean cancelled;
        boolean spare;

        Attempt(Part part, Leaf leaf, int number, long sentAt, int outBefore, double allBefore) {
            this.part = part;
            this.leaf = leaf;
            this.number = number;
            this.sentAt = sentAt;
            this.outBefore = outBefore;
            this.allBefore = allBefore;
        }
    }

    static final class Part {
        final String id;
        final Query query;
        final int shard;
        final double weight;
        final double scale;
        int attempts;
        boolean ok;
        boolean over;
        /** Attempts that may have run, with the times of their sends, in order. */
        final Map<Integer, Long> mayRun = new LinkedHashMap<>();
        final Map<Integer, Attempt> out = new LinkedHashMap<>();
        final List<Leaf> tried = new ArrayList<>();

        Part(String id, Query query, int shard, double weight, double scale) {
            this.id = id;
            this.query = query;
            this.shard = shard;
            this.weight = weight;
            this.scale = scale;
        }

        /** Takes down an attempt that goes out. */
        void sent(Attempt a) {
            attempts++;
            mayRun.put(a.number, a.sentAt);
            out.put(a.number, a);
            tried.add(a.leaf);
            a.leaf.out.add(a);
        }

        boolean mayHaveRun() {
            return !mayRun.isEmpty();
        }

        /** The send of the first attempt that may have run; there must be one. */
        long firstMayHaveRun() {
            return mayRun.values().iterator().next();
        }

        boolean hasTimely() {
            for (Attempt a : out.values()) {
                if (!a.late && !a.cancelled) {
                    return true;
                }
            }
            return false;
        }
    }

    static final class Query {
        final QueryArrived arrived;
        /** Its class's place in the settings; the nearest one where the index given lies outside. */
        final int index;
        final QueryClass kind;
        final long at;
        /** When its client asked first, as far as can be told. */
        final long firstTry;
        final double worthShare;
        List<Part> parts = new ArrayList<>();
        int expected;
        int step = 1;
        boolean started;
        boolean firstWhole;
        /** One part goes ahead of the others: they wait for its answer. */
        boolean scout;
        double predicted;
        double strikes;
        final Set<Leaf> resetBy = new LinkedHashSet<>();

        Query(QueryArrived arrived, int index, QueryClass kind, long at, double worthShare, long firstTry) {
            this.arrived = arrived;
            this.index = index;
            this.kind = kind;
            this.at = at;
            this.firstTry = firstTry;
            this.worthShare = worthShare;
            this.expected = arrived.parts();
        }

        double weightIn() {
            double in = 0; // asked at each event of the query: a loop costs a tenth of a stream
            for (Part p : parts) {
                in += p.ok ? p.weight : 0;
            }
            return in;
        }

        /** What a client's next try of the same query shares with this one. */
        int signature() {
            return Objects.hash(arrived.queryClass(), arrived.tenant(), arrived.key(),
                    parts.stream().map(p -> p.shard).toList());
        }

        boolean mayHaveRun() {
            return parts.stream().anyMatch(Part::mayHaveRun);
        }
    }
}
