package wallmoor.agreement;

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
import wallmoor.versions.DamagedException;
import wallmoor.versions.Forms;

/** The library's messages as bytes, and back; who sent one and who votes is not taken from the bytes. */
final class RaftForms {
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
    RaftForms(Collection<String> voters) {
        List<RaftEndpoint> all = voters.stream().<RaftEndpoint>map(Endpoint::new).toList();
        members = models.createRaftGroupMembersViewBuilder().setLogIndex(0).setMembers(all).setVotingMembers(all)
                .build();
    }

    static byte[] write(RaftMessage message) {
        var to = new Forms.Writer();
        if (message instanceof AppendEntriesRequest m) {
            to.number(APPEND).number(m.getTerm()).number(m.getPreviousLogTerm()).number(m.getPreviousLogIndex())
                    .number(m.getCommitIndex()).number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber())
                    .number(m.getLogEntries().size());
            for (LogEntry e : m.getLogEntries()) {
                to.number(e.getIndex()).number(e.getTerm()).raw((byte[]) e.getOperation());
            }
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            to.number(APPENDED).number(m.getTerm()).number(m.getLastLogIndex()).number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse m) {
            to.number(NOT_APPENDED).number(m.getTerm()).number(m.getExpectedNextIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest m) {
            SnapshotChunk c = m.getSnapshotChunk();
            to.number(INSTALL).number(m.getTerm()).number(m.isSenderLeader() ? 1 : 0).number(m.getSnapshotTerm())
                    .number(m.getSnapshotIndex()).number(m.getTotalSnapshotChunkCount())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber()).number(m.getSnapshottedMembers().size());
            m.getSnapshottedMembers().forEach(v -> to.text(Endpoint.of(v)));
            to.number(c == null ? 0 : 1);
            if (c != null) {
                to.number(c.getSnapshotChunkIndex()).raw((byte[]) c.getOperation());
            }
        } else if (message instanceof InstallSnapshotResponse m) {
            to.number(INSTALLED).number(m.getTerm()).number(m.getSnapshotIndex())
                    .number(m.getRequestedSnapshotChunkIndex())
                    .number(m.getQuerySequenceNumber()).number(m.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest m) {
            to.number(PRE_VOTE).number(m.getTerm()).number(m.getLastLogTerm()).number(m.getLastLogIndex());
        } else if (message instanceof PreVoteResponse m) {
            to.number(PRE_VOTED).number(m.getTerm()).number(m.isGranted() ? 1 : 0);
        } else if (message instanceof VoteRequest m) {
            to.number(VOTE).number(m.getTerm()).number(m.getLastLogTerm()).number(m.getLastLogIndex())
                    .number(m.isSticky() ? 1 : 0);
        } else if (message instanceof VoteResponse m) {
            to.number(VOTED).number(m.getTerm()).number(m.isGranted() ? 1 : 0);
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            to.number(ELECT).number(m.getTerm()).number(m.getLastLogTerm()).number(m.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("unknown to this program: " + message);
        }
        return to.bytes();
    }

    RaftMessage read(Endpoint sender, byte[] bytes) throws DamagedException {
        var from = new Forms.Reader(bytes);
        int type = (int) from.number();
        int term = (int) from.number();
        RaftMessage message = switch (type) {
            case APPEND -> models.createAppendEntriesRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setPreviousLogTerm((int) from.number()).setPreviousLogIndex(from.number())
                    .setCommitIndex(from.number())
                    .setQuerySequenceNumber(from.number()).setFlowControlSequenceNumber(from.number())
                    .setLogEntries(entries(from)).build();
            case APPENDED ->
                models.createAppendEntriesSuccessResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                        .setLastLogIndex(from.number()).setQuerySequenceNumber(from.number())
                        .setFlowControlSequenceNumber(from.number()).build();
            case NOT_APPENDED ->
                models.createAppendEntriesFailureResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                        .setExpectedNextIndex(from.number()).setQuerySequenceNumber(from.number())
                        .setFlowControlSequenceNumber(from.number()).build();
            case INSTALL -> install(sender, term, from);
            case INSTALLED ->
                models.createInstallSnapshotResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                        .setSnapshotIndex(from.number()).setRequestedSnapshotChunkIndex((int) from.number())
                        .setQuerySequenceNumber(from.number()).setFlowControlSequenceNumber(from.number()).build();
            case PRE_VOTE -> models.createPreVoteRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setLastLogTerm((int) from.number()).setLastLogIndex(from.number()).build();
            case PRE_VOTED -> models.createPreVoteResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setGranted(from.number() == 1).build();
            case VOTE -> models.createVoteRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setLastLogTerm((int) from.number()).setLastLogIndex(from.number()).setSticky(from.number() == 1)
                    .build();
            case VOTED -> models.createVoteResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setGranted(from.number() == 1).build();
            case ELECT ->
                models.createTriggerLeaderElectionRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                        .setLastLogTerm((int) from.number()).setLastLogIndex(from.number()).build();
            default -> throw new DamagedException("a message of unknown type " + type, 0);
        };
        from.end();
        return message;
    }

    private List<LogEntry> entries(Forms.Reader from) throws DamagedException {
        var entries = new ArrayList<LogEntry>();
        for (long n = from.count(); n > 0; n--) {
            entries.add(models.createLogEntryBuilder().setIndex(from.number()).setTerm((int) from.number())
                    .setOperation(from.raw()).build());
        }
        return entries;
    }

    private RaftMessage install(Endpoint sender, int term, Forms.Reader from) throws DamagedException {
        boolean leader = from.number() == 1;
        int snapshotTerm = (int) from.number();
        long index = from.number();
        int count = (int) from.number();
        long query = from.number();
        long flow = from.number();
        var have = new ArrayList<RaftEndpoint>();
        for (long n = from.count(); n > 0; n--) {
            have.add(new Endpoint(from.text()));
        }
        SnapshotChunk chunk = from.number() == 0 ? null
                : models.createSnapshotChunkBuilder().setIndex(index).setTerm(snapshotTerm)
                        .setSnapshotChunkCount(count).setSnapshotChunkIndex((int) from.number())
                        .setOperation(from.raw())
                        .setGroupMembersView(members).build();
        return models.createInstallSnapshotRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                .setSenderLeader(leader).setSnapshotTerm(snapshotTerm).setSnapshotIndex(index)
                .setTotalSnapshotChunkCount(count)
                .setSnapshotChunk(chunk).setSnapshottedMembers(have).setGroupMembersView(members)
                .setQuerySequenceNumber(query).setFlowControlSequenceNumber(flow).build();
    }
}
