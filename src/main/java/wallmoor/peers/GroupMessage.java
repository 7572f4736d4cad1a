package wallmoor.peers;

import java.util.List;

/**
 * One message from one member to another. Those of kind {@link MessageKind#UPDATES} may hold any number of updates and
 * be too large for a datagram; all others fit one.
 *
 * @param sender        the sender's announcement of itself
 * @param sequence      a probe's number, given back by its answer; in {@link MessageKind#DIGEST} either
 *                      {@link #DIGEST_REQUEST} or {@link #DIGEST_REPLY}
 * @param target        in {@link MessageKind#INDIRECT_PROBE} whom to probe, in {@link MessageKind#ACK} who answered
 *                      where it was probed for another; else null
 * @param digest        of what the sender knows of all members: where it differs, what differs is exchanged
 * @param bucketDigests in {@link MessageKind#DIGEST} the digests of buckets of members, so that only what differs is
 *                      told; else empty
 * @param updates       piggybacked membership updates
 */
public record GroupMessage(MessageKind kind, MembershipUpdate.Announcement sender, long sequence, String target,
        long digest, List<Long> bucketDigests, List<MembershipUpdate> updates) {
    /** Digests that are answered with digests, where they differ. */
    public static final long DIGEST_REQUEST = 0;
    /** Digests that are not answered with digests again. */
    public static final long DIGEST_REPLY = 1;

    /** What a message is for. Their order is the wire's. */
    public enum MessageKind {
        /** Are you there? */
        PROBE,
        /** Answers a probe. */
        ACK,
        /** Probe another for me (SWIM: ping-req). */
        INDIRECT_PROBE,
        /** Digests of what I know; tell me what you know where they differ. */
        DIGEST,
        /** Updates alone: gossip, or the answer to digests. */
        UPDATES
    }
}
