package wallmoor.consensus;

import static org.junit.Assert.assertEquals;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.Test;

/** Guards against changes of the wire format of the Raft library's messages. */
public class RaftMessageGoldenTest {
    private static final String FILE = "raft-messages.hex";
    private static final List<String> VOTERS = List.of("a", "b", "c");
    private static final VoterEndpoint SENDER = new VoterEndpoint("b");

    private static LogEntry entry(DefaultRaftModelFactory models, long index, int term, byte... operation) {
        return models.createLogEntryBuilder().setIndex(index).setTerm(term).setOperation(operation).build();
    }

    private static RaftMessage install(DefaultRaftModelFactory models, SnapshotChunk chunk,
            RaftGroupMembersView members) {
        return models.createInstallSnapshotRequestBuilder().setGroupId(RaftGroup.ID).setSender(SENDER)
                .setTerm(9)
                .setSenderLeader(true).setSnapshotTerm(8).setSnapshotIndex(640).setTotalSnapshotChunkCount(2)
                .setSnapshotChunk(chunk).setSnapshottedMembers(List.of(new VoterEndpoint("b"), new VoterEndpoint("c")))
                .setGroupMembersView(members).setQuerySequenceNumber(31).setFlowControlSequenceNumber(32).build();
    }

    static Map<String, RaftMessage> samples() {
        var models = new DefaultRaftModelFactory();
        RaftGroupMembersView members = RaftGroup.members(models, VOTERS);
        SnapshotChunk chunk = models.createSnapshotChunkBuilder().setIndex(640).setTerm(8).setSnapshotChunkCount(2)
                .setSnapshotChunkIndex(1).setOperation(new byte[] {5, 6}).setGroupMembersView(members).build();
        Map<String, RaftMessage> samples = new LinkedHashMap<>();
        samples.put("append-entries-request",
                models.createAppendEntriesRequestBuilder().setGroupId(RaftGroup.ID)
                        .setSender(SENDER).setTerm(7).setPreviousLogTerm(6).setPreviousLogIndex(99).setCommitIndex(98)
                        .setQuerySequenceNumber(3).setFlowControlSequenceNumber(4)
                        .setLogEntries(List.of(entry(models, 100, 6), entry(models, 101, 7, (byte) 1, (byte) -1)))
                        .build());
        samples.put("append-entries-request-heartbeat", models.createAppendEntriesRequestBuilder()
                .setGroupId(RaftGroup.ID).setSender(SENDER).setTerm(7).setPreviousLogTerm(0)
                .setPreviousLogIndex(0)
                .setCommitIndex(0).setQuerySequenceNumber(0).setFlowControlSequenceNumber(0).setLogEntries(List.of())
                .build());
        samples.put("append-entries-success-response", models.createAppendEntriesSuccessResponseBuilder()
                .setGroupId(RaftGroup.ID).setSender(SENDER).setTerm(7).setLastLogIndex(101)
                .setQuerySequenceNumber(3).setFlowControlSequenceNumber(4).build());
        samples.put("append-entries-failure-response", models.createAppendEntriesFailureResponseBuilder()
                .setGroupId(RaftGroup.ID).setSender(SENDER).setTerm(7).setExpectedNextIndex(50)
                .setQuerySequenceNumber(3).setFlowControlSequenceNumber(4).build());
        samples.put("install-snapshot-request", install(models, chunk, members));
        samples.put("install-snapshot-request-without-chunk", install(models, null, members));
        samples.put("install-snapshot-response", models.createInstallSnapshotResponseBuilder()
                .setGroupId(RaftGroup.ID).setSender(SENDER).setTerm(9).setSnapshotIndex(640)
                .setRequestedSnapshotChunkIndex(1).setQuerySequenceNumber(31).setFlowControlSequenceNumber(32).build());
        samples.put("pre-vote-request", models.createPreVoteRequestBuilder().setGroupId(RaftGroup.ID)
                .setSender(SENDER).setTerm(10).setLastLogTerm(9).setLastLogIndex(700).build());
        samples.put("pre-vote-response", models.createPreVoteResponseBuilder().setGroupId(RaftGroup.ID)
                .setSender(SENDER).setTerm(10).setGranted(true).build());
        samples.put("vote-request",
                models.createVoteRequestBuilder().setGroupId(RaftGroup.ID).setSender(SENDER)
                        .setTerm(10).setLastLogTerm(9).setLastLogIndex(700).setSticky(true).build());
        samples.put("vote-response",
                models.createVoteResponseBuilder().setGroupId(RaftGroup.ID).setSender(SENDER)
                        .setTerm(10).setGranted(false).build());
        samples.put("trigger-leader-election-request", models.createTriggerLeaderElectionRequestBuilder()
                .setGroupId(RaftGroup.ID).setSender(SENDER).setTerm(10).setLastLogTerm(9).setLastLogIndex(700)
                .build());
        return samples;
    }

    @Test
    public void encodesGoldenMessages() throws Exception {
        Map<String, byte[]> written = new LinkedHashMap<>();
        samples().forEach((name, message) -> written.put(name, RaftMessageEncoder.encode(message)));
        Golden.assertSame(FILE, written);
    }

    @Test
    public void decodesGoldenMessagesAndEncodesThemUnchanged() throws Exception {
        var decoder = new RaftMessageDecoder(VOTERS);
        Map<String, RaftMessage> samples = samples();
        for (Map.Entry<String, byte[]> sample : Golden.read(FILE).entrySet()) {
            RaftMessage decoded = decoder.decode(SENDER, sample.getValue());
            assertEquals(samples.get(sample.getKey()).getClass(), decoded.getClass());
            assertEquals(SENDER, decoded.getSender());
            assertEquals(sample.getKey(), Golden.hex(sample.getValue()),
                    Golden.hex(RaftMessageEncoder.encode(decoded)));
        }
    }
}
