package wallmoor.decision;

import java.util.DoubleSummaryStatistics;

/**
 * The throughput of one warm worker for this gatherer's parts, estimated from the answers of all warm workers, each
 * divided by the number of those workers at that time. The estimate is a decaying peak of an exponentially weighted
 * mean. The peak of single windows would be too high: many gatherers with little traffic would each retain their best
 * window, and these add up to more than the capacity of all workers. The estimate does not change while no worker is
 * warm.
 */
final class WarmThroughput {
    private double warmWorkers;
    private double meanSize = 1;
    private double answers;
    /** The share of the memory that is filled, which is below 1 after the start. */
    private double filledShare;
    private double peak;
    private long updatedAt;

    /** Updates the sizes of the workers that are warm and in use. */
    void updateWarmWorkers(long now, DoubleSummaryStatistics sizes) {
        advance(now);
        warmWorkers = sizes.getCount();
        meanSize = warmWorkers > 0 ? sizes.getAverage() : meanSize;
        peak = filledShare < TuningParameters.THROUGHPUT_PEAK_MIN_FILL ? peak : Math.max(peak, mean());
    }

    /** Records that a warm worker has answered a part. */
    void recordAnswer(long now) {
        advance(now);
        if (warmWorkers > 0) {
            answers += 1 / warmWorkers;
        }
    }

    /**
     * Returns the number of answers of one warm worker within a time, which does not grow with a size above the mean.
     *
     * @param duration the time (microseconds)
     * @param size     the worker's size
     */
    double answersWithin(long duration, double size) {
        return Math.min(1, size / meanSize) * Math.max(peak, mean()) * duration;
    }

    /** Returns the answers of one worker per microsecond. */
    private double mean() {
        return answers / TuningParameters.THROUGHPUT_MEMORY_MICROS
                / Math.max(TuningParameters.THROUGHPUT_MIN_FILL, filledShare);
    }

    private void advance(long now) {
        if (warmWorkers > 0) {
            double remaining = Math.exp((updatedAt - now) / TuningParameters.THROUGHPUT_MEMORY_MICROS);
            answers *= remaining;
            filledShare = 1 - (1 - filledShare) * remaining;
            peak *= Math.pow(0.5, (now - updatedAt) / TuningParameters.THROUGHPUT_PEAK_HALF_LIFE_MICROS);
        }
        updatedAt = now;
    }
}
