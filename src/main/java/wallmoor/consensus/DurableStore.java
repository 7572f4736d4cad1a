package wallmoor.consensus;

import io.microraft.RaftEndpoint;
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
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import wallmoor.rules.ByteReader;
import wallmoor.rules.ByteWriter;
import wallmoor.rules.CorruptDataException;
import wallmoor.rules.LogEntryCodec;
import wallmoor.rules.RecordFile;

/**
 * What a voter keeps: {@code vote} (its life, the term, whom it voted for, whether it still learns), replaced as a
 * whole, and {@code log} (entries, cuts and snapshots), which grows and is begun anew once a snapshot makes its
 * beginning needless. An entry is on the disk before its coming is confirmed. Used on one thread.
 */
final class DurableStore implements RaftStore {
    private static final String VOTE = "vote";
    private static final String LOG = "log";
    private static final int ENTRY = 1;
    private static final int CUT = 2;
    private static final int CHUNK = 3;
    private static final int DROP = 4;

    private final DurableDirectory directory;
    private final VoterEndpoint self;
    private final RaftGroupMembersView members;
    private final DefaultRaftModelFactory models = new DefaultRaftModelFactory();
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();
    private final boolean fresh;
    private long incarnation;
    private int term;
    private String votedFor = "";
    private int minimumLeaderTerm;
    private FileChannel log;

    /**
     * Opens what was kept.
     *
     * @param now wall clock, microseconds; this process' life is that or, where the clock went back, one more than the
     *   last
     */
    DurableStore(DurableDirectory directory, String self, Collection<String> voters, long now)
            throws IOException, CorruptDataException {
        this.directory = directory;
        this.self = new VoterEndpoint(self);
        List<RaftEndpoint> all = voters.stream().<RaftEndpoint>map(VoterEndpoint::new).toList();
        members = models.createRaftGroupMembersViewBuilder().setLogIndex(0).setMembers(all).setVotingMembers(all)
                .build();
        List<byte[]> vote = directory.readRecords(VOTE);
        fresh = vote.isEmpty();
        if (fresh) {
            incarnation = now;
            log = directory.createLog(LOG, List.of());
        } else {
            var from = new ByteReader(vote.get(0)).readFormatVersion();
            incarnation = Math.max(now, from.readLong() + 1);
            term = (int) from.readLong();
            votedFor = from.readText();
            minimumLeaderTerm = (int) from.readLong();
            from.expectEnd();
            if (!directory.has(LOG)) {
                throw new CorruptDataException("there is a file " + VOTE + " and no file " + LOG, 0);
            }
            for (byte[] record : directory.readLog(LOG)) {
                take(record);
            }
            log = directory.openLog(LOG);
            vote();
        }
    }

    /** Whether nothing was kept: this voter begins, or has lost all. */
    boolean startedEmpty() {
        return fresh;
    }

    /** {@link RejoiningVoter#minimumLeaderTerm} as it was kept. */
    int minimumLeaderTerm() {
        return minimumLeaderTerm;
    }

    long incarnation() {
        return incarnation;
    }

    int term() {
        return term;
    }

    /**
     * It takes part from this term on, and learns first from a leader of {@code from} or later, where that is not 0.
     */
    void startInTerm(int in, int from) throws IOException {
        term = Math.max(term, in);
        minimumLeaderTerm = from;
        vote();
    }

    /** It has learned what it must know before it votes. */
    void markCaughtUp() throws IOException {
        minimumLeaderTerm = 0;
        vote();
    }

    /** The term of the entry at an index, as far as that is kept; else -1. */
    int termAt(long index) {
        LogEntry entry = entries.get(index);
        if (entry != null) {
            return entry.getTerm();
        }
        SnapshotEntry snapshot = snapshot();
        return snapshot != null && snapshot.getIndex() == index ? snapshot.getTerm() : -1;
    }

    /** What the library goes on from. */
    RestoredRaftState restoredState() {
        SnapshotEntry snapshot = snapshot();
        long from = snapshot == null ? 0 : snapshot.getIndex();
        return new RestoredRaftState(models.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(self).setVoting(true).build(),
                members, models.createRaftTermPersistentStateBuilder().setTerm(term)
                        .setVotedFor(votedFor.isEmpty() ? null : new VoterEndpoint(votedFor)).build(),
                snapshot,
                List.copyOf(entries.tailMap(from, false).values()));
    }

