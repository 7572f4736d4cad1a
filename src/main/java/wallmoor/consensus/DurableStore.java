package wallmoor.consensus;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.util.Collection;
import java.util.List;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.RecordFile;

/**
 * The stable storage of a voting member that Raft requires: the file {@code vote} ({@link HardState}), which is
 * replaced, and the file {@code log} (entries, truncations and snapshots), which is appended to and rewritten once a
 * snapshot covers its beginning. An entry is on disk before its receipt is acknowledged. Runs on the control thread.
 */
final class DurableStore implements RaftStore {
    private static final String VOTE_FILE = "vote";
    private static final String LOG_FILE = "log";

    private final DurableDirectory directory;
    private final VoterEndpoint self;
    private final RaftModelFactory models = new DefaultRaftModelFactory();
    private final RaftGroupMembersView members;
    private final StoredLog log;
    private final boolean startedEmpty;
    private boolean hasStoredState;
    private HardState state;
    private FileChannel logFile;

    /**
     * Loads the stored state, or creates the files if there is none. Acquires the directory before the first read; the
     * caller closes the directory once nothing can write any more.
     *
     * @param nowMicros the wall clock in microseconds. It becomes the incarnation of this process, unless the clock
     *   went back: then the incarnation is the previous one plus one.
     * @throws StoreInUseException if another process owns the directory; nothing was read or written
     * @throws CorruptDataException if a file is damaged, as votes and acknowledged entries may be lost
     */
    DurableStore(DurableDirectory directory, String self, Collection<String> voters, long nowMicros)
            throws IOException, CorruptDataException {
        directory.own();
        this.directory = directory;
        this.self = new VoterEndpoint(self);
        members = RaftGroup.members(models, voters);
        log = new StoredLog(models, members);
        List<byte[]> vote = directory.readRecords(VOTE_FILE);
        startedEmpty = vote.isEmpty();
        hasStoredState = !startedEmpty;
        if (startedEmpty) {
            state = new HardState(nowMicros, 0, "", 0);
            logFile = directory.createLog(LOG_FILE, List.of());
        } else {
            HardState last = HardState.decode(vote.get(0));
            state = last.withIncarnation(Math.max(nowMicros, last.incarnation() + 1));
            readLog();
            logFile = directory.openLog(LOG_FILE);
            saveState();
        }
    }

    private void readLog() throws IOException, CorruptDataException {
        if (!directory.has(LOG_FILE)) {
            throw new CorruptDataException("file " + VOTE_FILE + " exists but file " + LOG_FILE + " is missing", 0);
        }
        var codec = new LogRecordCodec(models, members);
        for (byte[] record : directory.readLog(LOG_FILE)) {
            codec.decode(record, log);
        }
    }

    private void saveState() throws IOException {
        directory.replaceFile(VOTE_FILE, List.of(state.encode()));
        hasStoredState = true;
    }

    /** Returns whether no state was stored at the start: this member is new or has lost its files. */
    boolean startedEmpty() {
        return startedEmpty;
    }

    /** Returns whether this member's state is on disk, since an earlier process or since {@link #startInTerm}. */
    boolean hasStoredState() {
        return hasStoredState;
    }

    /** Returns the stored {@link RejoiningVoter#minimumLeaderTerm}. */
    int minimumLeaderTerm() {
        return state.minimumLeaderTerm();
    }

    /** Returns the incarnation of this process. */
    long incarnation() {
        return state.incarnation();
    }

    /** Returns the latest term that this member was in. */
    int term() {
        return state.term();
    }

    /** Returns the term of the entry at an index, or -1 if the entry is not stored. */
    int termAt(long index) {
        return log.termAt(index);
    }

    /**
     * Stores the term in which this member starts, and the minimum term of the leader that it must catch up with before
     * it votes (0 for none).
     */
    void startInTerm(int term, int leaderTerm) throws IOException {
        state = state.withTerm(Math.max(state.term(), term)).withMinimumLeaderTerm(leaderTerm);
        saveState();
    }

    /** Stores that this member has caught up and may vote. */
    void markCaughtUp() throws IOException {
        state = state.withMinimumLeaderTerm(0);
        saveState();
    }

    /** Returns the state that the Raft library restores at start. */
    RestoredRaftState restoredState() {
        SnapshotEntry snapshot = log.snapshot();
        long from = snapshot == null ? 0 : snapshot.getIndex();
        VoterEndpoint votedFor = state.votedFor().isEmpty() ? null : new VoterEndpoint(state.votedFor());
        RaftEndpointPersistentState endpoint = models.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(self).setVoting(true).build();
        RaftTermPersistentState term = models.createRaftTermPersistentStateBuilder().setTerm(state.term())
                .setVotedFor(votedFor).build();
        return new RestoredRaftState(endpoint, members, term, snapshot, log.entriesAfter(from));
    }

    /** Closes the log. The term may still be stored: the Raft node does so while it terminates. */
    void close() throws IOException {
        logFile.close();
    }

    // ---- RaftStore ----------------------------------------------------------------------------------------

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) {
        // not stored: the configuration names this member
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView initial) {
        // not stored: the configuration names the voters
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        state = state.withVote(term.getTerm(), VoterEndpoint.nameOf(term.getVotedFor()));
        saveState();
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) throws IOException {
        for (LogEntry entry : added) {
            log.onEntry(entry);
            append(LogRecordCodec.encode(entry));
        }
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        log.onTruncateFrom(index);
        append(LogRecordCodec.encodeTruncateFrom(index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        log.truncateUntil(index);
        logFile.close();
        logFile = directory.createLog(LOG_FILE, log.toRecords());
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        log.onChunk(chunk);
        append(LogRecordCodec.encode(chunk));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        log.onDeleteChunks(index);
        append(LogRecordCodec.encodeDeleteChunks(index));
    }

    @Override
    public void flush() throws IOException {
        logFile.force(false);
    }

    private void append(byte[] record) throws IOException {
        DurableDirectory.write(logFile, RecordFile.encodeRecord(record));
    }
}
