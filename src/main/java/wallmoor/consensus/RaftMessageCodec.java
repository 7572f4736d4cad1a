package wallmoor.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
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
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import wallmoor.rules.ByteReader;
import wallmoor.rules.ByteWriter;
import wallmoor.rules.CorruptDataException;

/** The library's messages as bytes, and back; who sent one and who votes is not taken from the bytes. */
final class RaftMessageCodec {
    static final String GROUP = "rules";
    private static final int APPEND = 1;
    private static final int APPENDED = 2;
    private static final int NOT_APPENDED = 3;
    private static final int INSTALL = 4;
    private static final int INSTALLED = 5;
    private static final int PRE_VOTE = 6;
    private static final int PRE_VOTED = 7;
    private static final int VOTE = 8;
    private static final int VOTED = 9;
    private static final int ELECT = 10;

    private final DefaultRaftModelFactory models = new DefaultRaftModelFactory();
    private final RaftGroupMembersView members;

    /** Of a group that never changes its members. */
    RaftMessageCodec(Collection<String> voters) {
        List<RaftEndpoint> all = voters.stream().<RaftEndpoint>map(VoterEndpoint::new).toList();
        members = models.createRaftGroupMembersViewBuilder().setLogIndex(0).setMembers(all).setVotingMembers(all)
                .build();
    }

