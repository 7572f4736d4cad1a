package wallmoor.decision;

import java.util.HashMap;
import java.util.Map;

/**
 * The share of attempts whose connect timed out, by zone. If every zone has many connect timeouts, the network or this
 * gatherer is slow. If one zone has many and another has none, the first zone is down or cut off, and its workers are
 * treated as unreachable.
 */
final class ConnectTimeoutDetector {
    private final Map<Integer, MovingAverage> timeoutShare = new HashMap<>();

    /** Records the end of an attempt in this zone. */
    void add(int zone, boolean timedOut) {
        timeoutShare.computeIfAbsent(zone, z -> new MovingAverage(TuningParameters.FLEET_SAMPLE_WEIGHT))
                .add(timedOut ? 1 : 0);
    }

    /** Returns whether many connects time out in every zone that attempts were sent to. */
    boolean affectsEveryZone() {
        return !timeoutShare.isEmpty() && timeoutShare.values().stream()
                .allMatch(share -> share.orElse(0) > TuningParameters.CONNECT_TIMEOUT_THRESHOLD);
    }
}
