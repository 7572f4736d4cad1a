package wallmoor.decision;

import java.util.ArrayList;
import java.util.List;
import wallmoor.decision.RouterApi.QueryArrived;
import wallmoor.decision.RouterApi.Settings;

/** What a root has learnt of each class's times, by the class's place in the settings, which it keeps for good. */
final class ClassTimes {
    /** Tries whose times differ by less than this share of the class's time for all tries are alike. */
    private static final double SAME_TRY = 0.02;

    private final double fleetStep;
    private final double step;
    private final List<Smoothed> typical = new ArrayList<>();
    private final List<Smoothed> stretch = new ArrayList<>();
    private final List<Smoothed> tryTime = new ArrayList<>();

    /**
     * Knows of no class yet.
     *
     * @param fleetStep weight of one part's time
     * @param step      weight of one query's
     */
    ClassTimes(double fleetStep, double step) {
        this.fleetStep = fleetStep;
        this.step = step;
    }

    /** There are so many places from now on; what is known of those before stays. */
    void cover(int places) {
        while (typical.size() < places) {
            typical.add(new Smoothed(fleetStep));
            stretch.add(new Smoothed(step));
            tryTime.add(new Smoothed(step));
        }
    }

    /** What a part of this class takes at a leaf. */
    Smoothed typical(int place) {
        return typical.get(place);
    }

    /** What a part takes at a leaf, of the class whose parts take longest; infinite before any is heard. */
    double slowest() {
        double slowest = 0;
        for (Smoothed t : typical) {
            slowest = Math.max(slowest, t.or(0));
        }
        return slowest > 0 ? slowest : Double.POSITIVE_INFINITY;
    }

    /** What a query of this class takes, over the mean of its parts' expected times. */
    Smoothed stretch(int place) {
        return stretch.get(place);
    }

    /**
     * When the client first asked: its aim runs from there, and a repeat that comes too late takes no work.
     * First tries all have the same time; a marked repeat with another one has what is left of the class's
     * time for all tries. Where clients don't mark repeats, each query counts as a first one.
     */
    long firstTry(long now, QueryArrived q, int place, Settings settings) {
        long left = q.deadline() - now;
        long all = settings.classes().get(place).giveUp();
        boolean usual = Math.abs(left - tryTime.get(place).or(left)) < SAME_TRY * all;
        if (!q.repeat()) {
            tryTime.get(place).add(left);
        }
        return q.repeat() && settings.clientsMarkRetry() && !usual ? Math.min(now, q.deadline() - all) : now;
    }
}
