package wallmoor.consensus;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import wallmoor.rules.RecordFile;

/** The content of the file {@code log} of a voting member in memory: entries and the chunks of snapshots. */
final class StoredLog implements LogRecordCodec.Visitor {
    private final RaftModelFactory models;
    private final RaftGroupMembersView members;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

    StoredLog(RaftModelFactory models, RaftGroupMembersView members) {
        this.models = models;
        this.members = members;
    }

    @Override
    public void onEntry(LogEntry entry) {
        entries.put(entry.getIndex(), entry);
    }

    @Override
    public void onTruncateFrom(long index) {
        entries.tailMap(index, true).clear();
    }

    @Override
    public void onChunk(SnapshotChunk chunk) {
        chunks.computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>()).put(chunk.getSnapshotChunkIndex(), chunk);
    }

    @Override
    public void onDeleteChunks(long index) {
        chunks.remove(index);
    }

    /** Removes what the last complete snapshot covers: entries up to an index, and older snapshots. */
    void truncateUntil(long index) {
        entries.headMap(index, true).clear();
        SnapshotEntry snapshot = snapshot();
        if (snapshot != null) {
            chunks.headMap(snapshot.getIndex(), false).clear();
        }
    }

    /** Returns the last snapshot of which all chunks are present, or null. */
    SnapshotEntry snapshot() {
        for (TreeMap<Integer, SnapshotChunk> snapshot : chunks.descendingMap().values()) {
            SnapshotChunk any = snapshot.firstEntry().getValue();
            if (snapshot.size() == any.getSnapshotChunkCount()) {
                return models.createSnapshotEntryBuilder().setIndex(any.getIndex()).setTerm(any.getTerm())
                        .setSnapshotChunks(List.copyOf(snapshot.values())).setGroupMembersView(members).build();
            }
        }
        return null;
    }

    /** Returns the entries after an index. */
    List<LogEntry> entriesAfter(long index) {
        return List.copyOf(entries.tailMap(index, false).values());
    }

    /** Returns the term of the entry at an index, or -1 if the entry is not stored. */
    int termAt(long index) {
        LogEntry entry = entries.get(index);
        if (entry != null) {
            return entry.getTerm();
        }
        SnapshotEntry snapshot = snapshot();
        return snapshot != null && snapshot.getIndex() == index ? snapshot.getTerm() : -1;
    }

    /** Returns the complete content as the encoded records of a new file. */
    List<byte[]> toRecords() {
        var records = new ArrayList<byte[]>();
        chunks.values().forEach(snapshot -> snapshot.values()
                .forEach(chunk -> records.add(RecordFile.encodeRecord(LogRecordCodec.encode(chunk)))));
        entries.values().forEach(entry -> records.add(RecordFile.encodeRecord(LogRecordCodec.encode(entry))));
        return records;
    }
}
