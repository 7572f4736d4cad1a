package wallmoor.decision;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All that the decision module {@link RoutingPolicy} takes in and gives out: start settings, events and
 * actions. Times are microseconds of the caller's clock, which only goes forward. An absent number is
 * {@link #ABSENT}; an absent text is null. There is no logic here.
 */
public final class RouterApi {

    /** Stands for a time, a hint or a count that was not given. */
    public static final long ABSENT = -1;

    private RouterApi() {}

    /** What repeating a part does to the store. */
    public enum Idempotency {
        /** A repeat is harmless. */
        IDEMPOTENT,
        /** A repeat is dropped by the store inside the dedup window only. */
        WITH_KEY,
        /** A repeat is never harmless. */
        NOT_IDEMPOTENT
    }

    /** How an attempt ended. */
    public enum AttemptEndReason {
        OK(false), ERROR(false), REJECTED(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), NOT_STARTED(true);

        /** Whether this outcome proves that the attempt never ran. */
        public final boolean neverRan;

        AttemptEndReason(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** What discovery says of a leaf. */
    public enum WorkerStatus { UP, DRAINING, REMOVED }

    /** The kinds of news from discovery. */
    public enum WorkerListKind {
        /** Only changed entries. */
        CHANGES,
        /** The whole list; what is missing from it is gone. */
        COMPLETE,
        /** The whole list as this root last had it, perhaps old. */
        CACHED,
        /** Entries learnt elsewhere than from the list; the subscription to it is as it was. */
        ADDITIONAL,
        /** A call failed or the subscription broke; the list stands. */
        WATCH_FAILED
    }

    /** Figures that a load report may hold. */
    public enum LoadMetric {
        IN_FLIGHT, QUEUE, UTILIZATION, LATENCY_MS, QUERIES_PER_SECOND, ERRORS_PER_SECOND, OTHER
    }

    /**
     * A class of queries.
     *
     * @param objectivePerWork  the aim grows by this many times the query's own work; 0 for none
     * @param completeShare        share of the first step's weight that makes a whole answer
     * @param minimumShare       least share for any answer
     * @param partialValue what an answer that is not whole earns, times share / need
     * @param followUpParts    parts of the second step; 0 for one step
     */
    public record QueryClass(double priorityWeight, double lateValueShare, long latencyObjective,
            double objectivePerWork, long clientTimeout,
            Idempotency idempotency, long deduplicationWindow, double completeShare, double minimumShare,
            double partialValue, int followUpParts) {}

    /** A tenant and its allowance in queries a second over all roots. */
    public record Tenant(double quotaPerSecond, double share) {}

    /** Shard s is held by the leaves of cell (s + j) mod cells, for j from 0 to reach - 1. */
    public record ShardLayout(int shards, int cells, int cellsPerShard) {}

    /** What the site allows. Times in microseconds; {@code connectTimeout} 0 means that it is not known. */
    public record PlatformLimits(boolean cancellation, boolean parallelAttempts, boolean healthChecks, boolean gossip,
            boolean retryAfter, long maxRetryAfter, int maxAttempts, int maxInFlight, int maxBatch,
            long connectTimeout) {}

    /** Figures of the rules. {@code budgetWindow} 0 means that no budget is set. */
    public record PlatformRules(long answerGrace, long drainGrace, double slowStartShare, long slowStartWindow,
            double overloadMultiple,
            long overloadWindow, long pollWithin, long retryBudgetWindow, double retryBudgetMinimum,
            double retryBudgetRatio) {}

    /**
     * Prices that bear on decisions, in shares of the result.
     *
     * @param worstServedClass what the share of the class served worst counts, over what the share of the whole does
     */
    public record CostModel(double crossZone, double waste, double lateFailure, double healthCheck,
            double gossipMessage,
            double worstServedClass) {}

    /**
     * Start settings of one root.
     *
     * @param gatherers     roots in this tier, this one included
     * @param roundInterval     events come at most this often
     * @param watchOnRequest changes of the list come only when asked for
     */
    public record RoutingSettings(int gatherers, int position, int zone, long roundInterval, boolean watchOnRequest,
            List<QueryClass> classes, List<Tenant> tenants, double overQuotaWeight, boolean weightByWork,
            boolean clientsMarkRetries, ShardLayout layout, PlatformLimits limits, PlatformRules rules,
            CostModel costs) {

        /**
         * The window over which a cold leaf's parts count: as long as one may fall over in, and a round and a connect
         * more, as parts that wait for a connection reach the leaf together.
         */
        long slowStartCountWindow() {
            return rules.overloadWindow() + roundInterval + Math.max(0, limits.connectTimeout());
        }

        /** The same among so many roots, of which this one has another place. */
        public RoutingSettings amongGatherers(int count, int place) {
            return new RoutingSettings(count, place, zone, roundInterval, watchOnRequest, classes, tenants,
                    overQuotaWeight,
                    weightByWork, clientsMarkRetries, layout, limits, rules, costs);
        }

        /**
         * What holds once these others are told: all of them but what is bound to the start, which is the tier, the
         * layout, and the times over which counts are kept.
         */
        RoutingSettings reloadedWith(RoutingSettings next) {
            var r = next.rules;
            return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, next.classes, tenants,
                    next.overQuotaWeight,
                    next.weightByWork, next.clientsMarkRetries, layout, next.limits, new PlatformRules(r.answerGrace,
                            r.drainGrace, r.slowStartShare, r.slowStartWindow, r.overloadMultiple, rules.overloadWindow,
                            r.pollWithin,
                            rules.retryBudgetWindow, r.retryBudgetMinimum, r.retryBudgetRatio),
                    next.costs);
        }

        /** The first place of a class that has not vanished; 0 where all have. */
        int firstClassBut(Set<Integer> vanished) {
            int place = 0;
            while (place < classes.size() && vanished.contains(place)) {
                place++;
            }
            return place < classes.size() ? place : 0;
        }

        /** The same with other classes, by place. */
        public RoutingSettings withClasses(List<QueryClass> others) {
            return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, others, tenants,
                    overQuotaWeight,
                    weightByWork, clientsMarkRetries, layout, limits, rules, costs);
        }

        /** The same with other limits. */
        public RoutingSettings withLimits(PlatformLimits others) {
            return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, classes, tenants,
                    overQuotaWeight,
                    weightByWork, clientsMarkRetries, layout, others, rules, costs);
        }

        /** The same with another fixed part of the budget of repeats. */
        public RoutingSettings withRetryBudgetMinimum(double minExtra) {
            var r = rules;
            return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, classes, tenants,
                    overQuotaWeight,
                    weightByWork, clientsMarkRetries, layout, limits,
                    new PlatformRules(r.answerGrace, r.drainGrace, r.slowStartShare,
                            r.slowStartWindow, r.overloadMultiple, r.overloadWindow, r.pollWithin, r.retryBudgetWindow,
                            minExtra,
                            r.retryBudgetRatio),
                    costs);
        }

        /** The same for workers that hold shards in another layout. */
        public RoutingSettings withLayout(ShardLayout other) {
            return new RoutingSettings(gatherers, position, zone, roundInterval, watchOnRequest, classes, tenants,
                    overQuotaWeight,
                    weightByWork, clientsMarkRetries, other, limits, rules, costs);
        }
    }

    /** One leaf in a list. {@code upSince} is its last start, or ABSENT for long ago. */
    public record WorkerListEntry(String worker, int zone, int hostKind, int cell, WorkerStatus status, double size,
            long startedAt) {}

    /** A query as it arrives; its parts follow at the same time. */
    public record QueryArrived(String id, long number, int queryClass, int tenant, String key, long deadline,
            long workHint, int partCount, boolean retry) {}

    /** A part of a query, at arrival or in its second step. */
    public record PartArrived(String id, long queryNumber, int shard, double weight, long workHint) {}

    /** The end of one attempt. {@code over} tells that the part is over. */
    public record AttemptEnded(String part, int attempt, String worker, AttemptEndReason reason, long duration,
            boolean partOver,
            Map<LoadMetric, Double> loadReport) {}

    /** What the module may do. Each call takes effect at the time of the event being handled. */
    public interface RoutingActions {
        /**
         * Starts an attempt; attempts of a part are numbered from 0 in the order of these calls.
         *
         * @param beginWithin its first byte goes out sooner than this from now, or never
         *                    ({@link AttemptEndReason#NOT_STARTED});
         *                    {@link Long#MAX_VALUE} where nothing but {@code giveUpAfter} bounds it
         */
        void startAttempt(String part, String leaf, long giveUpAfter, long beginWithin);

        /** Stops waiting for an attempt. */
        void cancelAttempt(String part, int attempt);

        /** Answers a query from the parts that are in. */
        void answer(String query, boolean whole);

        /** Final: turned away, harmless to repeat after {@code comeBackAfter}. */
        void reject(String query, long comeBackAfter);

        /** Final: given up, with no promise. */
        void fail(String query);

        /** Asks for {@link RoutingPolicy#onTimer} with this token. */
        void scheduleTimer(long in, String token);

        /** Closes this root's idle connections to a leaf. */
        void closeIdleConnections(String leaf);

        /** Sends bytes to the other roots. */
        void broadcast(byte[] contents);

        /** Subscribes to changes of the list. */
        void watchWorkerList();

        /** Writes a line for the operators. */
        void log(String line);
    }
}
