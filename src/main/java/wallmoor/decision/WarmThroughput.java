package wallmoor.decision;

import java.util.DoubleSummaryStatistics;

/**
 * What a warm leaf is seen to serve of this root's parts: answers of warm leaves, each over how many of them there were
 * then. It is the most of a mean over many windows, fading. The most of single windows would not do: many roots that
 * see little would each keep its luckiest one, and these add up to more than all leaves carry. It stands still while no
 * leaf is warm.
 */
final class WarmThroughput {
    /** An answer's weight falls to 1/e within this time (microseconds). */
    private static final double MEMORY = 10e6;
    /** Least share of the memory by which a mean is taken: at the start a single answer would count for many. */
    private static final double LEAST_SEEN = 0.1;
    /** ... and by which it is taken for the most there was. */
    private static final double WELL_SEEN = 0.6;
    /** The most there was halves in this time (microseconds). */
    private static final double HALF_LIFE = 30e6;

    private double warmLeaves;
    private double meanSize = 1;
    private double answers;
    /** The share of the memory that is filled: less than one after the start. */
    private double seen;
    private double most;
    private long at;

    /** Of these sizes are the leaves that are warm and in use from now on. */
    void updateWarmWorkers(long now, DoubleSummaryStatistics sizes) {
        advance(now);
        warmLeaves = sizes.getCount();
        meanSize = warmLeaves > 0 ? sizes.getAverage() : meanSize;
        most = seen < WELL_SEEN ? most : Math.max(most, mean());
    }

    /** A warm leaf has answered a part. */
    void recordAnswer(long now) {
        advance(now);
        if (warmLeaves > 0) {
            answers += 1 / warmLeaves;
        }
    }

    /** Answers of one warm leaf of this size within a time of this length; a size above the mean promises nothing. */
    double answersWithin(long length, double size) {
        return Math.min(1, size / meanSize) * Math.max(most, mean()) * length;
    }

    /** Answers of a leaf in a microsecond. */
    private double mean() {
        return answers / MEMORY / Math.max(LEAST_SEEN, seen);
    }

    private void advance(long now) {
        if (warmLeaves > 0) {
            double left = Math.exp((at - now) / MEMORY);
            answers *= left;
            seen = 1 - (1 - seen) * left;
            most *= Math.pow(0.5, (now - at) / HALF_LIFE);
        }
        at = now;
    }
}
