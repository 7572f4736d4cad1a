package wallmoor.peers;

import java.util.List;
import wallmoor.peers.GroupMessage.MessageKind;

/** Composes this member's messages: each carries its own announcement and the digest of what it knows. */
final class MessageSender {
    /** What has no purpose but its updates is not answered, and needs no number. */
    private static final long NO_SEQUENCE = 0;

    private final LocalIdentity self;
    private final MembershipTable table;
    private final MembershipProtocol.Output output;

    MessageSender(LocalIdentity self, MembershipTable table, MembershipProtocol.Output output) {
        this.self = self;
        this.table = table;
        this.output = output;
    }

    /** Sends a probe with this number. */
    void sendProbe(String address, long sequence, List<MembershipUpdate> updates) {
        send(address, MessageKind.PROBE, sequence, null, updates);
    }

    /** Asks for a probe of another member on this one's behalf (SWIM: ping-req). */
    void sendIndirectProbe(String address, long sequence, String target, List<MembershipUpdate> updates) {
        send(address, MessageKind.INDIRECT_PROBE, sequence, target, updates);
    }

    /**
     * Answers a probe.
     *
     * @param target the member that answered, where this one probed it for another; else null
     */
    void sendAck(String address, long sequence, String target, List<MembershipUpdate> updates) {
        send(address, MessageKind.ACK, sequence, target, updates);
    }

    /** Sends updates alone. */
    void sendUpdates(String address, List<MembershipUpdate> updates) {
        send(address, MessageKind.UPDATES, NO_SEQUENCE, null, updates);
    }

    /** Sends digests, so that the receiver tells what it knows where they differ; {@code round} as in the message. */
    void sendDigests(String address, long round, List<MembershipUpdate> updates) {
        output.send(address, new GroupMessage(MessageKind.DIGEST, self.announcement(), round, null, table.digest(),
                table.bucketDigests(), updates));
    }

    private void send(String address, MessageKind kind, long sequence, String target, List<MembershipUpdate> updates) {
        output.send(address, new GroupMessage(kind, self.announcement(), sequence, target, table.digest(), List.of(),
                updates));
    }
}
