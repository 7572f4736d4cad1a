package wallmoor.consensus;

import java.util.List;
import wallmoor.rules.LeaseMessage;
import wallmoor.rules.LogEntry;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;

/** A packet that processes of a group send to each other over a connection; {@link PacketCodec} defines the bytes. */
sealed interface Packet {
    /**
     * The first packet on each connection, in both directions.
     *
     * @param group       identifies the group; the same for all processes that may connect to each other
     * @param name        the name of the gatherer
     * @param incarnation distinguishes two processes of one name; the newer process has the higher value
     */
    record Handshake(String group, String name, long incarnation) implements Packet {}

    /**
     * A message of the Raft library between voting members. Not a record, as a record's equality would compare the
     * array by identity.
     */
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

    /** The response of a member that does not lead, with the leader that it knows, or an empty text. */
    record NotLeader(String leader) implements Packet {}

    /** A voting member's verdict, for the leader to append. */
    record ForwardedVerdict(LogEntry.VoterVerdict entry) implements Packet {}

    /** A request of a voter that starts for the Raft term of another voter. */
    record TermRequest() implements Packet {}

    /**
     * The response to a {@link TermRequest}.
     *
     * @param term the term of the sender, or {@link GroupFounding#NO_STORED_STATE}
     */
    record TermResponse(int term) implements Packet {}

    /**
     * A client's request to the leader: a proposal or, if {@code proposal} is null, a read of a document's history.
     *
     * @param id   the same each time the request is sent
     * @param name the name of the document
     */
    record ClientRequest(long id, String name, RuleProposal proposal) implements Packet {}

    /**
     * The leader's response to a client request.
     *
     * @param state         one of the constants of this record
     * @param version       the version that the response is about
     * @param reason        the reason for a rejection, or empty
     * @param activeVersion the number of the active version
     * @param versions      the retained versions, if the history was read
     * @param rejected      messages about recently rejected proposals, if the history was read
     */
    record ClientResponse(long id, String state, long version, String reason, long activeVersion,
            List<RuleDocument> versions, List<String> rejected) implements Packet {
        /** The proposed version is active. */
        static final String ACTS = "acts";
        /** The version is accepted, and becomes active once no gatherer acts without knowing it. */
        static final String ACCEPTED = "accepted";
        /** The version waits for the verdicts of the voters. */
        static final String PENDING = "pending";
        /** The proposal was rejected. */
        static final String REJECTED = "refused";
        /** The response carries the requested history. */
        static final String HISTORY = "told";

        /** Returns whether no further response to the request follows. */
        boolean isFinal() {
            return !state.equals(ACCEPTED) && !state.equals(PENDING);
        }
    }
}
