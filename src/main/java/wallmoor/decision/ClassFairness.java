package wallmoor.decision;

import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * What each class was served of the worth it asked for, fading with queries. Where the operators count the class that
 * is served worst by itself, one more query served of it counts twice: in the whole, and again in its class' share.
 */
final class ClassFairness {
    /** Classes whose shares differ by less are served alike: a difference of a query or two tells nothing. */
    private static final double ALIKE = 0.01;
    /** Weight of one query: the last few hundred count, which is a minute or two where traffic is thin. */
    private static final double STEP = 0.004;

    private double[] asked;
    private double[] served;
    private double counts;

    /**
     * Knows of no query yet.
     *
     * @param counts what the worst-served class' share counts, over what the whole's does
     */
    ClassFairness(List<QueryClass> classes, double counts) {
        this.counts = counts;
        asked = new double[classes.size()];
        served = new double[classes.size()];
    }

    /** There are so many places of classes from now on; those that vanished ask for nothing and are served nothing. */
    void ensureClasses(int places, Set<Integer> vanished, double worst) {
        counts = worst;
        asked = Arrays.copyOf(asked, places);
        served = Arrays.copyOf(served, places);
        vanished.forEach(place -> {
            asked[place] = 0;
            served[place] = 0;
        });
    }

    /** A query of this class and worth has ended. */
    void add(int index, double worth, boolean inTime) {
        for (int i = 0; i < asked.length; i++) {
            asked[i] *= 1 - STEP;
            served[i] *= 1 - STEP;
        }
        asked[index] += worth;
        served[index] += inTime ? worth : 0;
    }

    /** What one unit of worth served of this class counts, over what it counts in the whole alone. */
    double weight(int index) {
        double all = 0;
        double least = 1;
        for (int i = 0; i < asked.length; i++) {
            all += asked[i];
            least = Math.min(least, share(i));
        }
        return share(index) > least + ALIKE || asked[index] <= 0 ? 1 : 1 + counts * all / asked[index];
    }

    private double share(int index) {
        return asked[index] <= 0 ? 1 : served[index] / asked[index];
    }
}
