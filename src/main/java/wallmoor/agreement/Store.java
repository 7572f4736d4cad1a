package wallmoor.agreement;

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
import wallmoor.versions.DamagedException;
import wallmoor.versions.Forms;
import wallmoor.versions.Records;

/**
 * What a voter keeps: {@code vote} (its life, the term, whom it voted for, whether it still learns), replaced as a
 * whole, and {@code log} (entries, cuts and snapshots), which grows and is begun anew once a snapshot makes its
 * beginning needless. An entry is on the disk before its coming is confirmed. Used on one thread.
 */
final class Store implements RaftStore {
    private static final String VOTE = "vote";
    private static final String LOG = "log";
    private static final int ENTRY = 1;
    private static final int CUT = 2;
    private static final int CHUNK = 3;
    private static final int DROP = 4;

    private final Directory directory;
    private final Endpoint self;
    private final RaftGroupMembersView members;
    private final DefaultRaftModelFactory models = new DefaultRaftModelFactory();
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();
    private final boolean fresh;
    private long life;
    private int term;
    private String votedFor = "";
    private int least;
    private FileChannel log;

    /**
     * Opens what was kept.
     *
     * @param now wall clock, microseconds; this process' life is that or, where the clock went back, one more than the
     *   last
     */
    Store(Directory directory, String self, Collection<String> voters, long now) throws IOException, DamagedException {
        this.directory = directory;
        this.self = new Endpoint(self);
        List<RaftEndpoint> all = voters.stream().<RaftEndpoint>map(Endpoint::new).toList();
        members = models.createRaftGroupMembersViewBuilder().setLogIndex(0).setMembers(all).setVotingMembers(all)
                .build();
        List<byte[]> vote = directory.whole(VOTE);
        fresh = vote.isEmpty();
        if (fresh) {
            life = now;
            log = directory.begin(LOG, List.of());
        } else {
            var from = new Forms.Reader(vote.get(0)).form();
            life = Math.max(now, from.number() + 1);
            term = (int) from.number();
            votedFor = from.text();
            least = (int) from.number();
            from.end();
            if (!directory.has(LOG)) {
                throw new DamagedException("there is a file " + VOTE + " and no file " + LOG, 0);
            }
            for (byte[] record : directory.grown(LOG)) {
                take(record);
            }
            log = directory.open(LOG);
            vote();
        }
    }

    /** Whether nothing was kept: this voter begins, or has lost all. */
    boolean isFresh() {
        return fresh;
    }

    /** {@link Newcomer#least} as it was kept. */
    int least() {
        return least;
    }

    long life() {
        return life;
    }

    int term() {
        return term;
    }

    /**
     * It takes part from this term on, and learns first from a leader of {@code from} or later, where that is not 0.
     */
    void begin(int in, int from) throws IOException {
        term = Math.max(term, in);
        least = from;
        vote();
    }

    /** It has learned what it must know before it votes. */
    void learned() throws IOException {
        least = 0;
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
    RestoredRaftState restored() {
        SnapshotEntry snapshot = snapshot();
        long from = snapshot == null ? 0 : snapshot.getIndex();
        return new RestoredRaftState(models.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(self).setVoting(true).build(),
                members, models.createRaftTermPersistentStateBuilder().setTerm(term)
                        .setVotedFor(votedFor.isEmpty() ? null : new Endpoint(votedFor)).build(),
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
        votedFor = Endpoint.of(state.getVotedFor());
        vote();
    }

    private void vote() throws IOException {
        directory.replace(VOTE, List.of(new Forms.Writer().number(Forms.FORM).number(life).number(term).text(votedFor)
                .number(least).bytes()));
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
        append(new Forms.Writer().number(CUT).number(index).bytes());
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        entries.headMap(index, true).clear();
        SnapshotEntry snapshot = snapshot();
        if (snapshot != null) {
            chunks.headMap(snapshot.getIndex(), false).clear();
        }
        var all = new ArrayList<byte[]>();
        chunks.values().forEach(of -> of.values().forEach(c -> all.add(Records.write(of(c)))));
        entries.values().forEach(e -> all.add(Records.write(of(e))));
        log.close();
        log = directory.begin(LOG, all);
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        put(chunk);
        append(of(chunk));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        chunks.remove(index);
        append(new Forms.Writer().number(DROP).number(index).bytes());
    }

    @Override
    public void flush() throws IOException {
        log.force(false);
    }

    void close() throws IOException {
        log.close();
    }

    private void append(byte[] record) throws IOException {
        Directory.write(log, Records.write(record));
    }

    private void put(SnapshotChunk chunk) {
        chunks.computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>()).put(chunk.getSnapshotChunkIndex(), chunk);
    }

    private static byte[] of(LogEntry e) {
        return new Forms.Writer().number(ENTRY).number(e.getIndex()).number(e.getTerm()).raw((byte[]) e.getOperation())
                .bytes();
    }

    private static byte[] of(SnapshotChunk c) {
        return new Forms.Writer().number(CHUNK).number(c.getIndex()).number(c.getTerm())
                .number(c.getSnapshotChunkIndex())
                .number(c.getSnapshotChunkCount()).raw((byte[]) c.getOperation()).bytes();
    }

    private void take(byte[] record) throws DamagedException {
        var from = new Forms.Reader(record);
        long type = from.number();
        long index = from.number();
        if (type == ENTRY) {
            entries.put(index, models.createLogEntryBuilder().setIndex(index).setTerm((int) from.number())
                    .setOperation(from.raw()).build());
        } else if (type == CUT) {
            entries.tailMap(index, true).clear();
        } else if (type == DROP) {
            chunks.remove(index);
        } else if (type == CHUNK) {
            put(models.createSnapshotChunkBuilder().setIndex(index).setTerm((int) from.number())
                    .setSnapshotChunkIndex((int) from.number()).setSnapshotChunkCount((int) from.number())
                    .setOperation(from.raw()).setGroupMembersView(members).build());
        } else {
            throw new DamagedException("a record of unknown type " + type, 0);
        }
        from.end();
    }
}