    static byte[] encode(RaftMessage message) {
        var to = new ByteWriter();
        if (message instanceof AppendEntriesRequest m) {
            to.writeLong(APPEND).writeLong(m.getTerm()).writeLong(m.getPreviousLogTerm())
                    .writeLong(m.getPreviousLogIndex())
                    .writeLong(m.getCommitIndex()).writeLong(m.getQuerySequenceNumber())
                    .writeLong(m.getFlowControlSequenceNumber())
                    .writeLong(m.getLogEntries().size());
            for (LogEntry e : m.getLogEntries()) {
                to.writeLong(e.getIndex()).writeLong(e.getTerm()).writeBytes((byte[]) e.getOperation());
            }
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            to.writeLong(APPENDED).writeLong(m.getTerm()).writeLong(m.getLastLogIndex())
                    .writeLong(m.getQuerySequenceNumber())
                    .writeLong(m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse m) {
            to.writeLong(NOT_APPENDED).writeLong(m.getTerm()).writeLong(m.getExpectedNextIndex())
                    .writeLong(m.getQuerySequenceNumber())
                    .writeLong(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest m) {
            SnapshotChunk c = m.getSnapshotChunk();
            to.writeLong(INSTALL).writeLong(m.getTerm()).writeLong(m.isSenderLeader() ? 1 : 0)
                    .writeLong(m.getSnapshotTerm())
                    .writeLong(m.getSnapshotIndex()).writeLong(m.getTotalSnapshotChunkCount())
                    .writeLong(m.getQuerySequenceNumber())
                    .writeLong(m.getFlowControlSequenceNumber()).writeLong(m.getSnapshottedMembers().size());
            m.getSnapshottedMembers().forEach(v -> to.writeText(VoterEndpoint.of(v)));
            to.writeLong(c == null ? 0 : 1);
            if (c != null) {
                to.writeLong(c.getSnapshotChunkIndex()).writeBytes((byte[]) c.getOperation());
            }
        } else if (message instanceof InstallSnapshotResponse m) {
            to.writeLong(INSTALLED).writeLong(m.getTerm()).writeLong(m.getSnapshotIndex())
                    .writeLong(m.getRequestedSnapshotChunkIndex())
                    .writeLong(m.getQuerySequenceNumber()).writeLong(m.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest m) {
            to.writeLong(PRE_VOTE).writeLong(m.getTerm()).writeLong(m.getLastLogTerm()).writeLong(m.getLastLogIndex());
        } else if (message instanceof PreVoteResponse m) {
            to.writeLong(PRE_VOTED).writeLong(m.getTerm()).writeLong(m.isGranted() ? 1 : 0);
        } else if (message instanceof VoteRequest m) {
            to.writeLong(VOTE).writeLong(m.getTerm()).writeLong(m.getLastLogTerm()).writeLong(m.getLastLogIndex())
                    .writeLong(m.isSticky() ? 1 : 0);
        } else if (message instanceof VoteResponse m) {
            to.writeLong(VOTED).writeLong(m.getTerm()).writeLong(m.isGranted() ? 1 : 0);
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            to.writeLong(ELECT).writeLong(m.getTerm()).writeLong(m.getLastLogTerm()).writeLong(m.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("unknown to this program: " + message);
        }
        return to.toByteArray();
    }

    RaftMessage decode(VoterEndpoint sender, byte[] bytes) throws CorruptDataException {
        var from = new ByteReader(bytes);
        int type = (int) from.readLong();
        int term = (int) from.readLong();
        RaftMessage message = switch (type) {
            case APPEND -> models.createAppendEntriesRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setPreviousLogTerm((int) from.readLong()).setPreviousLogIndex(from.readLong())
                    .setCommitIndex(from.readLong())
                    .setQuerySequenceNumber(from.readLong()).setFlowControlSequenceNumber(from.readLong())
                    .setLogEntries(entries(from)).build();
            case APPENDED ->
                models.createAppendEntriesSuccessResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                        .setLastLogIndex(from.readLong()).setQuerySequenceNumber(from.readLong())
                        .setFlowControlSequenceNumber(from.readLong()).build();
            case NOT_APPENDED ->
                models.createAppendEntriesFailureResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                        .setExpectedNextIndex(from.readLong()).setQuerySequenceNumber(from.readLong())
                        .setFlowControlSequenceNumber(from.readLong()).build();
            case INSTALL -> install(sender, term, from);
            case INSTALLED ->
                models.createInstallSnapshotResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                        .setSnapshotIndex(from.readLong()).setRequestedSnapshotChunkIndex((int) from.readLong())
                        .setQuerySequenceNumber(from.readLong()).setFlowControlSequenceNumber(from.readLong()).build();
            case PRE_VOTE -> models.createPreVoteRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setLastLogTerm((int) from.readLong()).setLastLogIndex(from.readLong()).build();
            case PRE_VOTED -> models.createPreVoteResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setGranted(from.readLong() == 1).build();
            case VOTE -> models.createVoteRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setLastLogTerm((int) from.readLong()).setLastLogIndex(from.readLong())
                    .setSticky(from.readLong() == 1)
                    .build();
            case VOTED -> models.createVoteResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setGranted(from.readLong() == 1).build();
            case ELECT ->
                models.createTriggerLeaderElectionRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                        .setLastLogTerm((int) from.readLong()).setLastLogIndex(from.readLong()).build();
            default -> throw new CorruptDataException("a message of unknown type " + type, 0);
        };
        from.expectEnd();
        return message;
    }

    private List<LogEntry> entries(ByteReader from) throws CorruptDataException {
        var entries = new ArrayList<LogEntry>();
        for (long n = from.readCount(); n > 0; n--) {
            entries.add(models.createLogEntryBuilder().setIndex(from.readLong()).setTerm((int) from.readLong())
                    .setOperation(from.readBytes()).build());
        }
        return entries;
    }

    private RaftMessage install(VoterEndpoint sender, int term, ByteReader from)
            throws CorruptDataException {
        boolean leader = from.readLong() == 1;
        int snapshotTerm = (int) from.readLong();
        long index = from.readLong();
        int count = (int) from.readLong();
        long query = from.readLong();
        long flow = from.readLong();
        var have = new ArrayList<RaftEndpoint>();
        for (long n = from.readCount(); n > 0; n--) {
            have.add(new VoterEndpoint(from.readText()));
        }
        SnapshotChunk chunk = from.readLong() == 0 ? null
                : models.createSnapshotChunkBuilder().setIndex(index).setTerm(snapshotTerm)
                        .setSnapshotChunkCount(count).setSnapshotChunkIndex((int) from.readLong())
                        .setOperation(from.readBytes())
                        .setGroupMembersView(members).build();
        return models.createInstallSnapshotRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                .setSenderLeader(leader).setSnapshotTerm(snapshotTerm).setSnapshotIndex(index)
                .setTotalSnapshotChunkCount(count)
                .setSnapshotChunk(chunk).setSnapshottedMembers(have).setGroupMembersView(members)
                .setQuerySequenceNumber(query).setFlowControlSequenceNumber(flow).build();
    }
}
