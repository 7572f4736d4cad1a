package wallmoor.consensus;

import java.util.List;
import wallmoor.rules.LeaseMessage;
import wallmoor.rules.LogEntry;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;

/** What processes of a group send to each other over a connection; see {@link PacketCodec} for the bytes. */
sealed interface Packet {
    /**
     * The first on each connection, both ways.
     *
     * @param group       the same of all that may talk to each other
     * @param name        of the gatherer
     * @param incarnation tells two processes of one name apart; a later one has the higher
     */
    record Handshake(String group, String name, long incarnation) implements Packet {}

    /** A message of the Raft library's between voting members. No record, as arrays are equal to themselves alone. */
    final class RaftEnvelope implements Packet {
        private final byte[] message;

        RaftEnvelope(byte[] message) {
            this.message = message;
        }

        byte[] message() {
            return message;
        }
    }

    /** A message between a lease holder and the leader. */
    record LeaseEnvelope(LeaseMessage message) implements Packet {}

    /** The member that was asked does not lead; who does, as far as it knows, or an empty text. */
    record NotLeader(String leader) implements Packet {}

    /** A voting member's verdict, for the leader to append. */
    record ForwardedVerdict(LogEntry.VoterVerdict entry) implements Packet {}

    /** A rejoining voter asks for the other's Raft term. */
    record TermRequest() implements Packet {}

    /** The term. */
    record TermResponse(int term) implements Packet {}

    /**
     * A client of the leader proposes, or, where {@code proposal} is null, reads a document's history.
     *
     * @param id   the same where the request is sent again
     * @param name of the document
     */
    record ClientRequest(long id, String name, RuleProposal proposal) implements Packet {}

    /**
     * The leader's response.
     *
     * @param state         one of the constants here
     * @param version       that it is about
     * @param reason        why the proposal was rejected, or empty
     * @param activeVersion the number of the version that acts
     * @param versions      that are kept, where the history was read
     * @param rejected      sentences on proposals rejected of late, where the history was read
     */
    record ClientResponse(long id, String state, long version, String reason, long activeVersion,
            List<RuleDocument> versions, List<String> rejected) implements Packet {
        /** The proposed version acts. */
        static final String ACTS = "acts";
        /** It is accepted, and waits until nobody acts without knowing it. */
        static final String ACCEPTED = "accepted";
        /** It waits for verdicts. */
        static final String PENDING = "pending";
        /** The proposal was rejected. */
        static final String REJECTED = "refused";
        /** The history that was asked for. */
        static final String TOLD = "told";

        /** Whether no other response to the request follows. */
        boolean isFinal() {
            return !state.equals(ACCEPTED) && !state.equals(PENDING);
        }
    }
}
