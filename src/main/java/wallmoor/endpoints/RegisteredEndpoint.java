package wallmoor.endpoints;

import wallmoor.core.WorkerEndpoint;

/**
 * The registry's state of one endpoint id. Owned by {@link EndpointRegistry} and written by the steps of its review,
 * each of which sets its own fields. Times are in microseconds.
 */
final class RegisteredEndpoint {
    final String id;
    final FlapDamping damping;

    // set by ClaimResolver
    /** The claim in effect, or null if no source claims anything. */
    EndpointClaim claim;
    /** The source of the claim in effect, or null. */
    SourceView claimant;
    /** The claimed address, or null. */
    String address;

    // set by EligibilityReview
    /** Whether, at the last review, a source that is not trusted claimed that the endpoint serves. */
    boolean wasClaimedServing;
    boolean eligible;
    /** The cell in which the endpoint is eligible, or would be. */
    int cell;
    /** The tier in which the endpoint is eligible, or would be. */
    int tier;
    /**
     * Why the endpoint does not serve although a source claims that it does, or null; {@link EndpointPublisher}
     * replaces it by the cause of removal, which operators see of an endpoint that is not published.
     */
    String ineligibility;
    /** Whether the endpoint is suppressed because it can't be connected to. */
    boolean unreachable;

    // set by EndpointPublisher
    /** The endpoint as last published, or null if it was never published or is gone. */
    WorkerEndpoint published;
    /** The cause of the last published state, or null if the endpoint was never published. */
    String cause;
    /** When a draining endpoint is gone; 0 if it does not drain. */
    long goneAt;
    /** The start time that is assumed where the source does not report one. */
    long startedAt;

    // set by the registry's expiry of tombstones
    boolean namedByLowerSource;
    long namedByLowerSourceAt;

    /** When {@link ReviewSchedule} next has the endpoint reviewed. */
    long reviewAt;

    RegisteredEndpoint(String id, FlapDamping damping) {
        this.id = id;
        this.damping = damping;
    }

    /** Returns whether the claim in effect is a trusted source's. */
    boolean isTrusted() {
        return claimant != null && claimant.source().trusted();
    }

    /** Returns whether the claim in effect gives the endpoint this state. */
    boolean isClaimed(WorkerEndpoint.EndpointState state) {
        return claim != null && claim.endpoint().state() == state;
    }

    boolean isPublishedServing() {
        return published != null && published.state() == WorkerEndpoint.EndpointState.SERVING;
    }

    /** Returns the endpoint as the claim in effect describes it, in the given state. */
    WorkerEndpoint inState(WorkerEndpoint.EndpointState state) {
        SourceEndpoint claimed = claim.endpoint();
        long upSince = claimed.upSince() != SourceEndpoint.UNKNOWN_START ? claimed.upSince() : startedAt;
        return new WorkerEndpoint(id, claimed.address(), claimed.zone(), claimed.kind(), claimed.cell(), state,
                claimed.size(),
                upSince);
    }

    /** Returns the endpoint as last published, in the given state. */
    WorkerEndpoint publishedInState(WorkerEndpoint.EndpointState state) {
        return new WorkerEndpoint(id, published.address(), published.zone(), published.kind(), published.cell(), state,
                published.size(), published.upSince());
    }
}
