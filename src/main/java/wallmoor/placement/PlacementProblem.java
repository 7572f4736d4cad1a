package wallmoor.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Nodes, the blocks they hold, and what is asked of their placement.
 *
 * @param headroom millionths of each disk that stay free, 0 to 999,999
 * @param level    millionths that the fullest node may be above the emptiest at the end, or {@link #NO_LEVEL}
 */
public record PlacementProblem(int headroom, FailureDomain spread, int level, List<StorageNode> nodes,
        List<BlockReplicas> blocks) {
    /** Of a disk or a block: with it, a share of a disk in millionths is exact in a long. */
    public static final long MOST_MB = 1_000_000_000;
    public static final int NO_LEVEL = -1;
    public static final int MILLION = 1_000_000;

    /** @throws InvalidProblemException where a value is out of bounds, stands twice or names nothing */
    public PlacementProblem {
        nodes = List.copyOf(nodes);
        blocks = List.copyOf(blocks);
        require(headroom >= 0 && headroom < MILLION, "headroom");
        require(level >= NO_LEVEL && level <= MILLION, "level");
        require(!nodes.isEmpty() && !blocks.isEmpty(), "no nodes or no blocks");
        Set<String> ids = new HashSet<>();
        for (StorageNode n : nodes) {
            require(ids.add(n.id()), "node twice: " + n.id());
            require(n.diskMb() >= 1 && n.diskMb() <= MOST_MB && usable(n, headroom) >= 1, "disk_mb of " + n.id());
        }
        Set<String> seen = new HashSet<>();
        for (BlockReplicas b : blocks) {
            require(seen.add(b.id()), "block twice: " + b.id());
            require(b.sizeMb() >= 1 && b.sizeMb() <= MOST_MB, "mb of " + b.id());
            require(!b.holders().isEmpty() && ids.containsAll(b.holders())
                    && new HashSet<>(b.holders()).size() == b.holders().size(),
                    "on of " + b.id());
        }
    }

    /** A node's disk less its headroom, in whole megabytes, rounded down: sizes are whole, so nothing is lost by it. */
    public long usable(StorageNode node) {
        return usable(node, headroom);
    }

    private static long usable(StorageNode node, int headroom) {
        return node.diskMb() * (MILLION - headroom) / MILLION;
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new InvalidProblemException(what);
        }
    }
}
