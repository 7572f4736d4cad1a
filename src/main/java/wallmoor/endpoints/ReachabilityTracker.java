package wallmoor.endpoints;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which endpoints are suspected of being unreachable, as a connection to them has failed and none come up since, and
 * how many are suppressed for it. It never lets more than half of all be suppressed: where most can't be reached, the
 * fault is nearer than they are, and all stay for the decision module to try.
 */
final class ReachabilityTracker {
    /** Suspects at most: each is probed every second. */
    private static final int MAX_SUSPECTS = 64;

    private final Map<String, String> suspectedAddresses = new LinkedHashMap<>();
    private int unreachable;

    /** A connection to the endpoint came up. */
    void onConnectSucceeded(RegisteredEndpoint endpoint) {
        suspectedAddresses.remove(endpoint.id);
        endpoint.damping.onConnectSucceeded();
    }

    /**
     * A connection to the endpoint did not come up.
     *
     * @param registered how many endpoints there are
     * @return whether it is to be suppressed from now on
     */
    boolean onConnectFailed(RegisteredEndpoint endpoint, long now, int registered) {
        boolean mostUnreachable = 2 * (unreachable + 1) > Math.max(2, registered);
        if (!mostUnreachable && endpoint.damping.onConnectFailed(now)) {
            return true;
        }
        if (endpoint.published != null && suspectedAddresses.size() < MAX_SUSPECTS) {
            suspectedAddresses.put(endpoint.id, endpoint.published.address());
        }
        return false;
    }

    /** Enters whether the endpoint is suppressed because it can't be connected to. */
    void setUnreachable(RegisteredEndpoint endpoint, boolean now) {
        if (now != endpoint.unreachable) {
            unreachable += now ? 1 : -1;
            endpoint.unreachable = now;
        }
    }

    /** The endpoint can't serve anyway: nobody need find out. */
    void clearSuspicion(RegisteredEndpoint endpoint) {
        suspectedAddresses.remove(endpoint.id);
    }

    /** The suspects with their addresses; a copy. */
    Map<String, String> suspectedAddresses() {
        return Map.copyOf(suspectedAddresses);
    }
}
