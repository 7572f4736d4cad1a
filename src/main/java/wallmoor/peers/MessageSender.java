package wallmoor.peers;

import java.util.List;
import wallmoor.peers.GroupMessage.MessageKind;

/** Composes and sends this member's messages. Each carries the sender's announcement and the digest of its table. */
final class MessageSender {
    /** The sequence number of a message with updates only, which is not answered. */
    private static final long NO_SEQUENCE = 0;

    private final LocalIdentity self;
    private final MembershipTable table;
    private final MembershipProtocol.Output output;

    MessageSender(LocalIdentity self, MembershipTable table, MembershipProtocol.Output output) {
        this.self = self;
        this.table = table;
        this.output = output;
    }

    /** Sends a probe with this sequence number. */
    void sendProbe(String address, long sequence, List<MembershipUpdate> updates) {
        send(address, MessageKind.PROBE, sequence, null, updates);
    }

    /** Requests a probe of the target on this member's behalf (SWIM: ping-req). */
    void sendIndirectProbe(String address, long sequence, String target, List<MembershipUpdate> updates) {
        send(address, MessageKind.INDIRECT_PROBE, sequence, target, updates);
    }

    /**
     * Answers a probe.
     *
     * @param target the member that answered, if this member probed it on behalf of the receiver; null otherwise
     */
    void sendAck(String address, long sequence, String target, List<MembershipUpdate> updates) {
        send(address, MessageKind.ACK, sequence, target, updates);
    }

    /** Sends a message that carries updates only. */
    void sendUpdates(String address, List<MembershipUpdate> updates) {
        send(address, MessageKind.UPDATES, NO_SEQUENCE, null, updates);
    }

    /**
     * Sends the digests of the table, which the receiver answers with its updates for the buckets that differ.
     *
     * @param sequence {@link GroupMessage#DIGEST_REQUEST} or {@link GroupMessage#DIGEST_REPLY}
     */
    void sendDigests(String address, long sequence, List<MembershipUpdate> updates) {
        output.send(address, new GroupMessage(MessageKind.DIGEST, self.announcement(), sequence, null, table.digest(),
                table.bucketDigests(), updates));
    }

    private void send(String address, MessageKind kind, long sequence, String target, List<MembershipUpdate> updates) {
        output.send(address, new GroupMessage(kind, self.announcement(), sequence, target, table.digest(), List.of(),
                updates));
    }
}
