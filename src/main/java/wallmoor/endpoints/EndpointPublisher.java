package wallmoor.endpoints;

import java.util.List;
import wallmoor.core.WorkerEndpoint;

/**
 * Decides the published state of an endpoint whose eligibility is known: serving, draining, or gone. An endpoint that
 * loses its claim is removed gracefully: it drains for longer than any query's deadline before it is gone.
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

    /** Publishes the endpoint's state, and adds the change, if there is one, to {@code changes}. */
    void publish(RegisteredEndpoint endpoint, long now, List<EndpointChange> changes) {
        boolean isTrusted = endpoint.isTrusted();
        if (endpoint.eligible && (isTrusted || endpoint.tier == tiers.servingTier(endpoint.cell))) {
            setPublished(endpoint, serving(endpoint, now), endpoint.claim.cause(), changes);
            return;
        }
        if (isTrusted && endpoint.isClaimed(WorkerEndpoint.EndpointState.GONE)) {
            if (endpoint.published != null) {
                setPublished(endpoint, endpoint.inState(WorkerEndpoint.EndpointState.GONE), endpoint.claim.cause(),
                        changes);
            }
            return;
        }
        if (endpoint.isClaimed(WorkerEndpoint.EndpointState.DRAINING) && (isTrusted || endpoint.published != null)) {
            setPublished(endpoint, endpoint.inState(WorkerEndpoint.EndpointState.DRAINING), endpoint.claim.cause(),
                    changes);
            return;
        }
        endpoint.ineligibility = removalCause(endpoint);
        if (endpoint.published != null) {
            drainThenRemove(endpoint, now, changes);
        }
    }

    /** Returns why an endpoint is to be removed, or remains unpublished. */
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
        setPublished(endpoint, endpoint.publishedInState(state), endpoint.ineligibility, changes);
    }

    /**
     * Returns the endpoint in the state SERVING, and updates the endpoint's start time. Where the source does not
     * report the start time, an endpoint that appears, comes back or gets a new address counts as started now; an
     * endpoint of the source's first report counts as started long ago.
     */
    private static WorkerEndpoint serving(RegisteredEndpoint endpoint, long now) {
        SourceEndpoint claimed = endpoint.claim.endpoint();
        boolean isUninterrupted = endpoint.isPublishedServing()
                && (endpoint.published.address().equals(claimed.address()) || endpoint.isTrusted());
        if (claimed.upSince() != SourceEndpoint.UNKNOWN_START) {
            endpoint.startedAt = claimed.upSince();
        } else if (!isUninterrupted) {
            boolean isFirstPublication = endpoint.claim.fromFirstReport() && endpoint.published == null
                    && endpoint.cause == null;
            endpoint.startedAt = isFirstPublication ? 0 : now;
        }
        return endpoint.inState(WorkerEndpoint.EndpointState.SERVING);
    }

    private static void setPublished(RegisteredEndpoint endpoint, WorkerEndpoint next, String cause,
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
