package wallmoor.summaries;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Which shards of a query are asked. One is left out where every site that may hold its block says by a summary that
 * counts that it has no row of it: its share is answered with no rows. Of those left out some are asked all the same,
 * where that does no harm, so that a summary that is wrong is found. Decides only; one caller at a time.
 */
public final class Pruning {
    /**
     * How much is asked all the same.
     *
     * @param share     of what is left out, 0 to 1
     * @param perSecond at most
     * @param burst     at once at most
     */
    public record ProbeBudget(double share, double perSecond, int burst) {
        /** Checks the bounds. */
        public ProbeBudget {
            if (!(share >= 0 && share <= 1) || !(perSecond >= 0) || burst < 0) {
                throw new IllegalArgumentException("the budget of what is asked all the same is out of bounds");
            }
        }

        /** One in a hundred, and no more than ten a second. */
        public static ProbeBudget defaults() {
            return new ProbeBudget(0.01, 10, 20);
        }
    }

    /** A shard's part, and the sites that may answer it. */
    public record Share(int shard, List<Site> holders) {}

    /** A share that is left out, or would be. Its summaries are those that were held then. */
    public static final class PrunedShard {
        private final int shard;
        private final Conditions conditions;
        private final List<Summary> by;

        private PrunedShard(int shard, Conditions conditions, List<Summary> by) {
            this.shard = shard;
            this.conditions = conditions;
            this.by = by;
        }

        /** Which. */
        public int shard() {
            return shard;
        }

        /** The summary that excluded the query at that site, or null where it is none of those that may answer. */
        public Summary by(Site site) {
            return by.stream().filter(b -> b.site().equals(site.name()) && b.block().equals(site.block())).findFirst()
                    .orElse(null);
        }

        /** Why, for people. */
        public String because() {
            return by.get(0).site() + ": " + by.get(0).excludes(conditions);
        }
    }

    /**
     * What is to be done with a query's shares.
     *
     * @param ask    shards to be asked, those of {@code probes} too
     * @param pruned answered with no rows
     * @param probes asked all the same, and reported by {@link #reportProbe}
     */
    public record Decision(List<Integer> ask, List<PrunedShard> pruned, List<PrunedShard> probes) {
        /** For the answer: how many were asked and how many left out. */
        public String told() {
            return "asked " + ask.size() + ", left out " + pruned.size();
        }
    }

    private static final double MICROS = 1e6;

    private final SummaryCache known;
    private final ProbeBudget budget;
    private final RandomGenerator random;
    private double tokens;
    private long at;

    /** With a seeded source of chance. */
    public Pruning(SummaryCache known, ProbeBudget budget, RandomGenerator random) {
        this.known = known;
        this.budget = budget;
        this.random = random;
        this.tokens = budget.burst();
    }

    /**
     * Decides on a query.
     *
     * @param mayRepeat whether its class may: only then is anything asked that need not be
     */
    public Decision decide(long now, Conditions conditions, List<Share> shares, boolean mayRepeat) {
        SummaryLookup lookup = known.lookup(now, conditions);
        return decide(now, conditions, shares, mayRepeat, lookup::excluding);
    }

    /**
     * The same by what is held elsewhere: a snapshot that goes on being read while {@link SummaryCache} takes news in.
     * Many
     * may call this at once; they share the budget alone.
     *
     * @param excluding gives the summary that counts at a site and excludes the query, or null
     */
    public Decision decide(long now, Conditions conditions, List<Share> shares, boolean mayRepeat,
            Function<Site, Summary> excluding) {
        var ask = new ArrayList<Integer>();
        var pruned = new ArrayList<PrunedShard>();
        var probes = new ArrayList<PrunedShard>();
        for (Share share : shares) {
            PrunedShard cut = cut(excluding, conditions, share);
            if (cut == null) {
                ask.add(share.shard());
            } else if (mayRepeat && probe(now)) {
                ask.add(share.shard());
                probes.add(cut);
            } else {
                pruned.add(cut);
            }
        }
        return new Decision(ask, pruned, probes);
    }

    /** Whether one that is left out is asked all the same. */
    private synchronized boolean probe(long now) {
        tokens = Math.min(budget.burst(), tokens + Math.max(0, now - at) / MICROS * budget.perSecond());
        at = Math.max(at, now);
        if (tokens < 1 || random.nextDouble() >= budget.share()) {
            return false;
        }
        tokens--;
        return true;
    }

    private static PrunedShard cut(Function<Site, Summary> excluding, Conditions conditions, Share share) {
        var by = new ArrayList<Summary>(share.holders().size());
        for (Site site : share.holders()) {
            Summary s = excluding.apply(site);
            if (s == null) {
                return null;
            }
            by.add(s);
        }
        return by.isEmpty() ? null : new PrunedShard(share.shard(), conditions, by);
    }

    /**
     * What a share that was asked all the same came to. Rows in it prove the summary wrong, unless the site has moved
     * on: they may have been written since.
     *
     * @param site    which of the holders answered
     * @param epoch   its life, by its answer; {@link Long#MIN_VALUE} where it does not tell
     * @param version of its data, by its answer; likewise
     * @param rows    in the answer
     * @return whether the summary was wrong
     */
    public boolean reportProbe(long now, PrunedShard cut, Site site, long epoch, long version, long rows) {
        if (!wrong(cut, site, epoch, version, rows)) {
            return false;
        }
        Summary s = cut.by(site);
        known.distrust(now, site, s.epoch(), s.version(), s.excludes(cut.conditions) + ", and " + rows + " rows came");
        return true;
    }

    /** Whether what a share came to proves a summary wrong, as {@link #reportProbe} has it; nothing comes of asking. */
    public static boolean wrong(PrunedShard cut, Site site, long epoch, long version, long rows) {
        Summary s = cut.by(site);
        boolean newer = s != null && epoch != Long.MIN_VALUE
                && (epoch > s.epoch() || (epoch == s.epoch() && version > s.version()));
        return rows > 0 && s != null && !newer;
    }
}
