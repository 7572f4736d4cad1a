package wallmoor.migration;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * A node's durable record of its replica of one block. A node writes it to disk before it answers.
 *
 * @param fencingToken  the highest token of any request about the block; lower ones are rejected. Retained after the
 *                      replica is deleted
 * @param sizeBytes     size of the complete block; 0 without a replica
 * @param chunkBytes    size of a chunk; 0 for a replica that was not migrated here
 * @param reservedMb    disk space reserved for it, in megabytes
 * @param missingChunks indexes of chunks not written yet
 * @param minMapVersion the lowest version of the routing map whose non-idempotent parts may run here
 */
public record ReplicaRecord(ReplicaState state, long fencingToken, long sizeBytes, int chunkBytes, long reservedMb,
        SortedSet<Integer> missingChunks, long minMapVersion) {
    /** The record of a block without a replica on this node, and without any request so far. */
    public static final ReplicaRecord NONE = new ReplicaRecord(ReplicaState.ABSENT, 0, 0, 0, 0,
            Collections.emptySortedSet(), 0);

    /** The state of a replica, which decides what it serves. The names are sent on the wire and stored. */
    public enum ReplicaState {
        /** No replica. Every part is rejected, with proof that it never ran. */
        ABSENT,
        /** Being copied. Every part is rejected, with proof that it never ran. */
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

    /** Returns the record of a replica that the node has owned from the start. */
    public static ReplicaRecord owned(long sizeBytes, long reservedMb) {
        return new ReplicaRecord(ReplicaState.OWNER, 0, sizeBytes, 0, reservedMb, Collections.emptySortedSet(), 0);
    }

    /** Returns whether the replica has all content, and copying no longer changes it. */
    public boolean isComplete() {
        return state == ReplicaState.SEALED || state == ReplicaState.OWNER || state == ReplicaState.FENCED;
    }

    /** Returns whether a query that only reads is served. */
    public boolean servesReads() {
        return isComplete();
    }

    /** Returns whether a non-idempotent part may run, of a query opened under this version of the routing map. */
    public boolean servesNonIdempotent(long mapVersion) {
        return state == ReplicaState.OWNER && mapVersion >= minMapVersion;
    }

    /**
     * Returns the record after a non-idempotent part of this map version was rejected. The rejection is proof that the
     * part never ran, so no part of that version or an older one may run here later, in any state of the replica.
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
