package wallmoor.migration;

import java.util.List;

/**
 * A request to a node about its replica of one block. Every request is idempotent, and harmless when it arrives late:
 * it carries a fencing token, and a node rejects tokens lower than the highest it has received for the block.
 */
public sealed interface ReplicaRequest {
    /** Returns the operation's name, on the wire and in messages for operators. */
    String operation();

    /** Reads the replica's record and the node's disk space. */
    record ReadReplica() implements ReplicaRequest {
        @Override
        public String operation() {
            return "look";
        }
    }

    /**
     * Reserves disk space for a copy (admission by capacity).
     *
     * @param sizeBytes  of the complete block
     * @param chunkBytes size of a chunk
     * @param reserveMb  megabytes to reserve
     * @param limitMb    megabytes that the node may store in total, other data included: its disk less its headroom
     */
    record ReserveSpace(long sizeBytes, int chunkBytes, long reserveMb, long limitMb) implements ReplicaRequest {
        @Override
        public String operation() {
            return "prepare";
        }
    }

    /**
     * Fetches one chunk from another node and writes it.
     *
     * @param source     node to fetch from
     * @param chunkIndex from 0
     * @param limitMb    as in {@link ReserveSpace}; checked again, as other data may have filled the disk since
     */
    record FetchChunk(String source, int chunkIndex, long limitMb) implements ReplicaRequest {
        @Override
        public String operation() {
            return "pull";
        }
    }

    /** Computes the checksums of a replica's chunks, in order. */
    record ComputeChecksums(int chunkBytes) implements ReplicaRequest {
        @Override
        public String operation() {
            return "sums";
        }
    }

    /**
     * Compares the replica's own chunks with these checksums. If all are equal the replica is sealed and accepts no
     * more chunks; otherwise the chunks that differ are recorded as missing.
     */
    record Seal(List<String> checksums) implements ReplicaRequest {
        /** Takes a copy of the list. */
        public Seal {
            checksums = List.copyOf(checksums);
        }

        @Override
        public String operation() {
            return "seal";
        }
    }

    /**
     * Rejects non-idempotent parts from now on, with proof that they never ran. Answered with the checksums of the
     * replica's chunks.
     */
    record Fence(int chunkBytes) implements ReplicaRequest {
        @Override
        public String operation() {
            return "fence";
        }
    }

    /** Accepts non-idempotent parts again after a {@link Fence}. */
    record Unfence() implements ReplicaRequest {
        @Override
        public String operation() {
            return "unfence";
        }
    }

    /** Makes a sealed replica an owner, which accepts non-idempotent parts. */
    record TakeOwnership() implements ReplicaRequest {
        @Override
        public String operation() {
            return "admit";
        }
    }

    /** Deletes a copy whose migration was abandoned. */
    record DiscardCopy() implements ReplicaRequest {
        @Override
        public String operation() {
            return "discard";
        }
    }

    /** Deletes a fenced replica whose successor owns the block. */
    record DropReplica() implements ReplicaRequest {
        @Override
        public String operation() {
            return "drop";
        }
    }

    /** Lists all replicas of the node; refers to no block. */
    record ListReplicas() implements ReplicaRequest {
        @Override
        public String operation() {
            return "tell";
        }
    }
}
