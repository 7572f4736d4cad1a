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
        if (message instanceof AppendEntriesRequest request) {
            append(to, request);
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            appendSuccess(to, response);
        } else if (message instanceof AppendEntriesFailureResponse response) {
            appendFailure(to, response);
        } else if (message instanceof InstallSnapshotRequest request) {
            installSnapshot(to, request);
        } else if (message instanceof InstallSnapshotResponse response) {
            snapshotResponse(to, response);
        } else if (message instanceof PreVoteRequest request) {
            begin(to, RaftMessageType.PRE_VOTE_REQUEST, request).writeLong(request.getLastLogTerm())
                    .writeLong(request.getLastLogIndex());
        } else if (message instanceof PreVoteResponse response) {
            begin(to, RaftMessageType.PRE_VOTE_RESPONSE, response).writeLong(response.isGranted() ? 1 : 0);
        } else if (message instanceof VoteRequest request) {
            begin(to, RaftMessageType.VOTE_REQUEST, request).writeLong(request.getLastLogTerm())
                    .writeLong(request.getLastLogIndex())
                    .writeLong(request.isSticky() ? 1 : 0);
        } else if (message instanceof VoteResponse response) {
            begin(to, RaftMessageType.VOTE_RESPONSE, response).writeLong(response.isGranted() ? 1 : 0);
        } else if (message instanceof TriggerLeaderElectionRequest request) {
            begin(to, RaftMessageType.TRIGGER_LEADER_ELECTION, request).writeLong(request.getLastLogTerm())
                    .writeLong(request.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("Raft message type can't be encoded: " + message);
        }
        return to.toByteArray();
    }

    private static ByteWriter begin(ByteWriter to, int type, RaftMessage message) {
        return to.writeLong(type).writeLong(message.getTerm());
    }

    private static void append(ByteWriter to, AppendEntriesRequest request) {
        begin(to, RaftMessageType.APPEND_ENTRIES_REQUEST, request).writeLong(request.getPreviousLogTerm())
                .writeLong(request.getPreviousLogIndex())
                .writeLong(request.getCommitIndex())
                .writeLong(request.getQuerySequenceNumber())
                .writeLong(request.getFlowControlSequenceNumber())
                .writeLong(request.getLogEntries().size());
        for (LogEntry entry : request.getLogEntries()) {
            to.writeLong(entry.getIndex()).writeLong(entry.getTerm()).writeBytes((byte[]) entry.getOperation());
        }
    }

    private static void appendSuccess(ByteWriter to, AppendEntriesSuccessResponse response) {
        begin(to, RaftMessageType.APPEND_ENTRIES_SUCCESS, response).writeLong(response.getLastLogIndex())
                .writeLong(response.getQuerySequenceNumber())
                .writeLong(response.getFlowControlSequenceNumber());
    }

    private static void appendFailure(ByteWriter to, AppendEntriesFailureResponse response) {
        begin(to, RaftMessageType.APPEND_ENTRIES_FAILURE, response).writeLong(response.getExpectedNextIndex())
                .writeLong(response.getQuerySequenceNumber())
                .writeLong(response.getFlowControlSequenceNumber());
    }

    private static void installSnapshot(ByteWriter to, InstallSnapshotRequest request) {
        begin(to, RaftMessageType.INSTALL_SNAPSHOT_REQUEST, request).writeLong(request.isSenderLeader() ? 1 : 0)
                .writeLong(request.getSnapshotTerm())
                .writeLong(request.getSnapshotIndex())
                .writeLong(request.getTotalSnapshotChunkCount())
                .writeLong(request.getQuerySequenceNumber())
                .writeLong(request.getFlowControlSequenceNumber())
                .writeLong(request.getSnapshottedMembers().size());
        request.getSnapshottedMembers().forEach(v -> to.writeText(VoterEndpoint.nameOf(v)));
        SnapshotChunk chunk = request.getSnapshotChunk();
        to.writeLong(chunk == null ? 0 : 1);
        if (chunk != null) {
            to.writeLong(chunk.getSnapshotChunkIndex()).writeBytes((byte[]) chunk.getOperation());
        }
    }

    private static void snapshotResponse(ByteWriter to, InstallSnapshotResponse response) {
        begin(to, RaftMessageType.INSTALL_SNAPSHOT_RESPONSE, response).writeLong(response.getSnapshotIndex())
                .writeLong(response.getRequestedSnapshotChunkIndex())
                .writeLong(response.getQuerySequenceNumber())
                .writeLong(response.getFlowControlSequenceNumber());
    }
}
