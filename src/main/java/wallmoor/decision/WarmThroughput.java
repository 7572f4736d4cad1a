package wallmoor.decision;

import java.util.DoubleSummaryStatistics;

/**
 * What a warm worker is seen to serve of this gatherer's parts: answers of warm workers, each over how many of them
 * there were then. It is the peak of a mean over many windows, fading. The peak of single windows would not do: many
 * gatherers that see little would each keep their luckiest one, and these add up to more than all workers carry. It
 * stands still while no worker is warm.
 */
final class WarmThroughput {
    private double warmWorkers;
    private double meanSize = 1;
    private double answers;
    /** The share of the memory that is filled: less than one after the start. */
    private double seen;
    private double peak;
    private long updatedAt;

    /** Of these sizes are the workers that are warm and in use from now on. */
    void updateWarmWorkers(long now, DoubleSummaryStatistics sizes) {
        advance(now);
        warmWorkers = sizes.getCount();
        meanSize = warmWorkers > 0 ? sizes.getAverage() : meanSize;
        peak = seen < TuningParameters.THROUGHPUT_PEAK_SEEN ? peak : Math.max(peak, mean());
    }

    /** A warm worker has answered a part. */
    void recordAnswer(long now) {
        advance(now);
        if (warmWorkers > 0) {
            answers += 1 / warmWorkers;
        }
    }

    /**
     * Answers of one warm worker of this size within a time of this length (microseconds); a size above the mean
     * promises nothing.
     */
    double answersWithin(long length, double size) {
        return Math.min(1, size / meanSize) * Math.max(peak, mean()) * length;
    }

    /** Answers of a worker in a microsecond. */
    private double mean() {
        return answers / TuningParameters.THROUGHPUT_MEMORY / Math.max(TuningParameters.THROUGHPUT_MIN_SEEN, seen);
    }

    private void advance(long now) {
        if (warmWorkers > 0) {
            double left = Math.exp((updatedAt - now) / TuningParameters.THROUGHPUT_MEMORY);
            answers *= left;
            seen = 1 - (1 - seen) * left;
            peak *= Math.pow(0.5, (now - updatedAt) / TuningParameters.THROUGHPUT_PEAK_HALF_LIFE);
        }
        updatedAt = now;
    }
}
