package wallmoor.summaries;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Decides which shards of a query are queried. A shard is pruned if a leased summary of every site that may hold its
 * block excludes the query; its share is then empty. Some of the pruned shards are queried nevertheless (probes), if
 * the query may be repeated, so that a wrong summary is detected. Does no input or output. Not thread-safe, except for
 * {@link #decide(long, Conditions, List, boolean, Function)}.
 */
public final class Pruning {
    /**
     * Limits of probes.
     *
     * @param share     share of the pruned shards that are probed, from 0 to 1
     * @param perSecond maximum number of probes per second
     * @param burst     maximum number of probes at once
     */
    public record ProbeBudget(double share, double perSecond, int burst) {
        /** Validates the bounds. */
        public ProbeBudget {
            if (!(share >= 0 && share <= 1) || !(perSecond >= 0) || burst < 0) {
                throw new IllegalArgumentException("probe budget out of bounds: share=" + share
                        + " (0 to 1), perSecond=" + perSecond + " (at least 0), burst=" + burst + " (at least 0)");
            }
        }

        /** Returns a budget of one in a hundred pruned shards, and at most ten a second. */
        public static ProbeBudget defaults() {
            return new ProbeBudget(0.01, 10, 20);
        }
    }

    /** A shard of a query, with the sites that may answer for it. */
    public record Share(int shard, List<Site> holders) {}

    /** A shard that is pruned or probed, with the summaries that excluded the query at the time of the decision. */
    public static final class PrunedShard {
        private final int shard;
        private final Conditions conditions;
        private final List<Summary> summaries;

        private PrunedShard(int shard, Conditions conditions, List<Summary> summaries) {
            this.shard = shard;
            this.conditions = conditions;
            this.summaries = summaries;
        }

        /** Returns the shard. */
        public int shard() {
            return shard;
        }

        /** Returns the summary that excluded the query at this site, or null if the site is no holder of the shard. */
        public Summary summaryOf(Site site) {
            return summaries.stream().filter(s -> s.site().equals(site.name()) && s.block().equals(site.block()))
                    .findFirst().orElse(null);
        }

        /** Returns the reason for operators. */
        public String reason() {
            return summaries.get(0).site() + ": " + summaries.get(0).exclusionReason(conditions);
        }
    }

    /**
     * The decision on the shards of a query.
     *
     * @param ask    shards to query, including those of {@code probes}
     * @param pruned shards that count as answered without rows
     * @param probes excluded shards that are queried nevertheless; {@link #reportProbe} takes their results
     */
    public record Decision(List<Integer> ask, List<PrunedShard> pruned, List<PrunedShard> probes) {
        /** Returns the numbers of queried and pruned shards as text. */
        public String describe() {
            return "asked " + ask.size() + ", left out " + pruned.size();
        }
    }

    private static final double MICROS_PER_SECOND = 1e6;

    private final SummaryCache cache;
    private final ProbeBudget budget;
    private final RandomGenerator random;
    private double tokens;
    private long lastRefill;

    /** Creates a decider that draws probes from {@code random}. */
    public Pruning(SummaryCache cache, ProbeBudget budget, RandomGenerator random) {
        this.cache = cache;
        this.budget = budget;
        this.random = random;
        this.tokens = budget.burst();
    }

    /**
     * Decides on a query by the summaries in the cache.
     *
     * @param now       current time, in microseconds
     * @param mayRepeat whether the query may be repeated by its class; only then are there probes
     */
    public Decision decide(long now, Conditions conditions, List<Share> shares, boolean mayRepeat) {
        SummaryLookup lookup = cache.lookup(now, conditions);
        return decide(now, conditions, shares, mayRepeat, lookup::excluding);
    }

    /**
     * Decides on a query by summaries that the caller provides, such as a snapshot that is read while the
     * {@link SummaryCache} changes. Safe for concurrent calls, which share only the probe budget.
     *
     * @param now       current time, in microseconds
     * @param mayRepeat whether the query may be repeated by its class; only then are there probes
     * @param excluding returns the leased summary of a site that excludes the query, or null
     */
    public Decision decide(long now, Conditions conditions, List<Share> shares, boolean mayRepeat,
            Function<Site, Summary> excluding) {
        var ask = new ArrayList<Integer>();
        var pruned = new ArrayList<PrunedShard>();
        var probes = new ArrayList<PrunedShard>();
        for (Share share : shares) {
            PrunedShard cut = prunedOrNull(excluding, conditions, share);
            if (cut == null) {
                ask.add(share.shard());
            } else if (mayRepeat && tryProbe(now)) {
                ask.add(share.shard());
                probes.add(cut);
            } else {
                pruned.add(cut);
            }
        }
        return new Decision(ask, pruned, probes);
    }

    /** Returns whether an excluded shard is probed, and takes a token from the budget if so. */
    private synchronized boolean tryProbe(long now) {
        tokens = Math.min(budget.burst(),
                tokens + Math.max(0, now - lastRefill) / MICROS_PER_SECOND * budget.perSecond());
        lastRefill = Math.max(lastRefill, now);
        if (tokens < 1 || random.nextDouble() >= budget.share()) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns the shard as pruned if every site that may answer for it excludes the query, else null. */
    private static PrunedShard prunedOrNull(Function<Site, Summary> excluding, Conditions conditions, Share share) {
        var summaries = new ArrayList<Summary>(share.holders().size());
        for (Site site : share.holders()) {
            Summary s = excluding.apply(site);
            if (s == null) {
                return null;
            }
            summaries.add(s);
        }
        return summaries.isEmpty() ? null : new PrunedShard(share.shard(), conditions, summaries);
    }

    /**
     * Takes the result of a probe. Rows in it prove the summary wrong, unless the data of the site is newer than the
     * summary, as the rows may have been written since.
     *
     * @param now     current time, in microseconds
     * @param site    the site that answered
     * @param epoch   epoch of the data in the answer; {@link Long#MIN_VALUE} if unknown
     * @param version version of the data in the answer; {@link Long#MIN_VALUE} if unknown
     * @param rows    number of rows in the answer
     * @return whether the summary was wrong
     */
    public boolean reportProbe(long now, PrunedShard cut, Site site, long epoch, long version, long rows) {
        if (!disprovesSummary(cut, site, epoch, version, rows)) {
            return false;
        }
        Summary s = cut.summaryOf(site);
        cache.distrust(now, site, s.epoch(), s.version(), s.exclusionReason(cut.conditions) + ", but the site returned "
                + rows + " rows");
        return true;
    }

    /** Returns whether the result of a probe proves the summary wrong (see {@link #reportProbe}). Has no effect. */
    public static boolean disprovesSummary(PrunedShard cut, Site site, long epoch, long version, long rows) {
        Summary s = cut.summaryOf(site);
        boolean newer = s != null && epoch != Long.MIN_VALUE
                && (epoch > s.epoch() || (epoch == s.epoch() && version > s.version()));
        return rows > 0 && s != null && !newer;
    }
}
