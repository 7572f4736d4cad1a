package wallmoor.endpoints;

import java.util.List;
import wallmoor.core.WorkerEndpoint;

/**
 * Decides what is published of an endpoint once its eligibility is known: it serves, drains, or is gone. One that loses
 * its claim is removed gracefully: it drains for longer than any deadline before it is gone.
 */
final class EndpointPublisher {
    private final RegistryPolicy policy;
    private final List<SourceView> viewsByRank;
    private final TierIndex tiers;
    private final ReviewSchedule schedule;

    EndpointPublisher(RegistryPolicy policy, List<SourceView> viewsByRank, TierIndex tiers, ReviewSchedule schedule) {
        this.policy = policy;
        this.viewsByRank = viewsByRank;
        this.tiers = tiers;
        this.schedule = schedule;
    }

    /** Publishes the endpoint's state; adds the change to {@code changes} where there is one. */
    void publish(RegisteredEndpoint endpoint, long now, List<EndpointChange> changes) {
        boolean trusted = endpoint.isTrusted();
        if (endpoint.eligible && (trusted || endpoint.tier == tiers.servingTier(endpoint.cell))) {
            become(endpoint, serving(endpoint, now), endpoint.claim.cause(), changes);
            return;
        }
        if (trusted && endpoint.isClaimed(WorkerEndpoint.EndpointState.GONE)) {
            if (endpoint.published != null) {
                become(endpoint, endpoint.inState(WorkerEndpoint.EndpointState.GONE), endpoint.claim.cause(), changes);
            }
            return;
        }
        if (endpoint.isClaimed(WorkerEndpoint.EndpointState.DRAINING) && (trusted || endpoint.published != null)) {
            become(endpoint, endpoint.inState(WorkerEndpoint.EndpointState.DRAINING), endpoint.claim.cause(), changes);
            return;
        }
        endpoint.ineligibility = removalCause(endpoint);
        if (endpoint.published != null) {
            drainThenRemove(endpoint, now, changes);
        }
    }

    /** Why an endpoint does not serve that no source drains or removes. */
    private String removalCause(RegisteredEndpoint endpoint) {
        if (endpoint.ineligibility != null) {
            return endpoint.ineligibility;
        }
        if (endpoint.eligible) {
            return "stands by in tier " + endpoint.tier + ": tier " + tiers.servingTier(endpoint.cell) + " serves cell "
                    + endpoint.cell;
        }
        return endpoint.claim != null ? endpoint.claim.cause() : expiryCause();
    }

    private String expiryCause() {
        for (SourceView view : viewsByRank) {
            String cause = view.expiryCause();
            if (cause != null) {
                return cause;
            }
        }
        return "no longer named by any source";
    }

    private void drainThenRemove(RegisteredEndpoint endpoint, long now, List<EndpointChange> changes) {
        if (endpoint.isPublishedServing() || endpoint.goneAt == 0) {
            endpoint.goneAt = now + policy.drainMicros();
        }
        schedule.schedule(endpoint, now, endpoint.goneAt);
        WorkerEndpoint.EndpointState state = now >= endpoint.goneAt ? WorkerEndpoint.EndpointState.GONE
                : WorkerEndpoint.EndpointState.DRAINING;
        become(endpoint, endpoint.publishedInState(state), endpoint.ineligibility, changes);
    }

    /**
     * The endpoint as it serves. Where its source does not tell when it started, one that appears or comes back, or
     * that listens at a new address, counts as started now; one that was there when the source was first heard does
     * not.
     */
    private static WorkerEndpoint serving(RegisteredEndpoint endpoint, long now) {
        SourceEndpoint claimed = endpoint.claim.endpoint();
        boolean stays = endpoint.isPublishedServing()
                && (endpoint.published.address().equals(claimed.address()) || endpoint.isTrusted());
        if (claimed.upSince() != SourceEndpoint.UNKNOWN_START) {
            endpoint.startedAt = claimed.upSince();
        } else if (!stays) {
            boolean wasThere = endpoint.claim.fromFirstReport() && endpoint.published == null && endpoint.cause == null;
            endpoint.startedAt = wasThere ? 0 : now;
        }
        return endpoint.inState(WorkerEndpoint.EndpointState.SERVING);
    }

    private static void become(RegisteredEndpoint endpoint, WorkerEndpoint next, String cause,
            List<EndpointChange> changes) {
        if (next.equals(endpoint.published)) {
            return;
        }
        endpoint.published = next;
        endpoint.cause = cause;
        if (next.state() == WorkerEndpoint.EndpointState.SERVING) {
            endpoint.goneAt = 0;
        }
        changes.add(new EndpointChange(next, cause));
        if (next.state() == WorkerEndpoint.EndpointState.GONE) {
            endpoint.published = null;
            endpoint.goneAt = 0;
        }
    }
}
