package wallmoor.migration;

import java.util.List;

/** What is asked of a node about one block. Each is safe to repeat, and safe to come late: its number tells. */
public sealed interface ReplicaRequest {
    /** What it holds of the block, and what room it has. */
    record ReadReplica() implements ReplicaRequest {}

    /**
     * To keep room for a copy.
     *
     * @param sizeBytes  of the whole block
     * @param chunkBytes  bytes of a chunk
     * @param reserveMb     room to keep
     * @param limitMb what the node may hold in all, with what is not ours: its disk less its headroom
     */
    record ReserveSpace(long sizeBytes, int chunkBytes, long reserveMb, long limitMb) implements ReplicaRequest {}

    /**
     * To fetch one chunk from another node, and to write it.
     *
     * @param limitMb as in {@link ReserveSpace}: something else may have filled the disk meanwhile
     */
    record FetchChunk(String source, int chunkIndex, long limitMb) implements ReplicaRequest {}

    /** The sums of a copy's chunks, in order. */
    record ComputeChecksums(int chunkBytes) implements ReplicaRequest {}

    /**
     * To compare its own chunks with these sums: the same, and it takes no chunk any more; else those that differ are
     * missing.
     */
    record Seal(List<String> checksums) implements ReplicaRequest {
        public Seal {
            checksums = List.copyOf(checksums);
        }
    }

    /** To refuse what runs once from now on, with proof that it never ran; answered with the sums of its chunks. */
    record Fence(int chunkBytes) implements ReplicaRequest {}

    /** To run again what runs once. */
    record Unfence() implements ReplicaRequest {}

    /** To run what runs once, as the new owner. */
    record TakeOwnership() implements ReplicaRequest {}

    /** To throw away a copy that was not handed over. */
    record DiscardCopy() implements ReplicaRequest {}

    /** To delete a fenced copy that another has taken over. */
    record DropReplica() implements ReplicaRequest {}

    /** All that the node holds; of no block. */
    record ListReplicas() implements ReplicaRequest {}
}
