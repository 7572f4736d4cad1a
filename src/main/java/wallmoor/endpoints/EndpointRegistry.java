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
 * Merges the endpoints that several ranked sources report into one list; docs/membership.md has the rules for sources
 * that disagree. The registry takes watch events with their time and returns changes with their causes. It uses no
 * socket, file, clock or thread, and is not safe for concurrent use. The cost of a change depends on the size of the
 * change, not of the fleet.
 *
 * <p>Each event leads to a review of the endpoints that it affects: {@link ClaimResolver} decides which claim is in
 * effect, {@link EligibilityReview} whether the endpoint may serve, and {@link EndpointPublisher} which state is
 * published.
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

    /** Creates an empty registry. */
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
     * @param at the current time in microseconds, which must not decrease between calls
     * @return the changes, at most one for each endpoint
     * @throws RejectedWatchEventException if the source is unknown, or names too many endpoints or one of them twice;
     *                                     no part of the event is applied then
     */
    public List<EndpointChange> apply(long at, WatchEvent event) {
        now = Math.max(now, at);
        SourceView view = viewsByName.get(event.source());
        if (view == null) {
            throw new RejectedWatchEventException(
                    "unknown source " + event.source() + "; known sources: " + viewsByName.keySet());
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

    /**
     * Rejects an event that names too many endpoints, or, from a source that is not trusted, one of them twice.
     *
     * @param addsToCurrent whether the named endpoints come on top of those that the source names already
     */
    private static void checkBounds(SourceView view, List<SourceEndpoint> named, boolean addsToCurrent) {
        SourcePolicy source = view.source();
        var ids = new HashSet<String>();
        int count = addsToCurrent ? view.size() : 0;
        for (SourceEndpoint endpoint : named) {
            if (ids.add(endpoint.id())) {
                count += addsToCurrent && view.names(endpoint.id()) ? 0 : 1;
            } else if (!source.trusted()) {
                throw new RejectedWatchEventException(source.name() + " names endpoint " + endpoint.id() + " twice");
            }
        }
        if (count > source.maxEndpoints()) {
            throw new RejectedWatchEventException(
                    source.name() + " names " + count + " endpoints; at most " + source.maxEndpoints()
                            + " are allowed");
        }
    }

    /** Applies the changes that are due at this time without an event. */
    public List<EndpointChange> tick(long at) {
        now = Math.max(now, at);
        var changedIds = new LinkedHashSet<String>();
        for (SourceView view : viewsByRank) {
            changedIds.addAll(view.tick(now));
        }
        return review(changedIds);
    }

    /** Returns when {@link #tick} is next due, in microseconds, or {@link Long#MAX_VALUE} for never. */
    public long nextTickAt() {
        long next = schedule.nextAt();
        for (SourceView view : viewsByRank) {
            next = Math.min(next, view.nextTickAt());
        }
        return next;
    }

    /**
     * Records the result of a connection attempt to an endpoint. It is ignored if the endpoint's source is trusted.
     *
     * @param up whether the connection was established
     */
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
        boolean isSuppressed = reachability.onConnectFailed(endpoint, now, endpoints.size());
        return isSuppressed ? review(Set.of(id)) : List.of();
    }

    // ---- queries ------------------------------------------------------------------------------------------

    /**
     * Returns the addresses, by id, of endpoints to which a connection failed and none has been established since. The
     * decision module sends such an endpoint no parts, so that no more connection results come from queries: the caller
     * should probe these addresses and report the results.
     */
    public Map<String, String> suspectedAddresses() {
        return reachability.suspectedAddresses();
    }

    /** Returns all known endpoints, in the order of their ids, with the causes of their states. */
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

    /** Returns the sources' statuses in the order of their ranks. */
    public List<SourceStatus> sourceStatuses() {
        var statuses = new ArrayList<SourceStatus>();
        for (SourceView view : viewsByRank) {
            statuses.add(new SourceStatus(view.source().name(), view.size(), view.pendingRemovals(),
                    view.describe(now)));
        }
        return List.copyOf(statuses);
    }

    /** Returns how many endpoints the registry has state of. */
    int retainedEndpoints() {
        return endpoints.size();
    }

    // ---- review -------------------------------------------------------------------------------------------

    /** Reviews these endpoints, those whose scheduled review is due, and those that depend on them. */
    private List<EndpointChange> review(Collection<String> changedIds) {
        var ids = new LinkedHashSet<>(changedIds);
        schedule.takeDue(now, ids);
        if (ids.isEmpty()) {
            return List.of();
        }
        for (String id : List.copyOf(ids)) { // a claim on an address affects all endpoints that claim it
            ids.addAll(claims.resolve(findOrRegister(id)));
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

    private RegisteredEndpoint findOrRegister(String id) {
        RegisteredEndpoint endpoint = endpoints.get(id);
        if (endpoint == null) {
            endpoint = new RegisteredEndpoint(id, new FlapDamping(policy.damping()));
            endpoints.put(id, endpoint);
        }
        return endpoint;
    }

    /** Removes an endpoint whose state can no longer affect any decision. */
    private void forgetIfUnused(RegisteredEndpoint endpoint) {
        if (endpoint.published != null || !expireTombstones(endpoint)) {
            return;
        }
        if (endpoint.claim != null || endpoint.damping.isSuppressed(now)) {
            return;
        }
        if (endpoint.damping.hasHistory(now)) { // without its history a flapping endpoint would not be recognized
            schedule.schedule(endpoint, now, endpoint.damping.historyExpiresAt());
        } else {
            endpoints.remove(endpoint.id);
        }
    }

    /** Drops the endpoint's expired tombstones. Returns false if one that has not expired is in effect. */
    private boolean expireTombstones(RegisteredEndpoint endpoint) {
        while (endpoint.claim != null && endpoint.claim.isGone()) {
            boolean isNamed = isNamedByLowerSource(endpoint);
            if (isNamed || endpoint.namedByLowerSource) {
                endpoint.namedByLowerSourceAt = now;
            }
            endpoint.namedByLowerSource = isNamed;
            boolean isLowestRank = endpoint.claimant.rank() == viewsByRank.size() - 1;
            long until = Math.max(endpoint.claim.since(), endpoint.namedByLowerSourceAt) + policy.tombstoneMicros();
            if (isNamed || (!isLowestRank && now < until)) {
                schedule.schedule(endpoint, now, until);
                return false;
            }
            endpoint.claimant.forgetTombstone(endpoint.id);
            claims.resolve(endpoint);
        }
        return true;
    }

    private boolean isNamedByLowerSource(RegisteredEndpoint endpoint) {
        for (int rank = endpoint.claimant.rank() + 1; rank < viewsByRank.size(); rank++) {
            if (viewsByRank.get(rank).names(endpoint.id)) {
                return true;
            }
        }
        return false;
    }
}
