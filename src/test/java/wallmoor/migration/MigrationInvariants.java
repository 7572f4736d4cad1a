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
 * Knows the truth: what each of a block's copies has come to by all that ran on it. It shares nothing with what decides
 * but what nodes say that they are. Copies of one content may be taken for each other: no harm can come of that.
 */
final class MigrationInvariants {
    private final MigrationSimulation world;
    /** By block, what each copy must hold that the fleet began with, whoever has it now. */
    private final Map<String, List<int[]>> truth = new HashMap<>();
    private final Map<String, Set<String>> history = new HashMap<>();
    private final Map<String, Long> heldMb = new HashMap<>();
    private final Map<Integer, String> ran = new HashMap<>();
    int reads;

    MigrationInvariants(MigrationSimulation world) {
        this.world = world;
        for (BlockReplicas b : world.fleet.blocks()) {
            truth.put(b.id(), new ArrayList<>());
            history.put(b.id(), new HashSet<>());
            b.holders().forEach(n -> {
                int[] content = world.nodes.get(n).content.get(b.id()).clone();
                truth.get(b.id()).add(content);
                history.get(b.id()).add(Arrays.toString(content));
            });
        }
    }

    void check(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(
                    what + " at " + world.now + ", version " + world.number + ": " + world.state.migrations());
        }
    }

    void same(MigrationPlan said, MigrationPlan read) {
        assertEquals(said, read);
    }

    /** After each step of time. */
    void look() {
        for (SimulatedNode n : world.nodes.values()) {
            long mb = n.room().replicasMb();
            long usable = n.diskMb * (PlacementProblem.MILLION - world.fleet.headroom()) / PlacementProblem.MILLION;
            check(mb <= usable, n.id + " holds " + mb + " MB of " + usable);
            check(mb <= heldMb.getOrDefault(n.id, mb) || mb + n.otherMb <= usable,
                    n.id + " takes what it has no room for");
            heldMb.put(n.id, mb);
        }
        truth.forEach((block, copies) -> {
            long owners = world.nodes.values().stream().filter(n -> n.of(block).state() == ReplicaState.OWNER).count();
            check(owners <= copies.size(), owners + " run what runs once of " + block);
            var there = new ArrayList<String>();
            world.nodes.values().stream().filter(n -> n.of(block).isComplete())
                    .forEach(n -> there.add(Arrays.toString(n.content.get(block))));
            copies.forEach(c -> check(there.remove(Arrays.toString(c)),
                    "a copy of " + block + " is lost: " + Arrays.toString(c)));
        });
    }

    boolean ranOn(int id, SimulatedNode node) {
        return node.id.equals(ran.get(id));
    }

    /** A part that runs once runs here. */
    void ran(int id, String block, SimulatedNode node) {
        String before = ran.put(id, node.id);
        check(before == null, "part " + id + " ran on " + before + " and on " + node.id);
        int[] content = node.content.get(block);
        int[] copy = truth.get(block).stream().filter(c -> Arrays.equals(c, content)).findFirst().orElse(null);
        check(copy != null, "a part ran on a copy of " + block + " at " + node.id + " that is over");
        content[id % content.length] = id;
        copy[id % copy.length] = id;
        history.get(block).add(Arrays.toString(content));
    }

    /** A query reads here, of which its map says that a whole copy is here. */
    void read(String block, long version, SimulatedNode node) {
        if (!node.down) {
            reads++;
            check(node.of(block).servesReads() && history.get(block).contains(Arrays.toString(node.content.get(block))),
                    "version " + version + " says that " + node.id + " holds " + block + ", but it has "
                            + node.of(block).state());
        }
    }
}