    /** The last snapshot of which all is there, or null. */
    private SnapshotEntry snapshot() {
        for (var of : chunks.descendingMap().values()) {
            SnapshotChunk any = of.firstEntry().getValue();
            if (of.size() == any.getSnapshotChunkCount()) {
                return models.createSnapshotEntryBuilder().setIndex(any.getIndex()).setTerm(any.getTerm())
                        .setSnapshotChunks(List.copyOf(of.values())).setGroupMembersView(members).build();
            }
        }
        return null;
    }

    // ---- what the library tells ---------------------------------------------------------------------------

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) {
        // the operators' file says who this is
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView initial) {
        // and who votes
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        term = state.getTerm();
        votedFor = VoterEndpoint.of(state.getVotedFor());
        vote();
    }

    private void vote() throws IOException {
        directory.replace(VOTE,
                List.of(new ByteWriter().writeLong(LogEntryCodec.FORMAT_VERSION).writeLong(incarnation)
                        .writeLong(term).writeText(votedFor)
                        .writeLong(minimumLeaderTerm).toByteArray()));
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) throws IOException {
        for (LogEntry e : added) {
            entries.put(e.getIndex(), e);
            append(of(e));
        }
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        entries.tailMap(index, true).clear();
        append(new ByteWriter().writeLong(CUT).writeLong(index).toByteArray());
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        entries.headMap(index, true).clear();
        SnapshotEntry snapshot = snapshot();
        if (snapshot != null) {
            chunks.headMap(snapshot.getIndex(), false).clear();
        }
        var all = new ArrayList<byte[]>();
        chunks.values().forEach(of -> of.values().forEach(c -> all.add(RecordFile.encodeRecord(of(c)))));
        entries.values().forEach(e -> all.add(RecordFile.encodeRecord(of(e))));
        log.close();
        log = directory.createLog(LOG, all);
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        put(chunk);
        append(of(chunk));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        chunks.remove(index);
        append(new ByteWriter().writeLong(DROP).writeLong(index).toByteArray());
    }

    @Override
    public void flush() throws IOException {
        log.force(false);
    }

    void close() throws IOException {
        log.close();
    }

    private void append(byte[] record) throws IOException {
        DurableDirectory.write(log, RecordFile.encodeRecord(record));
    }

    private void put(SnapshotChunk chunk) {
        chunks.computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>()).put(chunk.getSnapshotChunkIndex(), chunk);
    }

    private static byte[] of(LogEntry e) {
        return new ByteWriter().writeLong(ENTRY).writeLong(e.getIndex()).writeLong(e.getTerm())
                .writeBytes((byte[]) e.getOperation())
                .toByteArray();
    }

    private static byte[] of(SnapshotChunk c) {
        return new ByteWriter().writeLong(CHUNK).writeLong(c.getIndex()).writeLong(c.getTerm())
                .writeLong(c.getSnapshotChunkIndex())
                .writeLong(c.getSnapshotChunkCount()).writeBytes((byte[]) c.getOperation()).toByteArray();
    }

    private void take(byte[] record) throws CorruptDataException {
        var from = new ByteReader(record);
        long type = from.readLong();
        long index = from.readLong();
        if (type == ENTRY) {
            entries.put(index, models.createLogEntryBuilder().setIndex(index).setTerm((int) from.readLong())
                    .setOperation(from.readBytes()).build());
        } else if (type == CUT) {
            entries.tailMap(index, true).clear();
        } else if (type == DROP) {
            chunks.remove(index);
        } else if (type == CHUNK) {
            put(models.createSnapshotChunkBuilder().setIndex(index).setTerm((int) from.readLong())
                    .setSnapshotChunkIndex((int) from.readLong()).setSnapshotChunkCount((int) from.readLong())
                    .setOperation(from.readBytes()).setGroupMembersView(members).build());
        } else {
            throw new CorruptDataException("a record of unknown type " + type, 0);
        }
        from.expectEnd();
    }
}
