package wallmoor.decision;

import java.util.HashMap;
import java.util.Map;

/**
 * The share of attempts whose connect timed out, by zone. Where every zone has many of them the network or this root is
 * slow; where one has them and another has none, that zone is lost or cut off, and its leaves are to blame.
 */
final class ConnectTimeoutDetector {
    private final Map<Integer, MovingAverage> zones = new HashMap<>();
    private final double step;
    private final double many;

    /**
     * Knows of none yet.
     *
     * @param step the weight of one attempt
     * @param many a zone has many of them above this share
     */
    ConnectTimeoutDetector(double step, double many) {
        this.step = step;
        this.many = many;
    }

    /** An attempt in this zone has ended; {@code slow} where its connect timed out. */
    void add(int zone, boolean slow) {
        zones.computeIfAbsent(zone, z -> new MovingAverage(step)).add(slow ? 1 : 0);
    }

    /** Whether connecting is slow in every zone that attempts went to. */
    boolean inEveryZone() {
        return !zones.isEmpty() && zones.values().stream().allMatch(s -> s.orElse(0) > many);
    }
}
