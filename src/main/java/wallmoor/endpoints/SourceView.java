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
 * What one source claims, as far as it is believed. It decides how fast endpoints may be removed on the source's claim
 * alone; what the claim means beside other sources is the {@link EndpointRegistry}'s to decide. Work is by the size of
 * an event, not of the fleet, except that a snapshot is compared with what is held. Times are microseconds.
 */
final class SourceView {
    private static final long SECOND_MICROS = 1_000_000;

    private final SourcePolicy source;
    private final int confirmations;
    private final int rank;
    private final RemovalRateLimit removals;
    private final Map<String, EndpointClaim> claims = new LinkedHashMap<>();
    /** Claims that an endpoint is gone, which outrank lower sources. Forgotten once no source names the endpoint. */
    private final Map<String, EndpointClaim> tombstones = new LinkedHashMap<>();
    /** Ids that good snapshots lack, and whose claims are kept for now. */
    private final Set<String> pendingRemoval = new LinkedHashSet<>();
    private boolean heard;
    private boolean lastSnapshotEmpty;
    private long lastHeardAt;
    private String failure;
    private boolean expired;

    /**
     * Makes the view of a source that was not heard yet.
     *
     * @param rank the source's place in the policy, from 0
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

    /** What the source claims of an endpoint, or null for nothing. */
    EndpointClaim claim(String id) {
        EndpointClaim claim = claims.get(id);
        return claim != null ? claim : tombstones.get(id);
    }

    boolean names(String id) {
        return claims.containsKey(id);
    }

    void forgetTombstone(String id) {
        tombstones.remove(id);
    }

    /** How many endpoints it names. */
    int size() {
        return claims.size();
    }

    /** For the operators: since when it can't be heard and why, or that it can. */
    String describe(long now) {
        String age = (now - lastHeardAt) / SECOND_MICROS + " s ago";
        if (!heard) {
            return failure == null ? "not heard yet" : "never heard: " + failure;
        }
        return failure != null ? "can't be heard (" + failure + "), last good news " + age : "heard " + age;
    }

    /** How many endpoints good snapshots lack that are kept for now. */
    int pendingRemovals() {
        return pendingRemoval.size();
    }

    // ---- events -------------------------------------------------------------------------------------------

    /** Applies a snapshot; returns the ids of endpoints of which the source now claims something else. */
    Set<String> apply(long now, WatchEvent.EndpointSnapshot snapshot) {
        boolean first = !heard;
        var touched = new LinkedHashSet<String>();
        markHeard(now);
        for (SourceEndpoint endpoint : snapshot.endpoints()) {
            put(now, endpoint, cause(endpoint, snapshot.version()), first, touched);
        }
        lastSnapshotEmpty = snapshot.endpoints().isEmpty();
        boolean believed = source.trusted() || snapshot.authoritative();
        for (String id : missingFrom(snapshot)) {
            if (believed) {
                remove(now, id, "not in " + source.name() + " at " + snapshot.version(), touched);
            } else {
                claims.get(id).countMissedSnapshot();
                pendingRemoval.add(id);
            }
        }
        removePending(now, true, touched);
        return touched;
    }

    private List<String> missingFrom(WatchEvent.EndpointSnapshot snapshot) {
        var named = new HashSet<String>();
        for (SourceEndpoint endpoint : snapshot.endpoints()) {
            named.add(endpoint.id());
        }
        var missing = new ArrayList<String>();
        for (String id : claims.keySet()) {
            if (!named.contains(id)) {
                missing.add(id);
            }
        }
        return missing;
    }

    /** Applies a delta; returns the ids of endpoints of which the source now claims something else. */
    Set<String> apply(long now, WatchEvent.EndpointDelta delta) {
        boolean first = !heard;
        var touched = new LinkedHashSet<String>();
        markHeard(now);
        for (SourceEndpoint endpoint : delta.endpoints()) {
            put(now, endpoint, cause(endpoint, delta.version()), first, touched);
        }
        return touched;
    }

    /** What the source last reported still holds. */
    void applyUnchanged(long now) {
        if (heard) {
            markHeard(now);
        }
    }

    /** It can't be heard: what it last reported holds, up to its greatest staleness. */
    void applyFailure(String reason) {
        failure = reason;
    }

    private void markHeard(long now) {
        heard = true;
        lastHeardAt = now;
        failure = null;
        expired = false;
    }

