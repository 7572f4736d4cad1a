package wallmoor.endpoints;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks which endpoints are suspected of being unreachable (a connection failed, and none has been established since),
 * and how many are suppressed as unreachable. At most half of all endpoints are suppressed: if most can't be reached,
 * the fault is likely on this side, and all of them stay available to the decision module.
 */
final class ReachabilityTracker {
    /** Each suspect is probed every second, so that their number is limited. */
    private static final int MAX_SUSPECTS = 64;

    private final Map<String, String> suspectedAddresses = new LinkedHashMap<>();
    private int unreachableCount;

    /** Records that a connection to the endpoint was established. */
    void onConnectSucceeded(RegisteredEndpoint endpoint) {
        suspectedAddresses.remove(endpoint.id);
        endpoint.damping.onConnectSucceeded();
    }

    /**
     * Records that a connection attempt to the endpoint failed.
     *
     * @param registered the number of endpoints in the registry
     * @return whether the endpoint is to be suppressed from now on
     */
    boolean onConnectFailed(RegisteredEndpoint endpoint, long now, int registered) {
        boolean wouldExceedHalf = 2 * (unreachableCount + 1) > Math.max(2, registered);
        if (!wouldExceedHalf && endpoint.damping.onConnectFailed(now)) {
            return true;
        }
        if (endpoint.published != null && suspectedAddresses.size() < MAX_SUSPECTS) {
            suspectedAddresses.put(endpoint.id, endpoint.published.address());
        }
        return false;
    }

    /** Sets whether the endpoint is suppressed because it can't be connected to. */
    void setUnreachable(RegisteredEndpoint endpoint, boolean isUnreachable) {
        if (isUnreachable != endpoint.unreachable) {
            unreachableCount += isUnreachable ? 1 : -1;
            endpoint.unreachable = isUnreachable;
        }
    }

    /** Stops suspecting an endpoint that can't serve anyway, so that it is not probed. */
    void clearSuspicion(RegisteredEndpoint endpoint) {
        suspectedAddresses.remove(endpoint.id);
    }

    /** Returns a copy of the suspects' addresses by endpoint id. */
    Map<String, String> suspectedAddresses() {
        return Map.copyOf(suspectedAddresses);
    }
}
