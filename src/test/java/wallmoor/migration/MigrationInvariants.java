package wallmoor.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.migration.ReplicaRecord.ReplicaState;
import wallmoor.placement.BlockReplicas;
import wallmoor.placement.PlacementProblem;

/**
 * Tracks the expected content of each copy of a block, and checks the simulation against it. Apart from the states that
 * nodes report it is independent of the code under test. Copies with equal contents are interchangeable here.
 */
final class MigrationInvariants {
    private final MigrationSimulation simulation;
    /** Expected content of each initial copy, wherever it is now, by block. */
    private final Map<String, List<int[]>> expectedContents = new HashMap<>();
    private final Map<String, Set<String>> pastContents = new HashMap<>();
    private final Map<String, Long> previousMb = new HashMap<>();
    private final Map<Integer, String> nodeByPart = new HashMap<>();
    int readCount;

    MigrationInvariants(MigrationSimulation simulation) {
        this.simulation = simulation;
        for (BlockReplicas b : simulation.problem.blocks()) {
            expectedContents.put(b.id(), new ArrayList<>());
            pastContents.put(b.id(), new HashSet<>());
            b.holders().forEach(n -> {
                int[] content = simulation.nodes.get(n).chunksByBlock.get(b.id()).clone();
                expectedContents.get(b.id()).add(content);
                pastContents.get(b.id()).add(Arrays.toString(content));
            });
        }
    }

    void check(boolean isFulfilled, String failure) {
        if (!isFulfilled) {
            throw new AssertionError(
                    failure + " at " + simulation.now + ", version " + simulation.activeVersion + ": "
                            + simulation.plan.migrations());
        }
    }

    void checkEqual(MigrationPlan expected, MigrationPlan decoded) {
        assertEquals(expected, decoded);
    }

    /** Checks all replicas and disks; called after each step. */
    void checkReplicas() {
        for (SimulatedNode n : simulation.nodes.values()) {
            long replicasMb = n.diskSpace().replicasMb();
            long usableMb = n.diskMb * (PlacementProblem.MILLION - simulation.problem.headroom())
                    / PlacementProblem.MILLION;
            check(replicasMb <= usableMb, n.id + " holds " + replicasMb + " MB of replicas, allowed: " + usableMb);
            check(replicasMb <= previousMb.getOrDefault(n.id, replicasMb) || replicasMb + n.otherMb <= usableMb,
                    n.id + " added replicas beyond its usable space");
            previousMb.put(n.id, replicasMb);
        }
        expectedContents.forEach((block, expectedCopies) -> {
            long owners = simulation.nodes.values().stream().filter(n -> n.replica(block).state() == ReplicaState.OWNER)
                    .count();
            check(owners <= expectedCopies.size(), owners + " nodes accept non-idempotent parts of " + block);
            var presentContents = new ArrayList<String>();
            simulation.nodes.values().stream().filter(n -> n.replica(block).isComplete())
                    .forEach(n -> presentContents.add(Arrays.toString(n.chunksByBlock.get(block))));
            expectedCopies.forEach(c -> check(presentContents.remove(Arrays.toString(c)),
                    "a copy of " + block + " was lost: " + Arrays.toString(c)));
        });
    }

    boolean hasRun(int id, SimulatedNode node) {
        return node.id.equals(nodeByPart.get(id));
    }

    /** Records that a non-idempotent part runs on this node, and checks that it may. */
    void onPartRun(int id, String block, SimulatedNode node) {
        String previousNode = nodeByPart.put(id, node.id);
        check(previousNode == null, "part " + id + " ran on " + previousNode + " and on " + node.id);
        int[] content = node.chunksByBlock.get(block);
        int[] expectedCopy = expectedContents.get(block).stream().filter(c -> Arrays.equals(c, content)).findFirst()
                .orElse(null);
        check(expectedCopy != null, "a part ran on a replica of " + block + " at " + node.id
                + " that is not a current copy");
        content[id % content.length] = id;
        expectedCopy[id % expectedCopy.length] = id;
        pastContents.get(block).add(Arrays.toString(content));
    }

    /** Checks a read by a query whose plan version lists this node as an owner of the block. */
    void onRead(String block, long version, SimulatedNode node) {
        if (!node.isDown) {
            readCount++;
            check(node.replica(block).servesReads()
                    && pastContents.get(block).contains(Arrays.toString(node.chunksByBlock.get(block))),
                    "version " + version + " lists " + node.id + " as owner of " + block + ", but its replica is "
                            + node.replica(block).state());
        }
    }
}
