package wallmoor.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * Latency statistics of each class, by the class's index in the settings. A class keeps its index for the life of the
 * process.
 */
final class ClassLatencies {
    private final List<MovingAverage> partLatency = new ArrayList<>();
    private final List<MovingAverage> queryLatencyRatio = new ArrayList<>();
    private final List<MovingAverage> clientTimeLeft = new ArrayList<>();

    /** Extends the statistics to this number of classes; those of existing classes are unchanged. */
    void ensureClasses(int classCount) {
        while (partLatency.size() < classCount) {
            partLatency.add(new MovingAverage(TuningParameters.FLEET_SAMPLE_WEIGHT));
            queryLatencyRatio.add(new MovingAverage(TuningParameters.LATENCY_SAMPLE_WEIGHT));
            clientTimeLeft.add(new MovingAverage(TuningParameters.LATENCY_SAMPLE_WEIGHT));
        }
    }

    /** Returns the average latency of this class's parts at all workers (microseconds). */
    MovingAverage partLatency(int classIndex) {
        return partLatency.get(classIndex);
    }

    /**
     * Returns the average part latency of the class with the slowest parts (microseconds), or infinity before the first
     * answer.
     */
    double slowestPartLatency() {
        double slowest = 0;
        for (MovingAverage latency : partLatency) {
            slowest = Math.max(slowest, latency.orElse(0));
        }
        return slowest > 0 ? slowest : Double.POSITIVE_INFINITY;
    }

    /** Returns the average ratio of a query's latency to the mean expected latency of its parts. */
    MovingAverage queryLatencyRatio(int classIndex) {
        return queryLatencyRatio.get(classIndex);
    }

    /**
     * Returns when the client sent its first attempt (microseconds). The latency objective counts from that time, and a
     * retry that comes too late is rejected before it causes work. All first attempts arrive with the same time left
     * until their deadline; a marked retry with a different time left has what remains of the client's timeout. If
     * clients don't mark retries, each query counts as a first attempt.
     */
    long clientStartTime(long now, QueryArrived query, int classIndex, RoutingSettings settings) {
        long timeLeft = query.deadline() - now;
        long timeout = settings.classes().get(classIndex).clientTimeout();
        boolean isLikeFirstAttempt = Math.abs(timeLeft
                - clientTimeLeft.get(classIndex).orElse((double) timeLeft)) < TuningParameters.CLIENT_TIME_TOLERANCE
                        * timeout;
        if (!query.retry()) {
            clientTimeLeft.get(classIndex).add((double) timeLeft);
        }
        boolean isKnownRetry = query.retry() && settings.clientsMarkRetries() && !isLikeFirstAttempt;
        return isKnownRetry ? Math.min(now, query.deadline() - timeout) : now;
    }
}
