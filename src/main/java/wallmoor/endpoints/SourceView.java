package wallmoor.endpoints;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The claims of one source that the registry accepts. The view decides how fast endpoints are removed when the source
 * no longer names them; {@link EndpointRegistry} weighs its claims against those of other sources. The cost of an event
 * depends on the size of the event, not of the fleet, except that a snapshot is compared with all current claims. Times
 * are in microseconds.
 */
final class SourceView {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final SourcePolicy source;
    private final int confirmations;
    private final int rank;
    private final RemovalRateLimit removals;
    private final Map<String, EndpointClaim> claims = new LinkedHashMap<>();
    /** Claims that an endpoint is gone, which override lower-ranked sources until the registry forgets them. */
    private final Map<String, EndpointClaim> tombstones = new LinkedHashMap<>();
    /** Ids that the last snapshots lack, and whose claims stay until their removal is confirmed. */
    private final Set<String> pendingRemoval = new LinkedHashSet<>();
    private boolean hasReported;
    private boolean isLastSnapshotEmpty;
    private long lastReportAt;
    private String failure;
    private boolean isExpired;

    /**
     * Creates the view of a source that has not reported yet.
     *
     * @param rank the source's index in the policy, from 0 for the highest rank
     */
    SourceView(SourcePolicy source, RegistryPolicy policy, int rank) {
        this.source = source;
        this.rank = rank;
        confirmations = policy.confirmations();
        removals = new RemovalRateLimit(source.removalShare(), policy.removalWindowMicros());
    }

    SourcePolicy source() {
        return source;
    }

    int rank() {
        return rank;
    }

    /** Returns the source's claim on an endpoint, which may be a tombstone, or null for none. */
    EndpointClaim claim(String id) {
        EndpointClaim claim = claims.get(id);
        return claim != null ? claim : tombstones.get(id);
    }

    /** Returns whether the source claims that the endpoint exists. */
    boolean names(String id) {
        return claims.containsKey(id);
    }

    void forgetTombstone(String id) {
        tombstones.remove(id);
    }

    /** Returns how many endpoints the source names. */
    int size() {
        return claims.size();
    }

    /** Returns the time of the source's last report, and its failure if it has failed since, as text for operators. */
    String describe(long now) {
        String age = (now - lastReportAt) / MICROS_PER_SECOND + " s ago";
        if (!hasReported) {
            return failure == null ? "no report yet" : "no report yet: " + failure;
        }
        return failure != null ? "failing (" + failure + "), last report " + age : "last report " + age;
    }

    /** Returns how many endpoints the last snapshots lack whose removal is not confirmed yet. */
    int pendingRemovals() {
        return pendingRemoval.size();
    }

    // ---- events -------------------------------------------------------------------------------------------

    /** Applies a snapshot. Returns the ids of the endpoints on which the source's claim has changed. */
    Set<String> apply(long now, WatchEvent.EndpointSnapshot snapshot) {
        boolean isFirstReport = !hasReported;
        var changedIds = new LinkedHashSet<String>();
        recordReport(now);
        for (SourceEndpoint endpoint : snapshot.endpoints()) {
            updateClaim(now, endpoint, cause(endpoint, snapshot.version()), isFirstReport, changedIds);
        }
        isLastSnapshotEmpty = snapshot.endpoints().isEmpty();
        boolean isAuthoritative = source.trusted() || snapshot.authoritative();
        for (String id : missingFrom(snapshot)) {
            if (isAuthoritative) {
                remove(now, id, "missing from " + source.name() + " at " + snapshot.version(), changedIds);
            } else {
                claims.get(id).countMissedSnapshot();
                pendingRemoval.add(id);
            }
        }
        removePending(now, true, changedIds);
        return changedIds;
    }

    /** Returns the ids that the source names and the snapshot lacks. */
    private List<String> missingFrom(WatchEvent.EndpointSnapshot snapshot) {
        var snapshotIds = new HashSet<String>();
        for (SourceEndpoint endpoint : snapshot.endpoints()) {
            snapshotIds.add(endpoint.id());
        }
        var missingIds = new ArrayList<String>();
        for (String id : claims.keySet()) {
            if (!snapshotIds.contains(id)) {
                missingIds.add(id);
            }
        }
        return missingIds;
    }

    /** Applies a delta. Returns the ids of the endpoints on which the source's claim has changed. */
    Set<String> apply(long now, WatchEvent.EndpointDelta delta) {
        boolean isFirstReport = !hasReported;
        var changedIds = new LinkedHashSet<String>();
        recordReport(now);
        for (SourceEndpoint endpoint : delta.endpoints()) {
            updateClaim(now, endpoint, cause(endpoint, delta.version()), isFirstReport, changedIds);
        }
        return changedIds;
    }

    /** Records that the source's last report is still valid; ignored before its first report. */
    void applyUnchanged(long now) {
        if (hasReported) {
            recordReport(now);
        }
    }

    /** Records that the source failed; its last report stays valid until its maximum staleness. */
    void applyFailure(String reason) {
        failure = reason;
    }

    private void recordReport(long now) {
        hasReported = true;
        lastReportAt = now;
        failure = null;
        isExpired = false;
    }

