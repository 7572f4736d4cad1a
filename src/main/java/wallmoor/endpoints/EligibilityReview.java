package wallmoor.endpoints;

import wallmoor.core.WorkerEndpoint;

/**
 * Decides whether an endpoint may serve, apart from whether its tier does. An endpoint of a trusted source may as soon
 * as the source says so; of the others one that flaps, can't be connected to, or whose address is another's may not.
 */
final class EligibilityReview {
    private final ClaimResolver claims;
    private final TierIndex tiers;
    private final ReachabilityTracker reachability;
    private final ReviewSchedule schedule;

    EligibilityReview(ClaimResolver claims, TierIndex tiers, ReachabilityTracker reachability,
            ReviewSchedule schedule) {
        this.claims = claims;
        this.tiers = tiers;
        this.reachability = reachability;
        this.schedule = schedule;
    }

    /** Decides anew, and enters the endpoint in its tier or takes it out. */
    void review(RegisteredEndpoint endpoint, long now) {
        boolean claimedServing = endpoint.isClaimed(WorkerEndpoint.EndpointState.SERVING);
        boolean judged = !endpoint.isTrusted();
        if (judged && claimedServing != endpoint.namedServing) {
            recordFlap(endpoint, claimedServing, now);
        }
        endpoint.ineligibility = judged && claimedServing ? obstacle(endpoint, now) : null;
        reachability.setUnreachable(endpoint, judged && claimedServing && endpoint.damping.isUnreachable(now));
        boolean eligible = claimedServing && endpoint.ineligibility == null;
        int cell = endpoint.claim == null ? endpoint.cell : endpoint.claim.endpoint().cell();
        int tier = endpoint.claim == null || !judged ? 0 : endpoint.claim.endpoint().tier();
        enterTier(endpoint, eligible, cell, tier);
        if (!eligible) {
            reachability.clearSuspicion(endpoint);
        }
    }

    private static void recordFlap(RegisteredEndpoint endpoint, boolean returned, long now) {
        if (returned) {
            endpoint.damping.onReturned(now);
        } else {
            endpoint.damping.onRemoved(now);
        }
        endpoint.namedServing = returned;
    }

    /** Why the endpoint may not serve though its source claims that it does, or null. */
    private String obstacle(RegisteredEndpoint endpoint, long now) {
        String conflict = claims.addressConflict(endpoint);
        if (conflict != null || !endpoint.damping.isSuppressed(now)) {
            return conflict;
        }
        schedule.schedule(endpoint, now, endpoint.damping.suppressedUntil());
        return "held out: " + endpoint.damping.suppressionReason();
    }

    private void enterTier(RegisteredEndpoint endpoint, boolean eligible, int cell, int tier) {
        boolean moved = cell != endpoint.cell || tier != endpoint.tier;
        if (eligible != endpoint.eligible || (eligible && moved)) {
            if (endpoint.eligible) {
                tiers.remove(endpoint.id, endpoint.cell, endpoint.tier);
            }
            if (eligible) {
                tiers.add(endpoint.id, cell, tier);
            }
        }
        endpoint.eligible = eligible;
        endpoint.cell = cell;
        endpoint.tier = tier;
    }
}
