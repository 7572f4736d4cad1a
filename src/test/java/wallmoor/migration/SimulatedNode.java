package wallmoor.migration;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wallmoor.migration.ReplicaRecord.ReplicaState;
import wallmoor.migration.ReplicaResponse.ResponseCode;

/**
 * A node on the model: what it keeps on its disk, by the rules that real nodes go by. A chunk's content is a number.
 */
final class SimulatedNode {
    final String id;
    final long diskMb;
    final Map<String, ReplicaRecord> held = new TreeMap<>();
    final Map<String, int[]> content = new TreeMap<>();
    long otherMb;
    boolean down;
    double load;

    SimulatedNode(String id, long diskMb) {
        this.id = id;
        this.diskMb = diskMb;
    }

    ReplicaRecord of(String block) {
        return held.getOrDefault(block, ReplicaRecord.NONE);
    }

    DiskSpace room() {
        return new DiskSpace(diskMb, otherMb, held.values().stream().mapToLong(ReplicaRecord::reservedMb).sum());
    }

    /** All but a pull, which takes time. */
    ReplicaResponse answer(String block, long number, ReplicaRequest ask) {
        ReplicaStateMachine.Transition r = ReplicaStateMachine.handle(of(block), number, ask, room(),
                () -> sums(block));
        if (!block.isEmpty()) {
            keep(block, r.replica());
        }
        boolean tells = r.code() == ResponseCode.OK
                && (ask instanceof ReplicaRequest.ComputeChecksums || ask instanceof ReplicaRequest.Fence);
        return new ReplicaResponse(r.code(), r.replica(), room(), tells ? sums(block) : List.of(), load,
                ask instanceof ReplicaRequest.ListReplicas ? held : Map.of());
    }

    /** A chunk has come. */
    ReplicaResponse pulled(String block, long number, int index, int value, long mostMb) {
        ReplicaStateMachine.Transition r = ReplicaStateMachine.handleFetchedChunk(of(block), number, index, room(),
                mostMb);
        if (r.code() == ResponseCode.OK) {
            content.get(block)[index] = value;
            keep(block, r.replica());
        }
        return new ReplicaResponse(r.code(), r.replica(), room(), List.of(), load, Map.of());
    }

    private void keep(String block, ReplicaRecord next) {
        ReplicaRecord was = held.put(block, next);
        if (next.state() == ReplicaState.ABSENT) {
            content.remove(block);
        } else if (next.state() == ReplicaState.FILLING && (was == null || was.state() == ReplicaState.ABSENT)) {
            content.put(block, new int[ReplicaStateMachine.chunkCount(next)]);
        }
    }

    private List<String> sums(String block) {
        var sums = new ArrayList<String>();
        Arrays.stream(content.getOrDefault(block, new int[0])).forEach(v -> sums.add("" + v));
        return sums;
    }
}