    private String cause(SourceEndpoint endpoint, String version) {
        String action = switch (endpoint.state()) {
            case SERVING -> "named by ";
            case DRAINING -> "drained by ";
            case GONE -> "removed by ";
        };
        return action + source.name() + " at " + version;
    }

    private void updateClaim(long now, SourceEndpoint endpoint, String cause, boolean isFirstReport,
            Set<String> changedIds) {
        String id = endpoint.id();
        if (endpoint.isGone()) {
            replaceByTombstone(now, endpoint, cause, changedIds);
            return;
        }
        EndpointClaim previous = claims.get(id);
        pendingRemoval.remove(id);
        if (previous != null && previous.endpoint().equals(endpoint)) {
            previous.resetMissedSnapshots();
            return;
        }
        tombstones.remove(id);
        boolean isSameAddress = previous != null && previous.endpoint().address().equals(endpoint.address());
        long since = isSameAddress ? previous.since() : now;
        boolean fromFirstReport = previous == null ? isFirstReport : previous.fromFirstReport() && isSameAddress;
        claims.put(id, new EndpointClaim(endpoint, cause, since, fromFirstReport));
        changedIds.add(id);
    }

    /** Replaces the claim on an endpoint by a tombstone with the endpoint's last claimed properties. */
    private void replaceByTombstone(long now, SourceEndpoint endpoint, String cause, Set<String> changedIds) {
        String id = endpoint.id();
        EndpointClaim previous = claims.remove(id);
        pendingRemoval.remove(id);
        if (previous == null && tombstones.containsKey(id)) {
            return;
        }
        SourceEndpoint lastClaimed = previous == null ? endpoint : previous.endpoint();
        tombstones.put(id, new EndpointClaim(lastClaimed.asGone(), cause, now, false));
        // bounds memory, as endpoints come and go all day; the oldest tombstone is the least likely to be needed
        if (tombstones.size() > source.maxEndpoints()) {
            String oldestId = tombstones.keySet().iterator().next();
            tombstones.remove(oldestId);
            changedIds.add(oldestId);
        }
        changedIds.add(id);
    }

    private void remove(long now, String id, String cause, Set<String> changedIds) {
        replaceByTombstone(now, claims.get(id).endpoint(), cause, changedIds);
    }

    // ---- delayed removal ----------------------------------------------------------------------------------

    /** Applies the removals that are due at this time. Returns the ids of the endpoints that lost their claim. */
    Set<String> tick(long now) {
        var changedIds = new LinkedHashSet<String>();
        if (source.maxStalenessMicros() > 0 && hasReported && now - lastReportAt >= source.maxStalenessMicros()) {
            isExpired = true;
        }
        removePending(now, false, changedIds);
        return changedIds;
    }

    /** Returns when {@link #tick} is next due, or {@link Long#MAX_VALUE} for never. */
    long nextTickAt() {
        if (isExpired && !claims.isEmpty()) {
            return removals.nextWindowAt();
        }
        long next = hasConfirmedRemoval() ? removals.nextWindowAt() : Long.MAX_VALUE;
        boolean canExpire = source.maxStalenessMicros() > 0 && hasReported && !isExpired;
        return canExpire ? Math.min(next, lastReportAt + source.maxStalenessMicros()) : next;
    }

    private boolean hasConfirmedRemoval() {
        for (String id : pendingRemoval) {
            if (isConfirmed(id)) {
                return true;
            }
        }
        return false;
    }

    private boolean isConfirmed(String id) {
        return claims.get(id).missedSnapshots() >= confirmations;
    }

    /**
     * Removes as many endpoints as the rate limit allows. Directly after a snapshot that is not empty, this includes
     * endpoints whose removal is not confirmed, as a few endpoints leave every day. An empty snapshot is more often a
     * fault than the truth, so that its removals must all be confirmed.
     */
    private void removePending(long now, boolean isAfterSnapshot, Set<String> changedIds) {
        if (pendingRemoval.isEmpty() && !isExpired) {
            return;
        }
        removals.refill(now, claims.size());
        for (Iterator<String> i = List.copyOf(pendingRemoval).iterator(); i.hasNext() && removals.hasRemaining();) {
            String id = i.next();
            if (isConfirmed(id) || (isAfterSnapshot && !isLastSnapshotEmpty)) {
                removals.use();
                int missedSnapshots = claims.get(id).missedSnapshots();
                remove(now, id, "missing from " + missedSnapshots + " snapshots in a row of " + source.name(),
                        changedIds);
            }
        }
        if (isExpired) {
            dropExpired(changedIds);
        }
    }

    /** Drops the oldest claims of an expired source, without tombstones, as the source did not report them as gone. */
    private void dropExpired(Set<String> changedIds) {
        for (Iterator<EndpointClaim> i = claims.values().iterator(); i.hasNext() && removals.hasRemaining();) {
            String id = i.next().endpoint().id();
            removals.use();
            i.remove();
            pendingRemoval.remove(id);
            changedIds.add(id);
        }
    }

    /** Returns why endpoints lose the claims of this source if it has expired, or null if it has not. */
    String expiryCause() {
        return isExpired
                ? "no report from " + source.name() + " for more than "
                        + source.maxStalenessMicros() / MICROS_PER_SECOND + " s"
                : null;
    }
}
