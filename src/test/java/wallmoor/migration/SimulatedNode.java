package wallmoor.migration;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wallmoor.migration.ReplicaRecord.ReplicaState;
import wallmoor.migration.ReplicaResponse.ResponseCode;

/** A simulated node and its disk, with the state machine of real nodes. The content of a chunk is one number. */
final class SimulatedNode {
    final String id;
    final long diskMb;
    final Map<String, ReplicaRecord> replicas = new TreeMap<>();
    final Map<String, int[]> chunksByBlock = new TreeMap<>();
    long otherMb;
    boolean isDown;
    double load;

    SimulatedNode(String id, long diskMb) {
        this.id = id;
        this.diskMb = diskMb;
    }

    ReplicaRecord replica(String block) {
        return replicas.getOrDefault(block, ReplicaRecord.NONE);
    }

    DiskSpace diskSpace() {
        return new DiskSpace(diskMb, otherMb, replicas.values().stream().mapToLong(ReplicaRecord::reservedMb).sum());
    }

    /** Handles a request; of {@link ReplicaRequest.FetchChunk} only the decision whether to fetch. */
    ReplicaResponse handle(String block, long token, ReplicaRequest request) {
        ReplicaStateMachine.Transition transition = ReplicaStateMachine.handle(replica(block), token, request,
                diskSpace(),
                () -> checksums(block));
        if (!block.isEmpty()) {
            store(block, transition.replica());
        }
        boolean hasChecksums = transition.code() == ResponseCode.OK
                && (request instanceof ReplicaRequest.ComputeChecksums || request instanceof ReplicaRequest.Fence);
        return new ReplicaResponse(transition.code(), transition.replica(), diskSpace(), hasChecksums ? checksums(block)
                : List.of(), load,
                request instanceof ReplicaRequest.ListReplicas ? replicas : Map.of());
    }

    /** Handles a fetched chunk. */
    ReplicaResponse handleFetchedChunk(String block, long token, int chunkIndex, int value, long limitMb) {
        ReplicaStateMachine.Transition transition = ReplicaStateMachine.handleFetchedChunk(replica(block), token,
                chunkIndex, diskSpace(),
                limitMb);
        if (transition.code() == ResponseCode.OK) {
            chunksByBlock.get(block)[chunkIndex] = value;
            store(block, transition.replica());
        }
        return new ReplicaResponse(transition.code(), transition.replica(), diskSpace(), List.of(), load, Map.of());
    }

    private void store(String block, ReplicaRecord next) {
        ReplicaRecord previous = replicas.put(block, next);
        if (next.state() == ReplicaState.ABSENT) {
            chunksByBlock.remove(block);
        } else if (next.state() == ReplicaState.FILLING
                && (previous == null || previous.state() == ReplicaState.ABSENT)) {
            chunksByBlock.put(block, new int[ReplicaStateMachine.chunkCount(next)]);
        }
    }

    private List<String> checksums(String block) {
        var checksums = new ArrayList<String>();
        Arrays.stream(chunksByBlock.getOrDefault(block, new int[0])).forEach(v -> checksums.add("" + v));
        return checksums;
    }
}
