package wallmoor.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import wallmoor.rules.ByteReader;
import wallmoor.rules.CorruptDataException;

/**
 * Decodes messages of the Raft library. The sender and the voters are given by the caller and not read from the bytes.
 */
final class RaftMessageDecoder {
    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final RaftGroupMembersView members;

    /** Creates a decoder for a group with fixed members. */
    RaftMessageDecoder(Collection<String> voters) {
        members = RaftGroup.members(models, voters);
    }

    /**
     * Returns the decoded message.
     *
     * @throws CorruptDataException if the bytes are not a valid message
     */
    RaftMessage decode(VoterEndpoint sender, byte[] bytes) throws CorruptDataException {
        var from = new ByteReader(bytes);
        int type = (int) from.readLong();
        int term = (int) from.readLong();
        RaftMessage message = switch (type) {
            case RaftMessageType.APPEND_ENTRIES_REQUEST -> append(sender, term, from);
            case RaftMessageType.APPEND_ENTRIES_SUCCESS -> appendSuccess(sender, term, from);
            case RaftMessageType.APPEND_ENTRIES_FAILURE -> appendFailure(sender, term, from);
            case RaftMessageType.INSTALL_SNAPSHOT_REQUEST -> installSnapshot(sender, term, from);
            case RaftMessageType.INSTALL_SNAPSHOT_RESPONSE -> snapshotResponse(sender, term, from);
            case RaftMessageType.PRE_VOTE_REQUEST -> preVote(sender, term, from);
            case RaftMessageType.PRE_VOTE_RESPONSE -> models.createPreVoteResponseBuilder().setGroupId(RaftGroup.ID)
                    .setSender(sender).setTerm(term).setGranted(from.readLong() == 1).build();
            case RaftMessageType.VOTE_REQUEST -> vote(sender, term, from);
            case RaftMessageType.VOTE_RESPONSE -> models.createVoteResponseBuilder().setGroupId(RaftGroup.ID)
                    .setSender(sender).setTerm(term).setGranted(from.readLong() == 1).build();
            case RaftMessageType.TRIGGER_LEADER_ELECTION -> triggerElection(sender, term, from);
            default -> throw new CorruptDataException("unknown Raft message type " + type, 0);
        };
        from.expectEnd();
        return message;
    }

    private RaftMessage append(VoterEndpoint sender, int term, ByteReader from) throws CorruptDataException {
        return models.createAppendEntriesRequestBuilder().setGroupId(RaftGroup.ID).setSender(sender).setTerm(term)
                .setPreviousLogTerm((int) from.readLong())
                .setPreviousLogIndex(from.readLong())
                .setCommitIndex(from.readLong())
                .setQuerySequenceNumber(from.readLong())
                .setFlowControlSequenceNumber(from.readLong())
                .setLogEntries(entries(from)).build();
    }

    private List<LogEntry> entries(ByteReader from) throws CorruptDataException {
        var entries = new ArrayList<LogEntry>();
        for (long n = from.readCount(); n > 0; n--) {
            entries.add(models.createLogEntryBuilder().setIndex(from.readLong()).setTerm((int) from.readLong())
                    .setOperation(from.readBytes()).build());
        }
        return entries;
    }

    private RaftMessage appendSuccess(VoterEndpoint sender, int term, ByteReader from) throws CorruptDataException {
        return models.createAppendEntriesSuccessResponseBuilder().setGroupId(RaftGroup.ID).setSender(sender)
                .setTerm(term)
                .setLastLogIndex(from.readLong())
                .setQuerySequenceNumber(from.readLong())
                .setFlowControlSequenceNumber(from.readLong()).build();
    }

    private RaftMessage appendFailure(VoterEndpoint sender, int term, ByteReader from) throws CorruptDataException {
        return models.createAppendEntriesFailureResponseBuilder().setGroupId(RaftGroup.ID).setSender(sender)
                .setTerm(term)
                .setExpectedNextIndex(from.readLong())
                .setQuerySequenceNumber(from.readLong())
                .setFlowControlSequenceNumber(from.readLong()).build();
    }

    private RaftMessage installSnapshot(VoterEndpoint sender, int term, ByteReader from) throws CorruptDataException {
        boolean senderLeads = from.readLong() == 1;
        int snapshotTerm = (int) from.readLong();
        long index = from.readLong();
        int chunkCount = (int) from.readLong();
        long querySequence = from.readLong();
        long flowControlSequence = from.readLong();
        var snapshotted = new ArrayList<RaftEndpoint>();
        for (long n = from.readCount(); n > 0; n--) {
            snapshotted.add(new VoterEndpoint(from.readText()));
        }
        SnapshotChunk chunk = from.readLong() == 0 ? null : chunk(index, snapshotTerm, chunkCount, from);
        return models.createInstallSnapshotRequestBuilder().setGroupId(RaftGroup.ID).setSender(sender).setTerm(term)
                .setSenderLeader(senderLeads).setSnapshotTerm(snapshotTerm).setSnapshotIndex(index)
                .setTotalSnapshotChunkCount(chunkCount).setSnapshotChunk(chunk).setSnapshottedMembers(snapshotted)
                .setGroupMembersView(members).setQuerySequenceNumber(querySequence)
                .setFlowControlSequenceNumber(flowControlSequence).build();
    }

    private SnapshotChunk chunk(long index, int snapshotTerm, int chunkCount, ByteReader from)
            throws CorruptDataException {
        return models.createSnapshotChunkBuilder().setIndex(index).setTerm(snapshotTerm)
                .setSnapshotChunkCount(chunkCount).setSnapshotChunkIndex((int) from.readLong())
                .setOperation(from.readBytes()).setGroupMembersView(members).build();
    }

    private RaftMessage snapshotResponse(VoterEndpoint sender, int term, ByteReader from) throws CorruptDataException {
        return models.createInstallSnapshotResponseBuilder().setGroupId(RaftGroup.ID).setSender(sender).setTerm(term)
                .setSnapshotIndex(from.readLong())
                .setRequestedSnapshotChunkIndex((int) from.readLong())
                .setQuerySequenceNumber(from.readLong())
                .setFlowControlSequenceNumber(from.readLong()).build();
    }

    private RaftMessage preVote(VoterEndpoint sender, int term, ByteReader from) throws CorruptDataException {
        return models.createPreVoteRequestBuilder().setGroupId(RaftGroup.ID).setSender(sender).setTerm(term)
                .setLastLogTerm((int) from.readLong()).setLastLogIndex(from.readLong()).build();
    }

    private RaftMessage vote(VoterEndpoint sender, int term, ByteReader from) throws CorruptDataException {
        return models.createVoteRequestBuilder().setGroupId(RaftGroup.ID).setSender(sender).setTerm(term)
                .setLastLogTerm((int) from.readLong()).setLastLogIndex(from.readLong())
                .setSticky(from.readLong() == 1).build();
    }

    private RaftMessage triggerElection(VoterEndpoint sender, int term, ByteReader from) throws CorruptDataException {
        return models.createTriggerLeaderElectionRequestBuilder().setGroupId(RaftGroup.ID).setSender(sender)
                .setTerm(term).setLastLogTerm((int) from.readLong()).setLastLogIndex(from.readLong()).build();
    }
}