    private String cause(SourceEndpoint endpoint, String version) {
        String what = switch (endpoint.state()) {
            case SERVING -> "named by ";
            case DRAINING -> "drained by ";
            case GONE -> "removed by ";
        };
        return what + source.name() + " at " + version;
    }

    private void put(long now, SourceEndpoint endpoint, String cause, boolean first, Set<String> touched) {
        String id = endpoint.id();
        if (endpoint.isGone()) {
            bury(now, endpoint, cause, touched);
            return;
        }
        EndpointClaim before = claims.get(id);
        pendingRemoval.remove(id);
        if (before != null && before.endpoint().equals(endpoint)) {
            before.resetMissedSnapshots();
            return;
        }
        tombstones.remove(id);
        boolean sameAddress = before != null && before.endpoint().address().equals(endpoint.address());
        long since = sameAddress ? before.since() : now;
        boolean fromFirstReport = before == null ? first : before.fromFirstReport() && sameAddress;
        claims.put(id, new EndpointClaim(endpoint, cause, since, fromFirstReport));
        touched.add(id);
    }

    /** Replaces the claim by a tombstone, which keeps what was last claimed. */
    private void bury(long now, SourceEndpoint endpoint, String cause, Set<String> touched) {
        String id = endpoint.id();
        EndpointClaim before = claims.remove(id);
        pendingRemoval.remove(id);
        if (before == null && tombstones.containsKey(id)) {
            return;
        }
        SourceEndpoint last = before == null ? endpoint : before.endpoint();
        tombstones.put(id, new EndpointClaim(last.asGone(), cause, now, false));
        if (tombstones.size() > source.maxEndpoints()) { // endpoints come and go all day; the oldest matters least
            String oldest = tombstones.keySet().iterator().next();
            tombstones.remove(oldest);
            touched.add(oldest);
        }
        touched.add(id);
    }

    private void remove(long now, String id, String cause, Set<String> touched) {
        bury(now, claims.get(id).endpoint(), cause, touched);
    }

    // ---- removal by time ----------------------------------------------------------------------------------

    /** Applies what time alone brings about; returns the ids of endpoints of which the source now claims less. */
    Set<String> tick(long now) {
        var touched = new LinkedHashSet<String>();
        if (source.maxStalenessMicros() > 0 && heard && now - lastHeardAt >= source.maxStalenessMicros()) {
            expired = true;
        }
        removePending(now, false, touched);
        return touched;
    }

    /** When {@link #tick} has something to do, or {@link Long#MAX_VALUE}. */
    long nextTickAt() {
        if (expired && !claims.isEmpty()) {
            return removals.nextWindowAt();
        }
        long next = hasConfirmedRemoval() ? removals.nextWindowAt() : Long.MAX_VALUE;
        boolean mayExpire = source.maxStalenessMicros() > 0 && heard && !expired;
        return mayExpire ? Math.min(next, lastHeardAt + source.maxStalenessMicros()) : next;
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
     * Removes what may be removed within this window. Right after a snapshot a few may go unconfirmed, as endpoints do
     * every day; an empty snapshot is a fault more often than it is true, and must be confirmed completely.
     */
    private void removePending(long now, boolean bySnapshot, Set<String> touched) {
        if (pendingRemoval.isEmpty() && !expired) {
            return;
        }
        removals.refill(now, claims.size());
        for (Iterator<String> i = List.copyOf(pendingRemoval).iterator(); i.hasNext() && removals.hasRemaining();) {
            String id = i.next();
            if (isConfirmed(id) || (bySnapshot && !lastSnapshotEmpty)) {
                removals.use();
                int missed = claims.get(id).missedSnapshots();
                remove(now, id, "no longer in " + source.name() + " for " + missed + " replies", touched);
            }
        }
        if (expired) {
            dropExpired(touched);
        }
    }

    /** Drops the oldest claims, without a tombstone: the source only no longer vouches for the endpoints. */
    private void dropExpired(Set<String> touched) {
        for (Iterator<EndpointClaim> i = claims.values().iterator(); i.hasNext() && removals.hasRemaining();) {
            String id = i.next().endpoint().id();
            removals.use();
            i.remove();
            pendingRemoval.remove(id);
            touched.add(id);
        }
    }

    /** Why an endpoint for which no source vouches any longer has lost this one's claim, or null. */
    String expiryCause() {
        return expired
                ? source.name() + " not heard for longer than " + source.maxStalenessMicros() / SECOND_MICROS + " s"
                : null;
    }
}
