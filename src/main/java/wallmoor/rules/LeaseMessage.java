package wallmoor.rules;

import java.util.List;
import java.util.Map;

/** Messages between a lease holder and the leader. Any message may be lost, delayed or duplicated. */
public sealed interface LeaseMessage {
    /** The latest version of a document that a lease holder knows: its number and hash. */
    record KnownVersion(long version, String hash) {}

    /**
     * Requests a lease on all documents. The holder promises that from the time of the request it does nothing that a
     * version it knows restricts, and so gives up its leases on older versions.
     *
     * @param holder        name of the lease holder
     * @param incarnation   number that differs between two processes of the same name
     * @param sequence      increasing number of the request; the lease counts from the time of this request
     * @param knownVersions the latest known version, by document name
     */
    record LeaseRequest(String holder, long incarnation, long sequence,
            Map<String, KnownVersion> knownVersions) implements LeaseMessage {
        /** Copies the map. */
        public LeaseRequest {
            knownVersions = Map.copyOf(knownVersions);
        }
    }

    /**
     * Grants a requested lease.
     *
     * @param chains the versions in effect of each document, without the contents that the holder knows already
     */
    record LeaseGrant(String holder, long incarnation, long sequence,
            List<VersionChain> chains) implements LeaseMessage {}

    /** Denies a lease, with a reason for the operator. */
    record LeaseDenial(String holder, long incarnation, long sequence, String reason) implements LeaseMessage {}

    /** Reports that a version was accepted or activated. Grants no lease. */
    record VersionUpdate(List<VersionChain> chains) implements LeaseMessage {}
}
