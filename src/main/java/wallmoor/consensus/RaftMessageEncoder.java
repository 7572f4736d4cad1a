package wallmoor.consensus;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import wallmoor.rules.ByteWriter;

/**
 * Encodes messages of the Raft library. The sender and the members of the group are not encoded, as {@link
 * RaftMessageDecoder} knows both.
 */
final class RaftMessageEncoder {
    private RaftMessageEncoder() {}

    static byte[] encode(RaftMessage message) {
        var to = new ByteWriter();
        if (message instanceof AppendEntriesRequest m) {
            append(to, m);
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            appendSuccess(to, m);
        } else if (message instanceof AppendEntriesFailureResponse m) {
            appendFailure(to, m);
        } else if (message instanceof InstallSnapshotRequest m) {
            installSnapshot(to, m);
        } else if (message instanceof InstallSnapshotResponse m) {
            snapshotResponse(to, m);
        } else if (message instanceof PreVoteRequest m) {
            begin(to, RaftMessageType.PRE_VOTE_REQUEST, m).writeLong(m.getLastLogTerm()).writeLong(m.getLastLogIndex());
        } else if (message instanceof PreVoteResponse m) {
            begin(to, RaftMessageType.PRE_VOTE_RESPONSE, m).writeLong(m.isGranted() ? 1 : 0);
        } else if (message instanceof VoteRequest m) {
            begin(to, RaftMessageType.VOTE_REQUEST, m).writeLong(m.getLastLogTerm()).writeLong(m.getLastLogIndex())
                    .writeLong(m.isSticky() ? 1 : 0);
        } else if (message instanceof VoteResponse m) {
            begin(to, RaftMessageType.VOTE_RESPONSE, m).writeLong(m.isGranted() ? 1 : 0);
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            begin(to, RaftMessageType.TRIGGER_LEADER_ELECTION, m).writeLong(m.getLastLogTerm())
                    .writeLong(m.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("Raft message type can't be encoded: " + message);
        }
        return to.toByteArray();
    }

    private static ByteWriter begin(ByteWriter to, int type, RaftMessage message) {
        return to.writeLong(type).writeLong(message.getTerm());
    }

    private static void append(ByteWriter to, AppendEntriesRequest m) {
        begin(to, RaftMessageType.APPEND_ENTRIES_REQUEST, m).writeLong(m.getPreviousLogTerm())
                .writeLong(m.getPreviousLogIndex())
                .writeLong(m.getCommitIndex())
                .writeLong(m.getQuerySequenceNumber())
                .writeLong(m.getFlowControlSequenceNumber())
                .writeLong(m.getLogEntries().size());
        for (LogEntry e : m.getLogEntries()) {
            to.writeLong(e.getIndex()).writeLong(e.getTerm()).writeBytes((byte[]) e.getOperation());
        }
    }

    private static void appendSuccess(ByteWriter to, AppendEntriesSuccessResponse m) {
        begin(to, RaftMessageType.APPEND_ENTRIES_SUCCESS, m).writeLong(m.getLastLogIndex())
                .writeLong(m.getQuerySequenceNumber())
                .writeLong(m.getFlowControlSequenceNumber());
    }

    private static void appendFailure(ByteWriter to, AppendEntriesFailureResponse m) {
        begin(to, RaftMessageType.APPEND_ENTRIES_FAILURE, m).writeLong(m.getExpectedNextIndex())
                .writeLong(m.getQuerySequenceNumber())
                .writeLong(m.getFlowControlSequenceNumber());
    }

    private static void installSnapshot(ByteWriter to, InstallSnapshotRequest m) {
        begin(to, RaftMessageType.INSTALL_SNAPSHOT_REQUEST, m).writeLong(m.isSenderLeader() ? 1 : 0)
                .writeLong(m.getSnapshotTerm())
                .writeLong(m.getSnapshotIndex())
                .writeLong(m.getTotalSnapshotChunkCount())
                .writeLong(m.getQuerySequenceNumber())
                .writeLong(m.getFlowControlSequenceNumber())
                .writeLong(m.getSnapshottedMembers().size());
        m.getSnapshottedMembers().forEach(v -> to.writeText(VoterEndpoint.nameOf(v)));
        SnapshotChunk chunk = m.getSnapshotChunk();
        to.writeLong(chunk == null ? 0 : 1);
        if (chunk != null) {
            to.writeLong(chunk.getSnapshotChunkIndex()).writeBytes((byte[]) chunk.getOperation());
        }
    }

    private static void snapshotResponse(ByteWriter to, InstallSnapshotResponse m) {
        begin(to, RaftMessageType.INSTALL_SNAPSHOT_RESPONSE, m).writeLong(m.getSnapshotIndex())
                .writeLong(m.getRequestedSnapshotChunkIndex())
                .writeLong(m.getQuerySequenceNumber())
                .writeLong(m.getFlowControlSequenceNumber());
    }
}
