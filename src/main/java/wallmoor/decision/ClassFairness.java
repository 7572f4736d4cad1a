package wallmoor.decision;

import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * The share of each class's requested weight that was served in time, decaying with each query. If the settings give
 * the worst-served class an extra weight, one more served query of that class counts twice: in the overall share and
 * again in the share of its class.
 */
final class ClassFairness {
    private double[] requestedWeight;
    private double[] servedWeight;
    private double worstClassWeight;

    /**
     * Creates the shares before any query has ended.
     *
     * @param worstClassWeight weight of the worst-served class's share, relative to the overall share
     */
    ClassFairness(List<QueryClass> classes, double worstClassWeight) {
        this.worstClassWeight = worstClassWeight;
        requestedWeight = new double[classes.size()];
        servedWeight = new double[classes.size()];
    }

    /** Extends the shares to this number of classes and resets the shares of removed classes. */
    void ensureClasses(int classCount, Set<Integer> removedClasses, double newWorstClassWeight) {
        worstClassWeight = newWorstClassWeight;
        requestedWeight = Arrays.copyOf(requestedWeight, classCount);
        servedWeight = Arrays.copyOf(servedWeight, classCount);
        removedClasses.forEach(classIndex -> {
            requestedWeight[classIndex] = 0;
            servedWeight[classIndex] = 0;
        });
    }

    /** Records that a query of this class and priority weight has ended. */
    void record(int classIndex, double priorityWeight, boolean inTime) {
        for (int i = 0; i < requestedWeight.length; i++) {
            requestedWeight[i] *= 1 - TuningParameters.CLASS_SHARE_SAMPLE_WEIGHT;
            servedWeight[i] *= 1 - TuningParameters.CLASS_SHARE_SAMPLE_WEIGHT;
        }
        requestedWeight[classIndex] += priorityWeight;
        servedWeight[classIndex] += inTime ? priorityWeight : 0;
    }

    /**
     * Returns the value of one unit of weight served of this class, relative to its value in the overall share alone.
     */
    double weightFactor(int classIndex) {
        double totalRequested = 0;
        double lowestShare = 1;
        for (int i = 0; i < requestedWeight.length; i++) {
            totalRequested += requestedWeight[i];
            lowestShare = Math.min(lowestShare, servedShare(i));
        }
        boolean isServedBetter = servedShare(classIndex) > lowestShare + TuningParameters.CLASS_SHARE_TOLERANCE;
        return isServedBetter || requestedWeight[classIndex] <= 0 ? 1
                : 1 + worstClassWeight * totalRequested / requestedWeight[classIndex];
    }

    private double servedShare(int classIndex) {
        return requestedWeight[classIndex] <= 0 ? 1 : servedWeight[classIndex] / requestedWeight[classIndex];
    }
}
