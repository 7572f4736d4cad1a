package wallmoor.endpoints;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides whose claim counts for an endpoint, and which of several endpoints holds an address: an address is one
 * machine, under whatever id.
 */
final class ClaimResolver {
    private final List<SourceView> viewsByRank;
    private final Map<String, RegisteredEndpoint> endpoints;
    private final Map<String, Set<String>> idsByAddress = new HashMap<>();

    /**
     * Makes a resolver.
     *
     * @param endpoints all endpoints by id, the registry's own map
     */
    ClaimResolver(List<SourceView> viewsByRank, Map<String, RegisteredEndpoint> endpoints) {
        this.viewsByRank = viewsByRank;
        this.endpoints = endpoints;
    }

    /**
     * Finds the claim that counts for an endpoint, and enters its address.
     *
     * @return the ids of the endpoints that claim the same address, or the one it had before
     */
    Set<String> resolve(RegisteredEndpoint endpoint) {
        chooseClaim(endpoint);
        String address = endpoint.claim == null ? null : endpoint.claim.endpoint().address();
        var rivals = new LinkedHashSet<>(idsByAddress.getOrDefault(endpoint.address, Set.of()));
        if (endpoint.address != null && !endpoint.address.equals(address)) {
            leaveAddress(endpoint);
        }
        if (address != null) {
            idsByAddress.computeIfAbsent(address, a -> new LinkedHashSet<>()).add(endpoint.id);
            rivals.addAll(idsByAddress.get(address));
        }
        endpoint.address = address;
        rivals.removeIf(id -> !endpoints.containsKey(id));
        return rivals;
    }

    /**
     * The first source that claims anything counts; that an endpoint is gone outranks lower sources only where the
     * source is trusted.
     */
    private void chooseClaim(RegisteredEndpoint endpoint) {
        endpoint.claim = null;
        endpoint.claimant = null;
        for (SourceView view : viewsByRank) {
            EndpointClaim claim = view.claim(endpoint.id);
            if (claim != null && (endpoint.claim == null || isOverruled(endpoint, claim))) {
                endpoint.claim = claim;
                endpoint.claimant = view;
            }
        }
    }

    private static boolean isOverruled(RegisteredEndpoint endpoint, EndpointClaim lower) {
        return endpoint.claim.isGone() && !endpoint.claimant.source().trusted() && !lower.isGone();
    }

    private void leaveAddress(RegisteredEndpoint endpoint) {
        Set<String> ids = idsByAddress.get(endpoint.address);
        ids.remove(endpoint.id);
        if (ids.isEmpty()) {
            idsByAddress.remove(endpoint.address);
        }
    }

    /**
     * Why another endpoint's claim to the address goes before this one's, or null. A higher source's claim to an
     * address binds the lower ones under whatever id, also when it says that what was there drains or is gone; a claim
     * that came after that one speaks of something newer. Within a source the later claim holds; of two that came
     * together neither is believed.
     */
    String addressConflict(RegisteredEndpoint endpoint) {
        for (String id : idsByAddress.get(endpoint.address)) {
            RegisteredEndpoint other = endpoints.get(id);
            if (other != endpoint && other.claim != null && goesBefore(other, endpoint)) {
                return "its address " + endpoint.address + " is " + id + "'s, " + other.claim.cause();
            }
        }
        return null;
    }

    private static boolean goesBefore(RegisteredEndpoint other, RegisteredEndpoint endpoint) {
        boolean notNewer = endpoint.claim.since() <= other.claim.since();
        boolean gone = other.claim.isGone();
        if (other.claimant.rank() < endpoint.claimant.rank()) {
            return !gone || notNewer;
        }
        return other.claimant == endpoint.claimant && !gone && notNewer;
    }
}
