package wallmoor.peers;

import java.util.List;

/**
 * One message from one member to another. Those of kind {@link MessageKind#UPDATES} may hold any number of news and be
 * too large
 * for a datagram; all others fit one.
 *
 * @param sender   the sender's news of itself
 * @param sequence    a probe's number, given back by its answer
 * @param target  whom to probe, in {@link MessageKind#INDIRECT_PROBE}; else null
 * @param digest of what the sender knows of all members: where it differs, what differs is exchanged
 * @param bucketDigests in {@link MessageKind#DIGEST} the digests of groups of members, so that only groups that differ
 *                      are told;
 *               else empty
 */
public record GroupMessage(MessageKind kind, MembershipUpdate.Announcement sender, long sequence, String target,
        long digest, List<Long> bucketDigests,
        List<MembershipUpdate> updates) {
    /** What a message is for. */
    public enum MessageKind {
        /** Are you there? */
        PROBE,
        /** I am. */
        ACK,
        /** Probe another for me. */
        INDIRECT_PROBE,
        /** What I know; tell me what you do where it differs. */
        DIGEST,
        /** What I know, in answer. */
        UPDATES
    }
}
