package wallmoor.migration;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * What a node holds of a block; it is kept on its disk before it is said.
 *
 * @param fencingToken   the highest that a request about this block came with: lower ones are refused; kept when the
 *                       block is
 *   gone
 * @param sizeBytes   of the whole block; 0 where nothing is held
 * @param chunkBytes   bytes of a chunk; 0 for a copy that was not copied
 * @param reservedMb      room that is kept for it
 * @param missingChunks chunks that it does not have yet
 * @param minMapVersion   the lowest version of the map whose parts that run once may run here
 */
public record ReplicaRecord(ReplicaState state, long fencingToken, long sizeBytes, int chunkBytes, long reservedMb,
        SortedSet<Integer> missingChunks, long minMapVersion) {
    /** Nothing, and nothing was ever asked. */
    public static final ReplicaRecord NONE = new ReplicaRecord(ReplicaState.ABSENT, 0, 0, 0, 0,
            Collections.emptySortedSet(), 0);

    /** What a copy is good for. */
    public enum ReplicaState {
        /** There is none. Whatever is asked of it is refused, with proof that it never ran. */
        ABSENT,
        /** It is being copied. Refuses as well. */
        FILLING,
        /** Confirmed: reads are answered, what runs once is refused. */
        SEALED,
        /** All is run. */
        OWNER,
        /** Reads are answered; what runs once is refused, with proof that it never ran. */
        FENCED
    }

    public ReplicaRecord {
        missingChunks = Collections.unmodifiableSortedSet(new TreeSet<>(missingChunks));
    }

    /** A block that lies there from the start. */
    public static ReplicaRecord owned(long bytes, long mb) {
        return new ReplicaRecord(ReplicaState.OWNER, 0, bytes, 0, mb, Collections.emptySortedSet(), 0);
    }

    /** Whether its content is all there and no longer changes by copying. */
    public boolean isComplete() {
        return state == ReplicaState.SEALED || state == ReplicaState.OWNER || state == ReplicaState.FENCED;
    }

    /** Whether a query that reads is answered. */
    public boolean servesReads() {
        return isComplete();
    }

    /** Whether a part that runs once may run, of a query that was opened under this version of the map. */
    public boolean servesNonIdempotent(long version) {
        return state == ReplicaState.OWNER && version >= minMapVersion;
    }

    /** After a part that runs once was refused, of this version: it never runs here any more, also if told twice. */
    public ReplicaRecord afterRejecting(long version) {
        return version < minMapVersion ? this
                : new ReplicaRecord(state, fencingToken, sizeBytes, chunkBytes, reservedMb, missingChunks, version + 1);
    }

    ReplicaRecord withState(ReplicaState next, long at) {
        return new ReplicaRecord(next, at, sizeBytes, chunkBytes, reservedMb, missingChunks, minMapVersion);
    }

    ReplicaRecord withMissingChunks(ReplicaState next, long at, SortedSet<Integer> lacks) {
        return new ReplicaRecord(next, at, sizeBytes, chunkBytes, reservedMb, lacks, minMapVersion);
    }

    ReplicaRecord asOwner(long at) {
        return new ReplicaRecord(ReplicaState.OWNER, at, sizeBytes, chunkBytes, reservedMb, missingChunks,
                Math.max(minMapVersion, at));
    }

    ReplicaRecord asAbsent(long at) {
        return new ReplicaRecord(ReplicaState.ABSENT, at, 0, 0, 0, Collections.emptySortedSet(), minMapVersion);
    }
}
