package wallmoor.consensus;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import wallmoor.rules.ByteReader;
import wallmoor.rules.ByteWriter;
import wallmoor.rules.CorruptDataException;

/**
 * Encodes and decodes the records of the file {@code log} of a voting member. Old files must stay readable, so the
 * number of a record type is never reused.
 */
final class LogRecordCodec {
    /** Receives the content of decoded records. */
    interface Visitor {
        void onEntry(LogEntry entry);

        /** Handles the truncation of the entries from an index on, which a new leader has overwritten. */
        void onTruncateFrom(long index);

        void onChunk(SnapshotChunk chunk);

        /** Handles the deletion of all chunks of a snapshot. */
        void onDeleteChunks(long index);
    }

    private static final int ENTRY = 1;
    private static final int TRUNCATE_FROM = 2;
    private static final int CHUNK = 3;
    private static final int DELETE_CHUNKS = 4;

    private final RaftModelFactory models;
    private final RaftGroupMembersView members;

    LogRecordCodec(RaftModelFactory models, RaftGroupMembersView members) {
        this.models = models;
        this.members = members;
    }

    static byte[] encode(LogEntry entry) {
        return new ByteWriter().writeLong(ENTRY).writeLong(entry.getIndex()).writeLong(entry.getTerm())
                .writeBytes((byte[]) entry.getOperation()).toByteArray();
    }

    static byte[] encode(SnapshotChunk chunk) {
        return new ByteWriter().writeLong(CHUNK).writeLong(chunk.getIndex()).writeLong(chunk.getTerm())
                .writeLong(chunk.getSnapshotChunkIndex()).writeLong(chunk.getSnapshotChunkCount())
                .writeBytes((byte[]) chunk.getOperation()).toByteArray();
    }

    static byte[] encodeTruncateFrom(long index) {
        return new ByteWriter().writeLong(TRUNCATE_FROM).writeLong(index).toByteArray();
    }

    static byte[] encodeDeleteChunks(long index) {
        return new ByteWriter().writeLong(DELETE_CHUNKS).writeLong(index).toByteArray();
    }

    void decode(byte[] record, Visitor visitor) throws CorruptDataException {
        var from = new ByteReader(record);
        long type = from.readLong();
        long index = from.readLong();
        if (type == ENTRY) {
            visitor.onEntry(models.createLogEntryBuilder().setIndex(index).setTerm((int) from.readLong())
                    .setOperation(from.readBytes()).build());
        } else if (type == TRUNCATE_FROM) {
            visitor.onTruncateFrom(index);
        } else if (type == DELETE_CHUNKS) {
            visitor.onDeleteChunks(index);
        } else if (type == CHUNK) {
            visitor.onChunk(models.createSnapshotChunkBuilder().setIndex(index).setTerm((int) from.readLong())
                    .setSnapshotChunkIndex((int) from.readLong()).setSnapshotChunkCount((int) from.readLong())
                    .setOperation(from.readBytes()).setGroupMembersView(members).build());
        } else {
            throw new CorruptDataException("unknown log record type " + type, 0);
        }
        from.expectEnd();
    }
}
