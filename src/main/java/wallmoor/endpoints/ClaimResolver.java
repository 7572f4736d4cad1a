package wallmoor.endpoints;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which source's claim on an endpoint is in effect, and which of several endpoints owns an address. An address
 * belongs to one machine, so that only one endpoint can own it, whatever the ids.
 */
final class ClaimResolver {
    private final List<SourceView> viewsByRank;
    private final Map<String, RegisteredEndpoint> endpoints;
    private final Map<String, Set<String>> idsByAddress = new HashMap<>();

    /**
     * Creates a resolver.
     *
     * @param endpoints all endpoints by id; the registry's own map, not a copy
     */
    ClaimResolver(List<SourceView> viewsByRank, Map<String, RegisteredEndpoint> endpoints) {
        this.viewsByRank = viewsByRank;
        this.endpoints = endpoints;
    }

    /**
     * Sets the claim in effect for an endpoint, and indexes the endpoint by the claimed address.
     *
     * @return the ids of the endpoints that share the endpoint's new or previous address
     */
    Set<String> resolve(RegisteredEndpoint endpoint) {
        chooseClaim(endpoint);
        String address = endpoint.claim == null ? null : endpoint.claim.endpoint().address();
        var affectedIds = new LinkedHashSet<>(idsByAddress.getOrDefault(endpoint.address, Set.of()));
        if (endpoint.address != null && !endpoint.address.equals(address)) {
            removeFromAddressIndex(endpoint);
        }
        if (address != null) {
            idsByAddress.computeIfAbsent(address, a -> new LinkedHashSet<>()).add(endpoint.id);
            affectedIds.addAll(idsByAddress.get(address));
        }
        endpoint.address = address;
        affectedIds.removeIf(id -> !endpoints.containsKey(id));
        return affectedIds;
    }

    /**
     * Chooses the claim of the highest-ranked source that claims anything. A claim that the endpoint is gone overrides
     * the claims of lower-ranked sources only if its source is trusted.
     */
    private void chooseClaim(RegisteredEndpoint endpoint) {
        endpoint.claim = null;
        endpoint.claimant = null;
        for (SourceView view : viewsByRank) {
            EndpointClaim claim = view.claim(endpoint.id);
            if (claim != null && (endpoint.claim == null || isOverriddenBy(endpoint, claim))) {
                endpoint.claim = claim;
                endpoint.claimant = view;
            }
        }
    }

    private static boolean isOverriddenBy(RegisteredEndpoint endpoint, EndpointClaim lowerRanked) {
        return endpoint.claim.isGone() && !endpoint.claimant.source().trusted() && !lowerRanked.isGone();
    }

    private void removeFromAddressIndex(RegisteredEndpoint endpoint) {
        Set<String> ids = idsByAddress.get(endpoint.address);
        ids.remove(endpoint.id);
        if (ids.isEmpty()) {
            idsByAddress.remove(endpoint.address);
        }
    }

    /**
     * Returns why another endpoint owns this endpoint's address, or null if none does.
     *
     * <p>A claim of a higher-ranked source owns the address against lower-ranked sources, whatever the ids. That also
     * holds when the higher-ranked source claims that the endpoint at the address is draining or gone, except that a
     * newer claim wins over one that the endpoint is gone: the address has been given to another machine since. Within
     * one source the later claim owns the address; if two claims came together, neither does.
     */
    String addressConflict(RegisteredEndpoint endpoint) {
        for (String id : idsByAddress.get(endpoint.address)) {
            RegisteredEndpoint other = endpoints.get(id);
            if (other != endpoint && other.claim != null && hasPrecedence(other, endpoint)) {
                return "its address " + endpoint.address + " is " + id + "'s, " + other.claim.cause();
            }
        }
        return null;
    }

    private static boolean hasPrecedence(RegisteredEndpoint other, RegisteredEndpoint endpoint) {
        boolean isNotNewer = endpoint.claim.since() <= other.claim.since();
        boolean isOtherGone = other.claim.isGone();
        if (other.claimant.rank() < endpoint.claimant.rank()) {
            return !isOtherGone || isNotNewer;
        }
        return other.claimant == endpoint.claimant && !isOtherGone && isNotNewer;
    }
}
