package wallmoor.rules;

import java.util.List;
import java.util.Map;

/** Messages between a lease holder and the leader. Any of them may be lost, late or repeated. */
public sealed interface LeaseMessage {
    /** The latest version of a document that a lease holder knows: its number and hash. */
    record KnownVersion(long version, String hash) {}

    /**
     * Requests a lease on all documents. With it the holder promises that since the request was made it does nothing
     * that a version it knows restricts, and so gives up its leases on older versions.
     *
     * @param incarnation   tells two processes of one name apart
     * @param sequence      increases; the lease counts from when the request of this number was made
     * @param knownVersions by document's name
     */
    record LeaseRequest(String holder, long incarnation, long sequence,
            Map<String, KnownVersion> knownVersions) implements LeaseMessage {
        /** Copies the map. */
        public LeaseRequest {
            knownVersions = Map.copyOf(knownVersions);
        }
    }

    /**
     * Grants the lease that a request asked for.
     *
     * @param chains the versions in effect of each document, without the documents that the holder knows already
     */
    record LeaseGrant(String holder, long incarnation, long sequence,
            List<VersionChain> chains) implements LeaseMessage {}

    /** Denies a lease, with a reason for the operator. */
    record LeaseDenial(String holder, long incarnation, long sequence, String reason) implements LeaseMessage {}

    /** A version was accepted or activated; no lease comes with it. */
    record VersionUpdate(List<VersionChain> chains) implements LeaseMessage {}
}
