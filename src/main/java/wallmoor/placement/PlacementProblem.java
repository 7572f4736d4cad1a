package wallmoor.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Nodes, the blocks that they hold, and the requirements on the final placement.
 *
 * @param headroom millionths of each disk that stay free, 0 to 999,999
 * @param spread   the domain that no two replicas of a block may share
 * @param level    greatest difference between the used shares of the fullest and the emptiest node at the end, in
 *                 millionths of usable disk, or {@link #NO_LEVEL}
 */
public record PlacementProblem(int headroom, FailureDomain spread, int level, List<StorageNode> nodes,
        List<BlockReplicas> blocks) {
    /** Megabytes of a disk or a block at most, so that a share of a disk in millionths is exact in a long. */
    public static final long MAX_MB = 1_000_000_000;
    /** The {@code level} of a problem that does not limit the difference of used shares. */
    public static final int NO_LEVEL = -1;
    /** Number of millionths in a whole share. */
    public static final int MILLION = 1_000_000;

    /**
     * Copies the lists and validates all values.
     *
     * @throws InvalidProblemException if a value is out of range, an id is not unique, or a holder is not a node
     */
    public PlacementProblem {
        nodes = List.copyOf(nodes);
        blocks = List.copyOf(blocks);
        require(headroom >= 0 && headroom < MILLION,
                "headroom is " + headroom + " millionths, allowed are 0 to " + (MILLION - 1));
        require(level >= NO_LEVEL && level <= MILLION,
                "level is " + level + " millionths, allowed are 0 to " + MILLION + ", or " + NO_LEVEL + " for none");
        require(!nodes.isEmpty() && !blocks.isEmpty(),
                "at least one node and one block are required: " + nodes.size() + " nodes, " + blocks.size()
                        + " blocks");
        Set<String> nodeIds = new HashSet<>();
        for (StorageNode node : nodes) {
            require(nodeIds.add(node.id()), "node id " + node.id() + " is not unique");
            require(node.diskMb() >= 1 && node.diskMb() <= MAX_MB && usableMb(node, headroom) >= 1,
                    "disk_mb of node " + node.id() + " is " + node.diskMb() + ", allowed are 1 to " + MAX_MB
                            + " with at least 1 MB beside the headroom");
        }
        Set<String> blockIds = new HashSet<>();
        for (BlockReplicas block : blocks) {
            require(blockIds.add(block.id()), "block id " + block.id() + " is not unique");
            require(block.sizeMb() >= 1 && block.sizeMb() <= MAX_MB,
                    "mb of block " + block.id() + " is " + block.sizeMb() + ", allowed are 1 to " + MAX_MB);
            require(!block.holders().isEmpty() && nodeIds.containsAll(block.holders())
                    && new HashSet<>(block.holders()).size() == block.holders().size(),
                    "holders of block " + block.id() + " are " + block.holders()
                            + ", required are one or more known nodes, each named once");
        }
    }

    /** Returns a node's disk less its headroom, rounded down to whole megabytes, since block sizes are whole too. */
    public long usableMb(StorageNode node) {
        return usableMb(node, headroom);
    }

    private static long usableMb(StorageNode node, int headroom) {
        return node.diskMb() * (MILLION - headroom) / MILLION;
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new InvalidProblemException(message);
        }
    }
}
