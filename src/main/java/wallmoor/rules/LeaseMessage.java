package wallmoor.rules;

import java.util.List;
import java.util.Map;

/** What a gatherer and the leader of the voters say to each other. */
public sealed interface LeaseMessage {
    /** What a gatherer knows of a document: the last version's number and hash. */
    record KnownVersion(long version, String hash) {}

    /**
     * A gatherer asks for a lease, and gives its word: from when it asked on it does nothing that a version it knows
     * takes away. That gives up what leases it had on older ones.
     *
     * @param incarnation tells two processes of one name apart
     * @param sequence  goes up; the lease counts from when the ask of this number was made
     */
    record LeaseRequest(String holder, long incarnation, long sequence,
            Map<String, KnownVersion> knownVersions) implements LeaseMessage {
        /** Keeps a copy that nobody changes. */
        public LeaseRequest {
            knownVersions = Map.copyOf(knownVersions);
        }
    }

    /** The leader gives a lease on all documents, as an answer to an ask. */
    record LeaseGrant(String holder, long incarnation, long sequence,
            List<VersionChain> chains) implements LeaseMessage {}

    /** No lease: {@code why} is for the operator. */
    record LeaseDenial(String holder, long incarnation, long sequence, String reason) implements LeaseMessage {}

    /** Something was accepted, or acts; no lease comes with it. */
    record VersionUpdate(List<VersionChain> chains) implements LeaseMessage {}
}
