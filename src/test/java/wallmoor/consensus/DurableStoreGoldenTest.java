package wallmoor.consensus;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.rules.LeaseMessageCodec;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;
import wallmoor.rules.VersionChain;

/**
 * Guards against changes of the format of stored files: an upgraded gatherer must read the files of earlier versions.
 */
public class DurableStoreGoldenTest {
    private static final String FILE = "store.hex";
    private static final List<String> VOTERS = List.of("a", "b", "c");
    private static final long NOW_MICROS = 1_700_000_000_000_000L;
    private static final RuleDocument FIRST = RuleDocument.of(
            new RuleProposal("settings", 0, "", "ann", "{\"limits.open\": 200}", "{\"limits.open\": 100}"), 3);
    private static final RuleDocument SECOND = RuleDocument.of(
            new RuleProposal("settings", 3, FIRST.hash(), "Zoë ✓", "{\"limits.open\": 210}", "{}"), 5);
    private static final List<VersionChain> KNOWN = List.of(new VersionChain("settings", 3, 5, List.of(FIRST, SECOND)),
            new VersionChain("list", 0, 0, List.of()));

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final DefaultRaftModelFactory models = new DefaultRaftModelFactory();
    private DurableDirectory directory;

    @Before
    public void createDirectory() throws Exception {
        directory = new DurableDirectory(folder.getRoot().toPath());
    }

    private Path path(String file) {
        return folder.getRoot().toPath().resolve(file);
    }

    /** Opens the store as the next process does, after the end of the one before. */
    private DurableStore open() throws Exception {
        directory.close();
        directory = new DurableDirectory(folder.getRoot().toPath());
        return new DurableStore(directory, "a", VOTERS, NOW_MICROS);
    }

    private LogEntry entry(long index, int term) {
        return models.createLogEntryBuilder().setIndex(index).setTerm(term)
                .setOperation(("entry " + index + " of " + term).getBytes(StandardCharsets.US_ASCII)).build();
    }

    private SnapshotChunk chunk(DurableStore store, long index, int number) {
        return models.createSnapshotChunkBuilder().setIndex(index).setTerm(6).setSnapshotChunkIndex(number)
                .setSnapshotChunkCount(2).setOperation(new byte[] {(byte) number, -1})
                .setGroupMembersView(store.restoredState().getInitialGroupMembers()).build();
    }

    /** Returns the content of the files after each step of a short history. */
    Map<String, byte[]> writeFiles() throws Exception {
        Map<String, byte[]> files = new LinkedHashMap<>();
        DurableStore store = open();
        files.put("log-fresh", Files.readAllBytes(path("log")));
        store.startInTerm(4, 5);
        files.put("vote-learns", Files.readAllBytes(path("vote")));
        store.persistAndFlushTerm(models.createRaftTermPersistentStateBuilder().setTerm(6).build());
        store.persistLogEntries(List.of(entry(1, 6), entry(2, 6), entry(3, 6), entry(4, 6), entry(5, 6)));
        store.truncateLogEntriesFrom(4);
        store.persistLogEntries(List.of(entry(4, 7), entry(5, 7)));
        store.persistSnapshotChunk(chunk(store, 2, 1));
        store.deleteSnapshotChunks(2, 2);
        store.persistSnapshotChunk(chunk(store, 3, 0));
        store.persistSnapshotChunk(chunk(store, 3, 1));
        store.markCaughtUp();
        store.persistAndFlushTerm(
                models.createRaftTermPersistentStateBuilder().setTerm(7).setVotedFor(new VoterEndpoint("b")).build());
        store.flush();
        files.put("vote", Files.readAllBytes(path("vote")));
        files.put("log", Files.readAllBytes(path("log")));
        store.truncateLogEntriesUntil(3);
        store.flush();
        files.put("log-compacted", Files.readAllBytes(path("log")));
        store.close();
        open().close();
        files.put("vote-reopened", Files.readAllBytes(path("vote")));
        directory.replaceFile("known", LeaseMessageCodec.encodeKnownVersions(KNOWN));
        files.put("known", Files.readAllBytes(path("known")));
        return files;
    }

    @Test
    public void writesGoldenFiles() throws Exception {
        Golden.assertSame(FILE, writeFiles());
    }

    private void writeSample(Map<String, byte[]> golden, String sample, String file) throws IOException {
        Files.write(path(file), golden.get(sample));
    }

    @Test
    public void readsGoldenFilesWithoutChangingThem() throws Exception {
        Map<String, byte[]> golden = Golden.read(FILE);
        for (String log : List.of("log", "log-compacted")) {
            writeSample(golden, "vote", "vote");
            writeSample(golden, log, "log");
            DurableStore store = open();
            assertFalse(store.startedEmpty());
            assertEquals(NOW_MICROS + 1, store.incarnation());
            assertEquals(7, store.term());
            assertEquals(0, store.minimumLeaderTerm());
            RestoredRaftState state = store.restoredState();
            assertEquals(new VoterEndpoint("b"), state.getTermPersistentState().getVotedFor());
            assertEquals(3, state.getSnapshotEntry().getIndex());
            assertEquals(6, state.getSnapshotEntry().getTerm());
            List<?> chunks = (List<?>) state.getSnapshotEntry().getOperation();
            assertEquals(2, chunks.size());
            assertArrayEquals(new byte[] {1, -1}, (byte[]) ((SnapshotChunk) chunks.get(1)).getOperation());
            assertEquals(List.of(4L, 5L), state.getLogEntries().stream().map(LogEntry::getIndex).toList());
            assertEquals(List.of(7, 7), state.getLogEntries().stream().map(LogEntry::getTerm).toList());
            assertArrayEquals("entry 5 of 7".getBytes(StandardCharsets.US_ASCII),
                    (byte[]) state.getLogEntries().get(1).getOperation());
            store.close();
            assertArrayEquals(golden.get(log), Files.readAllBytes(path("log")));
            assertArrayEquals(golden.get("vote-reopened"), Files.readAllBytes(path("vote")));
        }
    }

    @Test
    public void restoresUnfinishedCatchUp() throws Exception {
        Map<String, byte[]> golden = Golden.read(FILE);
        writeSample(golden, "vote-learns", "vote");
        writeSample(golden, "log-fresh", "log");
        DurableStore store = open();
        assertEquals(4, store.term());
        assertEquals(5, store.minimumLeaderTerm());
        store.close();
    }

    @Test
    public void readsGoldenKnownVersions() throws Exception {
        writeSample(Golden.read(FILE), "known", "known");
        assertEquals(KNOWN, LeaseMessageCodec
                .decodeKnownVersions(new DurableDirectory(folder.getRoot().toPath()).readRecords("known")));
    }
}
