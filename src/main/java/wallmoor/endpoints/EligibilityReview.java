package wallmoor.endpoints;

import wallmoor.core.WorkerEndpoint;

/**
 * Decides whether an endpoint is eligible to serve, regardless of its tier. An endpoint of a trusted source is eligible
 * as soon as the source claims that it serves. An endpoint of any other source is not eligible while it flaps, can't be
 * connected to, or claims an address that another endpoint owns.
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

    /** Updates the endpoint's eligibility, and adds the endpoint to its tier or removes it from there. */
    void review(RegisteredEndpoint endpoint, long now) {
        boolean isClaimedServing = endpoint.isClaimed(WorkerEndpoint.EndpointState.SERVING);
        boolean isUntrusted = !endpoint.isTrusted();
        if (isUntrusted && isClaimedServing != endpoint.wasClaimedServing) {
            recordFlap(endpoint, isClaimedServing, now);
        }
        endpoint.ineligibility = isUntrusted && isClaimedServing ? ineligibilityCause(endpoint, now) : null;
        reachability.setUnreachable(endpoint,
                isUntrusted && isClaimedServing && endpoint.damping.isUnreachable(now));
        boolean isEligible = isClaimedServing && endpoint.ineligibility == null;
        int cell = endpoint.claim == null ? endpoint.cell : endpoint.claim.endpoint().cell();
        int tier = endpoint.claim == null || !isUntrusted ? 0 : endpoint.claim.endpoint().tier();
        updateTier(endpoint, isEligible, cell, tier);
        if (!isEligible) {
            reachability.clearSuspicion(endpoint);
        }
    }

    private static void recordFlap(RegisteredEndpoint endpoint, boolean hasReturned, long now) {
        if (hasReturned) {
            endpoint.damping.onReturned(now);
        } else {
            endpoint.damping.onRemoved(now);
        }
        endpoint.wasClaimedServing = hasReturned;
    }

    /**
     * Returns why the endpoint may not serve although its source claims that it does, or null if it may. Schedules the
     * next review where the endpoint is suppressed.
     */
    private String ineligibilityCause(RegisteredEndpoint endpoint, long now) {
        String conflict = claims.addressConflict(endpoint);
        if (conflict != null || !endpoint.damping.isSuppressed(now)) {
            return conflict;
        }
        schedule.schedule(endpoint, now, endpoint.damping.suppressedUntil());
        return "suppressed: " + endpoint.damping.suppressionReason();
    }

    private void updateTier(RegisteredEndpoint endpoint, boolean isEligible, int cell, int tier) {
        boolean hasMoved = cell != endpoint.cell || tier != endpoint.tier;
        if (isEligible != endpoint.eligible || (isEligible && hasMoved)) {
            if (endpoint.eligible) {
                tiers.remove(endpoint.id, endpoint.cell, endpoint.tier);
            }
            if (isEligible) {
                tiers.add(endpoint.id, cell, tier);
            }
        }
        endpoint.eligible = isEligible;
        endpoint.cell = cell;
        endpoint.tier = tier;
    }
}
