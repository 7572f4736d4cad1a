package wallmoor.endpoints;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.core.WorkerEndpoint;

/**
 * The one list of endpoints that several ranked sources add up to, with a stated rule for their disagreement
 * (docs/membership.md). It decides only: it takes watch events with their time and returns changes with their causes;
 * it knows no socket, file, clock or thread, and one caller at a time uses it. A change costs by its size, not by the
 * fleet's.
 *
 * <p>Each event leads to a review of the endpoints that it bears on: {@link ClaimResolver} finds whose claim counts,
 * {@link EligibilityReview} whether the endpoint may serve, {@link EndpointPublisher} what is published of it.
 */
public final class EndpointRegistry {
    private final RegistryPolicy policy;
    private final Map<String, SourceView> viewsByName = new LinkedHashMap<>();
    private final List<SourceView> viewsByRank = new ArrayList<>();
    private final Map<String, RegisteredEndpoint> endpoints = new HashMap<>();
    private final ClaimResolver claims = new ClaimResolver(viewsByRank, endpoints);
    private final TierIndex tiers = new TierIndex();
    private final ReachabilityTracker reachability = new ReachabilityTracker();
    private final ReviewSchedule schedule = new ReviewSchedule();
    private final EligibilityReview eligibility = new EligibilityReview(claims, tiers, reachability, schedule);
    private final EndpointPublisher publisher;
    private long now;

    /** Makes an empty registry. */
    public EndpointRegistry(RegistryPolicy policy) {
        this.policy = policy;
        for (SourcePolicy source : policy.sources()) {
            var view = new SourceView(source, policy, viewsByRank.size());
            viewsByName.put(source.name(), view);
            viewsByRank.add(view);
        }
        publisher = new EndpointPublisher(policy, viewsByRank, tiers, schedule);
    }

    // ---- events -------------------------------------------------------------------------------------------

    /**
     * Applies a watch event.
     *
     * @param at microseconds that never go back
     * @return the changes; each names its endpoint once
     * @throws RejectedWatchEventException if the source is unknown, names more endpoints than it may or one of them
     *                                     twice: then nothing of the event is applied
     */
    public List<EndpointChange> apply(long at, WatchEvent event) {
        now = Math.max(now, at);
        SourceView view = viewsByName.get(event.source());
        if (view == null) {
            throw new RejectedWatchEventException("no source " + event.source());
        }
        return review(applyTo(view, event));
    }

    private Set<String> applyTo(SourceView view, WatchEvent event) {
        if (event instanceof WatchEvent.EndpointSnapshot snapshot) {
            checkBounds(view, snapshot.endpoints(), false);
            return view.apply(now, snapshot);
        }
        if (event instanceof WatchEvent.EndpointDelta delta) {
            checkBounds(view, delta.endpoints(), view.size() > 0);
            return view.apply(now, delta);
        }
        if (event instanceof WatchEvent.EndpointsUnchanged) {
            view.applyUnchanged(now);
        } else if (event instanceof WatchEvent.SourceFailure failure) {
            view.applyFailure(failure.reason());
        }
        return Set.of();
    }

    /** Checks an event's endpoints; {@code added} are those that come on top of what the source names already. */
    private static void checkBounds(SourceView view, List<SourceEndpoint> named, boolean added) {
        SourcePolicy source = view.source();
        var ids = new HashSet<String>();
        int count = added ? view.size() : 0;
        for (SourceEndpoint endpoint : named) {
            if (ids.add(endpoint.id())) {
                count += added && view.names(endpoint.id()) ? 0 : 1;
            } else if (!source.trusted()) {
                throw new RejectedWatchEventException(source.name() + " names " + endpoint.id() + " twice");
            }
        }
        if (count > source.maxEndpoints()) {
            throw new RejectedWatchEventException(
                    source.name() + " names more than " + source.maxEndpoints() + " nodes");
        }
    }

    /** Applies what time alone has brought about. */
    public List<EndpointChange> tick(long at) {
        now = Math.max(now, at);
        var touched = new LinkedHashSet<String>();
        for (SourceView view : viewsByRank) {
            touched.addAll(view.tick(now));
        }
        return review(touched);
    }

    /** When {@link #tick} has something to do, in microseconds, or {@link Long#MAX_VALUE}. */
    public long nextTickAt() {
        long next = schedule.nextAt();
        for (SourceView view : viewsByRank) {
            next = Math.min(next, view.nextTickAt());
        }
        return next;
    }

    /** A connection to the endpoint came up, or did not: evidence beside the sources, for those not trusted. */
    public List<EndpointChange> reportConnection(long at, String id, boolean up) {
        now = Math.max(now, at);
        RegisteredEndpoint endpoint = endpoints.get(id);
        if (endpoint == null || endpoint.claimant == null || endpoint.isTrusted()) {
            return List.of();
        }
        if (up) {
            reachability.onConnectSucceeded(endpoint);
            return List.of();
        }
        boolean suppressed = reachability.onConnectFailed(endpoint, now, endpoints.size());
        return suppressed ? review(Set.of(id)) : List.of();
    }

