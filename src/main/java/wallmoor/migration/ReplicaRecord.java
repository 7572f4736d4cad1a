package wallmoor.migration;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * A node's durable record of its replica of one block. A node writes it to disk before it answers.
 *
 * @param fencingToken  the highest token of any request about the block; lower ones are rejected. Kept after the
 *                      replica is gone
 * @param sizeBytes     of the complete block; 0 without a replica
 * @param chunkBytes    size of a chunk; 0 for a replica that was not migrated here
 * @param reservedMb    disk space reserved for it, in megabytes
 * @param missingChunks indexes of chunks not written yet
 * @param minMapVersion the lowest version of the map whose non-idempotent parts may run here
 */
public record ReplicaRecord(ReplicaState state, long fencingToken, long sizeBytes, int chunkBytes, long reservedMb,
        SortedSet<Integer> missingChunks, long minMapVersion) {
    /** No replica, and no request ever. */
    public static final ReplicaRecord NONE = new ReplicaRecord(ReplicaState.ABSENT, 0, 0, 0, 0,
            Collections.emptySortedSet(), 0);

    /** What a replica may serve. The names are sent on the wire and stored. */
    public enum ReplicaState {
        /** No replica. Every part is rejected, with proof that it never ran. */
        ABSENT,
        /** Being copied. Every part is rejected as well. */
        FILLING,
        /** Verified: serves reads, rejects non-idempotent parts. */
        SEALED,
        /** Serves everything. */
        OWNER,
        /** Serves reads; rejects non-idempotent parts, with proof that they never ran. */
        FENCED
    }

    /** Takes a copy of the set. */
    public ReplicaRecord {
        missingChunks = Collections.unmodifiableSortedSet(new TreeSet<>(missingChunks));
    }

    /** A replica that the node has owned from the start. */
    public static ReplicaRecord owned(long sizeBytes, long reservedMb) {
        return new ReplicaRecord(ReplicaState.OWNER, 0, sizeBytes, 0, reservedMb, Collections.emptySortedSet(), 0);
    }

    /** Whether all content is there, and copying no longer changes it. */
    public boolean isComplete() {
        return state == ReplicaState.SEALED || state == ReplicaState.OWNER || state == ReplicaState.FENCED;
    }

    /** Whether a query that only reads is answered. */
    public boolean servesReads() {
        return isComplete();
    }

    /** Whether a non-idempotent part may run, of a query that was opened under this version of the map. */
    public boolean servesNonIdempotent(long mapVersion) {
        return state == ReplicaState.OWNER && mapVersion >= minMapVersion;
    }

    /**
     * The record after a non-idempotent part of this map version was rejected. The rejection is proof that the part
     * never ran, so no part of that version or of an older one may run here afterwards, whatever the replica becomes.
     */
    public ReplicaRecord afterRejecting(long mapVersion) {
        return mapVersion < minMapVersion ? this
                : new ReplicaRecord(state, fencingToken, sizeBytes, chunkBytes, reservedMb, missingChunks,
                        mapVersion + 1);
    }

    ReplicaRecord withState(ReplicaState next, long token) {
        return new ReplicaRecord(next, token, sizeBytes, chunkBytes, reservedMb, missingChunks, minMapVersion);
    }

    ReplicaRecord withMissingChunks(ReplicaState next, long token, SortedSet<Integer> missing) {
        return new ReplicaRecord(next, token, sizeBytes, chunkBytes, reservedMb, missing, minMapVersion);
    }

    ReplicaRecord asOwner(long token) {
        return new ReplicaRecord(ReplicaState.OWNER, token, sizeBytes, chunkBytes, reservedMb, missingChunks,
                Math.max(minMapVersion, token));
    }

    ReplicaRecord asAbsent(long token) {
        return new ReplicaRecord(ReplicaState.ABSENT, token, 0, 0, 0, Collections.emptySortedSet(), minMapVersion);
    }
}
