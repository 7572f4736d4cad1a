package wallmoor.peers;

import java.util.List;

/**
 * A message from one member to another. A message of kind {@link MessageKind#UPDATES} may hold any number of updates
 * and be too large for a datagram; messages of all other kinds fit one.
 *
 * @param sender        the sender's own announcement
 * @param sequence      the number of a probe, which its answer returns; in {@link MessageKind#DIGEST} either
 *                      {@link #DIGEST_REQUEST} or {@link #DIGEST_REPLY}
 * @param target        in {@link MessageKind#INDIRECT_PROBE} the member to probe, in {@link MessageKind#ACK} the member
 *                      that answered an indirect probe; null otherwise
 * @param digest        digest of the sender's table; if it differs from the receiver's, the two exchange updates
 * @param bucketDigests in {@link MessageKind#DIGEST} the digest of each bucket of the table, so that only the buckets
 *                      that differ are sent; empty otherwise
 * @param updates       piggybacked membership updates
 */
public record GroupMessage(MessageKind kind, MembershipUpdate.Announcement sender, long sequence, String target,
        long digest, List<Long> bucketDigests, List<MembershipUpdate> updates) {
    /** Marks digests that the receiver answers with its own digests if they differ. */
    public static final long DIGEST_REQUEST = 0;
    /** Marks digests that are the answer to a request and are not answered with digests again. */
    public static final long DIGEST_REPLY = 1;

    /** The purpose of a message. The order of the constants is that of the numbers on the wire. */
    public enum MessageKind {
        /** Asks the receiver to answer, to find out whether it is alive. */
        PROBE,
        /** Answers a probe. */
        ACK,
        /** Asks the receiver to probe another member on the sender's behalf (SWIM: ping-req). */
        INDIRECT_PROBE,
        /** Carries digests of the sender's table; the receiver sends its updates for the buckets that differ. */
        DIGEST,
        /** Carries updates only: gossip, or the answer to digests. */
        UPDATES
    }
}
