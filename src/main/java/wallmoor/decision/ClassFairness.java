package wallmoor.decision;

import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * What each class was served of the weight it asked for, fading with queries. Where the operators count the class that
 * is served worst by itself, one more query served of it counts twice: in the whole, and again in its class's share.
 */
final class ClassFairness {
    private double[] asked;
    private double[] served;
    private double worstClassCounts;

    /**
     * Knows of no query yet.
     *
     * @param worstClassCounts what the share of the class served worst counts, over what the share of the whole does
     */
    ClassFairness(List<QueryClass> classes, double worstClassCounts) {
        this.worstClassCounts = worstClassCounts;
        asked = new double[classes.size()];
        served = new double[classes.size()];
    }

    /** There are so many places of classes from now on; those that vanished ask for nothing and are served nothing. */
    void ensureClasses(int places, Set<Integer> vanished, double newWorstClassCounts) {
        worstClassCounts = newWorstClassCounts;
        asked = Arrays.copyOf(asked, places);
        served = Arrays.copyOf(served, places);
        vanished.forEach(place -> {
            asked[place] = 0;
            served[place] = 0;
        });
    }

    /** A query of this class and priority weight has ended. */
    void add(int place, double priorityWeight, boolean inTime) {
        for (int i = 0; i < asked.length; i++) {
            asked[i] *= 1 - TuningParameters.CLASS_SHARE_SAMPLE_WEIGHT;
            served[i] *= 1 - TuningParameters.CLASS_SHARE_SAMPLE_WEIGHT;
        }
        asked[place] += priorityWeight;
        served[place] += inTime ? priorityWeight : 0;
    }

    /** What one unit of weight served of this class counts, over what it counts in the whole alone. */
    double weight(int place) {
        double all = 0;
        double least = 1;
        for (int i = 0; i < asked.length; i++) {
            all += asked[i];
            least = Math.min(least, servedShare(i));
        }
        boolean servedBetter = servedShare(place) > least + TuningParameters.EQUAL_CLASS_SHARES;
        return servedBetter || asked[place] <= 0 ? 1 : 1 + worstClassCounts * all / asked[place];
    }

    private double servedShare(int place) {
        return asked[place] <= 0 ? 1 : served[place] / asked[place];
    }
}
