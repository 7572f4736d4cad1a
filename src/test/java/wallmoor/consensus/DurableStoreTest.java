package wallmoor.consensus;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.persistence.RestoredRaftState;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import wallmoor.rules.CorruptDataException;

/** Guards against the loss of stored votes, terms and log entries on restart, also after an interrupted write. */
public class DurableStoreTest {
    private static final List<String> VOTERS = List.of("a", "b", "c");

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();
    private final DefaultRaftModelFactory models = new DefaultRaftModelFactory();

    /** The lock of the store that is open; the end of a process would release it. */
    private DurableDirectory owned;

    /** Opens the store as the next process does, after the end of the one before. */
    private DurableStore open() throws Exception {
        if (owned != null) {
            owned.close();
        }
        owned = new DurableDirectory(folder.getRoot().toPath());
        return new DurableStore(owned, "a", VOTERS, 1_000);
    }

    /** Opens a copy of the files as they are now, while the store that is open continues. */
    private DurableStore openCopy() throws Exception {
        Path copy = folder.newFolder().toPath();
        for (String file : List.of("vote", "log")) {
            Files.copy(folder.getRoot().toPath().resolve(file), copy.resolve(file));
        }
        return new DurableStore(new DurableDirectory(copy), "a", VOTERS, 1_000);
    }

    private Path log() {
        return folder.getRoot().toPath().resolve("log");
    }

    private LogEntry entry(long index, int term) {
        return models.createLogEntryBuilder().setIndex(index).setTerm(term)
                .setOperation(("entry " + index + " of " + term).getBytes(StandardCharsets.US_ASCII)).build();
    }

    private void vote(DurableStore store, int term, String candidate) throws Exception {
        store.persistAndFlushTerm(
                models.createRaftTermPersistentStateBuilder().setTerm(term).setVotedFor(new VoterEndpoint(candidate))
                        .build());
    }

    private void chunk(DurableStore store, long index, int number, int count) throws Exception {
        store.persistSnapshotChunk(
                models.createSnapshotChunkBuilder().setIndex(index).setTerm(3).setSnapshotChunkIndex(number)
                        .setSnapshotChunkCount(count).setOperation(new byte[] {(byte) number}).setGroupMembersView(
                                store.restoredState().getInitialGroupMembers())
                        .build());
    }

    /** Guards against a second process that replaces the log of a voter that runs, as in review case 7. */
    @Test
    public void refusesASecondOwnerAndLeavesTheFilesAsTheyAre() throws Exception {
        DurableStore store = open();
        Object fileBefore = Files.readAttributes(log(), BasicFileAttributes.class).fileKey();
        var second = new DurableDirectory(folder.getRoot().toPath());
        assertThrows(StoreInUseException.class, () -> new DurableStore(second, "a", VOTERS, 1_000));
        assertThrows(IllegalStateException.class, () -> second.replaceFile("known", List.of()));
        assertThrows(IllegalStateException.class, () -> second.readLog("log"));
        assertEquals(fileBefore, Files.readAttributes(log(), BasicFileAttributes.class).fileKey());
        store.close();
        owned.close();
        assertTrue("free after the end of the owner", second.tryOwn());
    }

    /** Guards against a lock that is released too early: the leader's last write at a shutdown failed. */
    @Test
    public void storesTheTermThatIsWrittenAfterTheStoreWasClosed() throws Exception {
        DurableStore store = open();
        store.startInTerm(0, 0);
        store.close();
        vote(store, 5, "b");
        assertEquals(5, open().term());
    }

    @Test
    public void restoresVoteAndTermAndIncreasesIncarnation() throws Exception {
        DurableStore first = open();
        assertTrue(first.startedEmpty());
        first.startInTerm(0, 0);
        vote(first, 4, "b");
        DurableStore second = open();
        assertFalse(second.startedEmpty());
        assertTrue(second.incarnation() > first.incarnation());
        assertEquals(4, second.restoredState().getTermPersistentState().getTerm());
        assertEquals(new VoterEndpoint("b"), second.restoredState().getTermPersistentState().getVotedFor());
        second.startInTerm(2, 9);
        assertEquals(4, open().term());
        assertEquals(9, open().minimumLeaderTerm());
    }

    /** Appends and truncates entries in random order and compares the restored log with a model. */
    @Test
    public void restoresEntriesEqualToModelOverManyRestarts() throws Exception {
        var random = new Random(11);
        var model = new TreeMap<Long, LogEntry>();
        DurableStore store = open();
        store.startInTerm(0, 0);
        for (int step = 0; step < 300; step++) {
            long last = model.isEmpty() ? 0 : model.lastKey();
            if (random.nextInt(4) > 0) {
                LogEntry added = entry(last + 1, step);
                model.put(last + 1, added);
                store.persistLogEntries(List.of(added));
            } else if (last > 0) {
                long from = 1 + random.nextLong(last);
                model.tailMap(from, true).clear();
                store.truncateLogEntriesFrom(from);
            }
            store.flush();
            if (random.nextInt(10) == 0) {
                store = open();
                List<LogEntry> restored = store.restoredState().getLogEntries();
                assertEquals(List.copyOf(model.keySet()), restored.stream().map(LogEntry::getIndex).toList());
                for (LogEntry e : restored) {
                    assertEquals(model.get(e.getIndex()).getTerm(), e.getTerm());
                    assertArrayEquals((byte[]) model.get(e.getIndex()).getOperation(), (byte[]) e.getOperation());
                }
            }
        }
    }

    @Test
    public void restoresOnlyCompleteSnapshotAndCompactsLog() throws Exception {
        DurableStore store = open();
        store.startInTerm(0, 0);
        store.persistLogEntries(LongStream.rangeClosed(1, 20).mapToObj(i -> entry(i, 3)).toList());
        chunk(store, 10, 0, 2);
        assertEquals(null, openCopy().restoredState().getSnapshotEntry());
        chunk(store, 10, 1, 2);
        long sizeBefore = Files.size(log());
        store.truncateLogEntriesUntil(10);
        assertTrue(Files.size(log()) < sizeBefore);
        store.persistLogEntries(List.of(entry(21, 3)));
        store.flush();
        DurableStore reopened = open();
        RestoredRaftState state = reopened.restoredState();
        assertEquals(10, state.getSnapshotEntry().getIndex());
        assertEquals(11, state.getLogEntries().size());
        assertEquals(11, state.getLogEntries().get(0).getIndex());
        assertEquals(3, reopened.termAt(10));
        assertEquals(-1, reopened.termAt(9));
    }

    @Test
    public void truncatesTornTailAndRejectsDamagedLog() throws Exception {
        DurableStore store = open();
        store.startInTerm(0, 0);
        store.persistLogEntries(List.of(entry(1, 1), entry(2, 1)));
        store.flush();
        byte[] complete = Files.readAllBytes(log());
        for (int length = complete.length - 1; length > complete.length / 2; length--) {
            Files.write(log(), java.util.Arrays.copyOf(complete, length));
            assertEquals(1, open().restoredState().getLogEntries().size());
        }
        open().persistLogEntries(List.of(entry(2, 2)));
        assertEquals(2, open().restoredState().getLogEntries().get(1).getTerm());
        byte[] bytes = Files.readAllBytes(log());
        bytes[20] ^= 1;
        Files.write(log(), bytes, StandardOpenOption.TRUNCATE_EXISTING);
        assertThrows(CorruptDataException.class, this::open);
        Files.delete(log());
        assertThrows(CorruptDataException.class, this::open);
    }
}
