package wallmoor.migration;

import java.util.List;
import java.util.Map;

/**
 * A node's response to a {@link ReplicaRequest}.
 *
 * @param replica   record of the requested block, after the request
 * @param space     disk space of the node
 * @param checksums checksums of the replica's chunks, where the request computes them; else empty
 * @param load      slowdown of queries by copying, from 0 (none) to 1
 * @param replicas  records by block, in response to {@link ReplicaRequest.ListReplicas}; else empty
 */
public record ReplicaResponse(ResponseCode code, ReplicaRecord replica, DiskSpace space, List<String> checksums,
        double load, Map<String, ReplicaRecord> replicas) {
    /** Outcome of a request. The names are sent on the wire. */
    public enum ResponseCode {
        /** Done, by this request or an earlier one. */
        OK,
        /** Rejected: a request with a higher fencing token was received before. */
        OLD,
        /** Rejected: not enough disk space within the limit. */
        NO_ROOM,
        /** Rejected: the replica's state does not allow it. */
        WRONG,
        /** The source node did not deliver the chunk. */
        NO_SOURCE
    }

    /** Takes copies of the collections. */
    public ReplicaResponse {
        checksums = List.copyOf(checksums);
        replicas = Map.copyOf(replicas);
    }
}
