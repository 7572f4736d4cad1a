package wallmoor.decision;

import java.util.ArrayList;
import java.util.List;

/** What a root has learnt of each class's times, by the class's place in the settings, which it keeps for good. */
final class ClassLatencies {
    /** Tries whose times differ by less than this share of the class's time for all tries are alike. */
    private static final double SAME_TRY = 0.02;

    private final double fleetStep;
    private final double step;
    private final List<MovingAverage> partLatency = new ArrayList<>();
    private final List<MovingAverage> queryStretch = new ArrayList<>();
    private final List<MovingAverage> tryTime = new ArrayList<>();

    /**
     * Knows of no class yet.
     *
     * @param fleetStep weight of one part's time
     * @param step      weight of one query's
     */
    ClassLatencies(double fleetStep, double step) {
        this.fleetStep = fleetStep;
        this.step = step;
    }

    /** There are so many places from now on; what is known of those before stays. */
    void ensureClasses(int places) {
        while (partLatency.size() < places) {
            partLatency.add(new MovingAverage(fleetStep));
            queryStretch.add(new MovingAverage(step));
            tryTime.add(new MovingAverage(step));
        }
    }

    /** What a part of this class takes at a leaf. */
    MovingAverage partLatency(int place) {
        return partLatency.get(place);
    }

    /** What a part takes at a leaf, of the class whose parts take longest; infinite before any is heard. */
    double slowestPartLatency() {
        double slowest = 0;
        for (MovingAverage t : partLatency) {
            slowest = Math.max(slowest, t.orElse(0));
        }
        return slowest > 0 ? slowest : Double.POSITIVE_INFINITY;
    }

    /** What a query of this class takes, over the mean of its parts' expected times. */
    MovingAverage queryStretch(int place) {
        return queryStretch.get(place);
    }

    /**
     * When the client first asked: its aim runs from there, and a repeat that comes too late takes no work.
     * First tries all have the same time; a marked repeat with another one has what is left of the class's
     * time for all tries. Where clients don't mark repeats, each query counts as a first one.
     */
    long clientStartTime(long now, QueryArrived q, int place, RoutingSettings settings) {
        long left = q.deadline() - now;
        long all = settings.classes().get(place).clientTimeout();
        boolean usual = Math.abs(left - tryTime.get(place).orElse(left)) < SAME_TRY * all;
        if (!q.retry()) {
            tryTime.get(place).add(left);
        }
        return q.retry() && settings.clientsMarkRetries() && !usual ? Math.min(now, q.deadline() - all) : now;
    }
}