    // ---- answers ------------------------------------------------------------------------------------------

    /**
     * Endpoints to which a connection has failed, and none come up since, with their addresses by id. The decision
     * module leaves such an endpoint alone, so that no further evidence comes of itself: who has sockets should probe
     * them, and report.
     */
    public Map<String, String> suspectedAddresses() {
        return reachability.suspectedAddresses();
    }

    /** All endpoints that are known, in the order of their ids, with the cause of their state. */
    public List<EndpointStatus> endpointStatuses() {
        var statuses = new ArrayList<EndpointStatus>();
        for (RegisteredEndpoint endpoint : endpoints.values()) {
            if (endpoint.published != null) {
                statuses.add(new EndpointStatus(endpoint.published, endpoint.cause));
            } else if (endpoint.claim != null) {
                statuses.add(new EndpointStatus(endpoint.inState(WorkerEndpoint.EndpointState.GONE),
                        endpoint.ineligibility));
            }
        }
        statuses.sort((a, b) -> a.endpoint().id().compareTo(b.endpoint().id()));
        return List.copyOf(statuses);
    }

    /** The sources in the order of their rank. */
    public List<SourceStatus> sourceStatuses() {
        var statuses = new ArrayList<SourceStatus>();
        for (SourceView view : viewsByRank) {
            statuses.add(new SourceStatus(view.source().name(), view.size(), view.pendingRemovals(),
                    view.describe(now)));
        }
        return List.copyOf(statuses);
    }

    /** How many endpoints anything is remembered of. */
    int retainedEndpoints() {
        return endpoints.size();
    }

    // ---- review -------------------------------------------------------------------------------------------

    /** Reviews these endpoints, those whose time has come, and those that depend on them. */
    private List<EndpointChange> review(Collection<String> touched) {
        var ids = new LinkedHashSet<>(touched);
        schedule.takeDue(now, ids);
        if (ids.isEmpty()) {
            return List.of();
        }
        for (String id : List.copyOf(ids)) { // who claims an address bears on all that claim it
            ids.addAll(claims.resolve(registered(id)));
        }
        for (String id : ids) {
            eligibility.review(endpoints.get(id), now);
        }
        tiers.takeSwitchedCells(ids);
        var changes = new ArrayList<EndpointChange>();
        for (String id : ids) {
            publisher.publish(endpoints.get(id), now, changes);
        }
        for (String id : ids) {
            forgetIfUnused(endpoints.get(id));
        }
        return changes;
    }

    private RegisteredEndpoint registered(String id) {
        RegisteredEndpoint endpoint = endpoints.get(id);
        if (endpoint == null) {
            endpoint = new RegisteredEndpoint(id, new FlapDamping(policy.damping()));
            endpoints.put(id, endpoint);
        }
        return endpoint;
    }

    /** Forgets an endpoint that no longer bears on anything. */
    private void forgetIfUnused(RegisteredEndpoint endpoint) {
        if (endpoint.published != null || !expireTombstones(endpoint)) {
            return;
        }
        if (endpoint.claim != null || endpoint.damping.isSuppressed(now)) {
            return;
        }
        if (endpoint.damping.hasHistory(now)) { // else one that flaps would be new each time
            schedule.schedule(endpoint, now, endpoint.damping.historyExpiresAt());
        } else {
            endpoints.remove(endpoint.id);
        }
    }

    /** Drops tombstones that have served their time; false where one is still to be kept. */
    private boolean expireTombstones(RegisteredEndpoint endpoint) {
        while (endpoint.claim != null && endpoint.claim.isGone()) {
            boolean named = isNamedBelow(endpoint);
            if (named || endpoint.namedByLowerSource) {
                endpoint.namedByLowerSourceAt = now;
            }
            endpoint.namedByLowerSource = named;
            boolean lowest = endpoint.claimant.rank() == viewsByRank.size() - 1;
            long until = Math.max(endpoint.claim.since(), endpoint.namedByLowerSourceAt) + policy.tombstoneMicros();
            if (named || (!lowest && now < until)) {
                schedule.schedule(endpoint, now, until);
                return false;
            }
            endpoint.claimant.forgetTombstone(endpoint.id);
            claims.resolve(endpoint);
        }
        return true;
    }

    private boolean isNamedBelow(RegisteredEndpoint endpoint) {
        for (int rank = endpoint.claimant.rank() + 1; rank < viewsByRank.size(); rank++) {
            if (viewsByRank.get(rank).names(endpoint.id)) {
                return true;
            }
        }
        return false;
    }
}
