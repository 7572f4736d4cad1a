package wallmoor.migration;

import java.util.List;
import java.util.Map;

/**
 * A node's answer.
 *
 * @param replica  of the block asked for, after what was asked
 * @param checksums  of its chunks, where they were asked for; else empty
 * @param load  0 where queries don't suffer; towards 1 the more they do
 * @param replicas of {@link ReplicaRequest.ListReplicas}: all blocks; else empty
 */
public record ReplicaResponse(ResponseCode code, ReplicaRecord replica, DiskSpace space, List<String> checksums,
        double load, Map<String, ReplicaRecord> replicas) {
    /** What came of what was asked. */
    public enum ResponseCode {
        /** Done, now or before. */
        OK,
        /** A request with a higher number came before. */
        OLD,
        /** There is no room for it within the bound. */
        NO_ROOM,
        /** The copy is not in a state to which this can be done. */
        WRONG,
        /** The other node did not give what was to be fetched. */
        NO_SOURCE
    }

    public ReplicaResponse {
        checksums = List.copyOf(checksums);
        replicas = Map.copyOf(replicas);
    }
}
