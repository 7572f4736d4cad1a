package wallmoor.consensus;

import wallmoor.rules.ByteReader;
import wallmoor.rules.ByteWriter;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.LogEntryCodec;

/**
 * The state that a voting member must have on disk before it responds: the current term and vote of Raft, and fields
 * that this program adds.
 *
 * @param incarnation       distinguishes two processes of one name; increases with each start
 * @param term              the latest term that this member was in
 * @param votedFor          the candidate that this member voted for in {@code term}; empty for none
 * @param minimumLeaderTerm see {@link RejoiningVoter#minimumLeaderTerm}; 0 unless the voter is rejoining
 */
record HardState(long incarnation, int term, String votedFor, int minimumLeaderTerm) {
    byte[] encode() {
        return new ByteWriter().writeLong(LogEntryCodec.FORMAT_VERSION).writeLong(incarnation)
                .writeLong(term).writeText(votedFor).writeLong(minimumLeaderTerm).toByteArray();
    }

    static HardState decode(byte[] record) throws CorruptDataException {
        var from = new ByteReader(record).readFormatVersion();
        var state = new HardState(from.readLong(), (int) from.readLong(), from.readText(), (int) from.readLong());
        from.expectEnd();
        return state;
    }

    HardState withIncarnation(long next) {
        return new HardState(next, term, votedFor, minimumLeaderTerm);
    }

    HardState withVote(int inTerm, String candidate) {
        return new HardState(incarnation, inTerm, candidate, minimumLeaderTerm);
    }

    HardState withTerm(int next) {
        return new HardState(incarnation, next, votedFor, minimumLeaderTerm);
    }

    HardState withMinimumLeaderTerm(int next) {
        return new HardState(incarnation, term, votedFor, next);
    }
}
