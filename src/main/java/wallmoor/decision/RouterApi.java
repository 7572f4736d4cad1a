package wallmoor.decision;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All that the decision module {@link Brain} takes in and gives out: start settings, events and
 * actions. Times are microseconds of the caller's clock, which only goes forward. An absent number is
 * {@link #ABSENT}; an absent text is null. There is no logic here.
 */
public final class RouterApi {

    /** Stands for a time, a hint or a count that was not given. */
    public static final long ABSENT = -1;

    private RouterApi() {}

    /** What repeating a part does to the store. */
    public enum Effect {
        /** A repeat is harmless. */
        SAFE,
        /** A repeat is dropped by the store inside the dedup window only. */
        KEYED,
        /** A repeat is never harmless. */
        UNSAFE
    }

    /** How an attempt ended. */
    public enum Outcome {
        OK(false), ERROR(false), FULL(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), MOOT(true);

        /** Whether this outcome proves that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** What discovery says of a leaf. */
    public enum LeafState { UP, DRAINING, REMOVED }

    /** The kinds of news from discovery. */
    public enum ListKind {
        /** Only changed entries. */
        CHANGES,
        /** The whole list; what is missing from it is gone. */
        WHOLE,
        /** The whole list as this root last had it, perhaps old. */
        STALE,
        /** Entries learnt elsewhere than from the list; the subscription to it is as it was. */
        ENTRIES,
        /** A call failed or the subscription broke; the list stands. */
        BROKEN
    }

    /** Figures that a load report may hold. */
    public enum LoadFigure {
        INFLIGHT, QUEUE, UTIL, LATENCY_MS, QPS, ERRORS_PER_S, OTHER
    }

    /**
     * A class of queries.
     *
     * @param aimStretch  the aim grows by this many times the query's own work; 0 for none
     * @param need        share of the first step's weight that makes a whole answer
     * @param floor       least share for any answer
     * @param partialEarns what an answer that is not whole earns, times share / need
     * @param followUp    parts of the second step; 0 for one step
     */
    public record QueryClass(double worth, double lateWorth, long aim, double aimStretch, long giveUp,
            Effect effect, long dedupWindow, double need, double floor, double partialEarns, int followUp) {}

    /** A tenant and its allowance in queries a second over all roots. */
    public record Tenant(double allowancePerS, double share) {}

    /** Shard s is held by the leaves of cell (s + j) mod cells, for j from 0 to reach - 1. */
    public record Layout(int shards, int cells, int reach) {}

    /** What the site allows. Times in microseconds; {@code connectTimeout} 0 means that it is not known. */
    public record Limits(boolean cancelling, boolean parallelTries, boolean probes, boolean peers,
            boolean retryAfter, long maxRetryAfter, int maxAttempts, int maxOpen, int bundleMax,
            long connectTimeout) {}

    /** Figures of the rules. {@code budgetWindow} 0 means that no budget is set. */
    public record Rules(long graceToAnswer, long drainGrace, double coldShare, long cold, double fallMultiple,
            long overloadFor, long askWithin, long budgetWindow, double minExtra, double repeatRatio) {}

    /**
     * Prices that bear on decisions, in shares of the result.
     *
     * @param worstClass what the share of the class served worst counts, over what the share of the whole does
     */
    public record Costs(double crossZone, double waste, double lateFail, double probe, double peer,
            double worstClass) {}

    /**
     * Start settings of one root.
     *
     * @param roots     roots in this tier, this one included
     * @param round     events come at most this often
     * @param subscribe changes of the list come only when asked for
     */
    public record Settings(int roots, int position, int zone, long round, boolean subscribe,
            List<QueryClass> classes, List<Tenant> tenants, double overShareWorth, boolean worthByWork,
            boolean clientsMarkRetry, Layout layout, Limits limits, Rules rules, Costs costs) {

        /**
         * The window over which a cold leaf's parts count: as long as one may fall over in, and a round and a connect
         * more, as parts that wait for a connection reach the leaf together.
         */
        long coldWindow() {
            return rules.overloadFor() + round + Math.max(0, limits.connectTimeout());
        }

        /** The same among so many roots, of which this one has another place. */
        public Settings among(int count, int place) {
            return new Settings(count, place, zone, round, subscribe, classes, tenants, overShareWorth,
                    worthByWork, clientsMarkRetry, layout, limits, rules, costs);
        }

        /**
         * What holds once these others are told: all of them but what is bound to the start, which is the tier, the
         * layout, and the times over which counts are kept.
         */
        Settings changedTo(Settings next) {
            var r = next.rules;
            return new Settings(roots, position, zone, round, subscribe, next.classes, tenants, next.overShareWorth,
                    next.worthByWork, next.clientsMarkRetry, layout, next.limits, new Rules(r.graceToAnswer,
                            r.drainGrace, r.coldShare, r.cold, r.fallMultiple, rules.overloadFor, r.askWithin,
                            rules.budgetWindow, r.minExtra, r.repeatRatio),
                    next.costs);
        }

        /** The first place of a class that has not vanished; 0 where all have. */
        int first(Set<Integer> vanished) {
            int place = 0;
            while (place < classes.size() && vanished.contains(place)) {
                place++;
            }
            return place < classes.size() ? place : 0;
        }

        /** The same with other classes, by place. */
        public Settings withClasses(List<QueryClass> others) {
            return new Settings(roots, position, zone, round, subscribe, others, tenants, overShareWorth,
                    worthByWork, clientsMarkRetry, layout, limits, rules, costs);
        }

        /** The same with other limits. */
        public Settings withLimits(Limits others) {
            return new Settings(roots, position, zone, round, subscribe, classes, tenants, overShareWorth,
                    worthByWork, clientsMarkRetry, layout, others, rules, costs);
        }

        /** The same with another fixed part of the budget of repeats. */
        public Settings withMinExtra(double minExtra) {
            var r = rules;
            return new Settings(roots, position, zone, round, subscribe, classes, tenants, overShareWorth,
                    worthByWork, clientsMarkRetry, layout, limits, new Rules(r.graceToAnswer, r.drainGrace, r.coldShare,
                            r.cold, r.fallMultiple, r.overloadFor, r.askWithin, r.budgetWindow, minExtra,
                            r.repeatRatio),
                    costs);
        }

        /** The same for workers that hold shards in another layout. */
        public Settings with(Layout other) {
            return new Settings(roots, position, zone, round, subscribe, classes, tenants, overShareWorth,
                    worthByWork, clientsMarkRetry, other, limits, rules, costs);
        }
    }

    /** One leaf in a list. {@code upSince} is its last start, or ABSENT for long ago. */
    public record LeafEntry(String leaf, int zone, int kind, int cell, LeafState state, double size,
            long upSince) {}

    /** A query as it arrives; its parts follow at the same time. */
    public record QueryArrived(String id, long number, int queryClass, int tenant, String key, long deadline,
            long hint, int parts, boolean repeat) {}

    /** A part of a query, at arrival or in its second step. */
    public record PartArrived(String id, long number, int shard, double weight, long hint) {}

    /** The end of one attempt. {@code over} tells that the part is over. */
    public record AttemptEnded(String part, int attempt, String leaf, Outcome outcome, long took, boolean over,
            Map<LoadFigure, Double> load) {}

    /** What the module may do. Each call takes effect at the time of the event being handled. */
    public interface Actions {
        /**
         * Starts an attempt; attempts of a part are numbered from 0 in the order of these calls.
         *
         * @param beginWithin its first byte goes out sooner than this from now, or never ({@link Outcome#MOOT});
         *                    {@link Long#MAX_VALUE} where nothing but {@code giveUpAfter} bounds it
         */
        void assign(String part, String leaf, long giveUpAfter, long beginWithin);

        /** Stops waiting for an attempt. */
        void cancel(String part, int attempt);

        /** Answers a query from the parts that are in. */
        void answer(String query, boolean whole);

        /** Final: turned away, harmless to repeat after {@code comeBackAfter}. */
        void refuse(String query, long comeBackAfter);

        /** Final: given up, with no promise. */
        void fail(String query);

        /** Asks for {@link Brain#onTimer} with this token. */
        void timer(long in, String token);

        /** Closes this root's idle connections to a leaf. */
        void closeIdle(String leaf);

        /** Sends bytes to the other roots. */
        void tellPeers(byte[] contents);

        /** Subscribes to changes of the list. */
        void subscribe();

        /** Writes a line for the operators. */
        void log(String line);
    }
}
