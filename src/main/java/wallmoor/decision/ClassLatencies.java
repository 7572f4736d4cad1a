package wallmoor.decision;

import java.util.ArrayList;
import java.util.List;

/** What is learnt of the times of each class, by the class's place in the settings, which it keeps for good. */
final class ClassLatencies {
    private final List<MovingAverage> partLatency = new ArrayList<>();
    private final List<MovingAverage> queryStretch = new ArrayList<>();
    private final List<MovingAverage> clientTime = new ArrayList<>();

    /** There are so many places from now on; what is known of those before stays. */
    void ensureClasses(int places) {
        while (partLatency.size() < places) {
            partLatency.add(new MovingAverage(TuningParameters.FLEET_SAMPLE_WEIGHT));
            queryStretch.add(new MovingAverage(TuningParameters.LATENCY_SAMPLE_WEIGHT));
            clientTime.add(new MovingAverage(TuningParameters.LATENCY_SAMPLE_WEIGHT));
        }
    }

    /** What a part of this class takes, by all workers (microseconds). */
    MovingAverage partLatency(int place) {
        return partLatency.get(place);
    }

    /** What a part takes of the class whose parts take longest (microseconds); infinite before any is known. */
    double slowestPartLatency() {
        double slowest = 0;
        for (MovingAverage latency : partLatency) {
            slowest = Math.max(slowest, latency.orElse(0));
        }
        return slowest > 0 ? slowest : Double.POSITIVE_INFINITY;
    }

    /** What a query of this class takes, over the mean of its parts' expected times. */
    MovingAverage queryStretch(int place) {
        return queryStretch.get(place);
    }

    /**
     * When the client sent its first attempt: its latency objective runs from there, and a retry that comes too late
     * takes no work. First attempts all have the same time until their deadline; a marked retry with another one has
     * what is left of the client's time-out. Where clients don't mark retries, each query counts as a first attempt.
     */
    long clientStartTime(long now, QueryArrived query, int place, RoutingSettings settings) {
        long left = query.deadline() - now;
        long timeout = settings.classes().get(place).clientTimeout();
        boolean likeFirst = Math
                .abs(left - clientTime.get(place).orElse((double) left)) < TuningParameters.EQUAL_CLIENT_TIMES
                        * timeout;
        if (!query.retry()) {
            clientTime.get(place).add((double) left);
        }
        boolean knownRetry = query.retry() && settings.clientsMarkRetries() && !likeFirst;
        return knownRetry ? Math.min(now, query.deadline() - timeout) : now;
    }
}
