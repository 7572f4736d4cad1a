package wallmoor.endpoints;

import wallmoor.core.WorkerEndpoint;

/**
 * All that the registry remembers of one endpoint id. Owned by {@link EndpointRegistry} and written by the steps of its
 * review, each of which fills in its own fields. Times are microseconds.
 */
final class RegisteredEndpoint {
    final String id;
    final FlapDamping damping;

    // set by ClaimResolver
    /** The claim that counts, or null where no source says anything. */
    EndpointClaim claim;
    /** The source that makes it, or null. */
    SourceView claimant;
    /** The address claimed, or null. */
    String address;

    // set by EligibilityReview
    /** Whether a source that is not trusted claimed that it serves, when last reviewed. */
    boolean namedServing;
    boolean eligible;
    /** The cell and tier in which it is or would be eligible. */
    int cell;
    int tier;
    /** Why it does not serve though a source claims so, or null; for operators, why it is not published. */
    String ineligibility;
    /** Whether it is suppressed because it can't be connected to. */
    boolean unreachable;

    // set by EndpointPublisher
    /** The endpoint as last published, or null where it is not published or gone. */
    WorkerEndpoint published;
    /** Why it was published so; null where it never was. */
    String cause;
    /** When an endpoint that drains is gone; 0 where it does not drain. */
    long goneAt;
    /** Since when it counts as started, where its source does not tell. */
    long startedAt;

    // set by the registry's expiry
    boolean namedByLowerSource;
    long namedByLowerSourceAt;

    /** Set by {@link ReviewSchedule}: when it is next reviewed for time's sake. */
    long reviewAt;

    RegisteredEndpoint(String id, FlapDamping damping) {
        this.id = id;
        this.damping = damping;
    }

    /** Whether the claim that counts is a trusted source's. */
    boolean isTrusted() {
        return claimant != null && claimant.source().trusted();
    }

    /** Whether the claim that counts gives it this state. */
    boolean isClaimed(WorkerEndpoint.EndpointState state) {
        return claim != null && claim.endpoint().state() == state;
    }

    boolean isPublishedServing() {
        return published != null && published.state() == WorkerEndpoint.EndpointState.SERVING;
    }

    /** The endpoint as the claim that counts describes it, in this state. */
    WorkerEndpoint inState(WorkerEndpoint.EndpointState state) {
        SourceEndpoint claimed = claim.endpoint();
        long upSince = claimed.upSince() != SourceEndpoint.UNKNOWN_START ? claimed.upSince() : startedAt;
        return new WorkerEndpoint(id, claimed.address(), claimed.zone(), claimed.kind(), claimed.cell(), state,
                claimed.size(),
                upSince);
    }

    /** The endpoint as last published, in this state. */
    WorkerEndpoint publishedInState(WorkerEndpoint.EndpointState state) {
        return new WorkerEndpoint(id, published.address(), published.zone(), published.kind(), published.cell(), state,
                published.size(), published.upSince());
    }
}
