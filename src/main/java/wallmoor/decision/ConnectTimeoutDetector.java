package wallmoor.decision;

import java.util.HashMap;
import java.util.Map;

/**
 * The share of attempts whose connect timed out, by zone. Where every zone has many of them the network or this
 * gatherer is slow; where one has them and another has none, that zone is lost or cut off, and its workers are to
 * blame.
 */
final class ConnectTimeoutDetector {
    private final Map<Integer, MovingAverage> timeoutShare = new HashMap<>();

    /** An attempt in this zone has ended. */
    void add(int zone, boolean timedOut) {
        timeoutShare.computeIfAbsent(zone, z -> new MovingAverage(TuningParameters.FLEET_SAMPLE_WEIGHT))
                .add(timedOut ? 1 : 0);
    }

    /** Whether many connects time out in every zone that attempts went to. */
    boolean inEveryZone() {
        return !timeoutShare.isEmpty() && timeoutShare.values().stream()
                .allMatch(s -> s.orElse(0) > TuningParameters.CONNECT_TIMEOUT_THRESHOLD);
    }
}
