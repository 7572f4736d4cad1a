package wallmoor.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Small fleets by a seed: nodes over their bound, drains, copies side by side, levels; one in three hardly has room.
 */
final class RandomPlacementProblems {
    private RandomPlacementProblems() {}

    static PlacementProblem of(long seed, int mostNodes, int mostBlocks) {
        var random = new Random(seed * 7919 + 17);
        return seed % 3 == 2 && mostNodes > 2 ? tight(random, mostNodes, mostBlocks)
                : mixed(random, mostNodes, mostBlocks);
    }

    private static PlacementProblem mixed(Random random, int mostNodes, int mostBlocks) {
        int n = 2 + random.nextInt(mostNodes - 1);
        int cells = 2 + random.nextInt(n);
        List<StorageNode> nodes = new ArrayList<>();
        int scale = 6 + random.nextInt(9);
        for (int i = 0; i < n; i++) {
            nodes.add(new StorageNode("n" + i, "c" + (random.nextInt(4) == 0 ? random.nextInt(cells) : i % cells),
                    100L * (scale + random.nextInt(4)) + random.nextInt(2) * 10L, random.nextInt(5) == 0));
        }
        List<BlockReplicas> blocks = new ArrayList<>();
        int count = 1 + random.nextInt(mostBlocks);
        for (int b = 0; b < count; b++) {
            int copies = 1 + random.nextInt(Math.min(2 + random.nextInt(2), n));
            blocks.add(block(b, 50L * (1 + random.nextInt(8)) + random.nextInt(3), copies, nodes, random));
        }
        int level = random.nextInt(3) == 0 ? 100_000 * (1 + random.nextInt(6)) : PlacementProblem.NO_LEVEL;
        int headroom = random.nextInt(3) * 100_000;
        return new PlacementProblem(headroom, random.nextInt(3) == 0 ? FailureDomain.NODE : FailureDomain.CELL, level,
                nodes, blocks);
    }

    /** Blocks must make way for each other, some for a while only. */
    private static PlacementProblem tight(Random random, int mostNodes, int mostBlocks) {
        int n = 3 + random.nextInt(mostNodes - 2);
        List<StorageNode> nodes = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            nodes.add(new StorageNode("n" + i, "c" + i, 1, false));
        }
        List<BlockReplicas> blocks = new ArrayList<>();
        for (int b = 0; b < mostBlocks; b++) {
            blocks.add(block(b, 50L * (1 + random.nextInt(8)), 1 + random.nextInt(2), nodes, random));
        }
        for (int i = 0; i < n; i++) {
            String id = "n" + i;
            long held = blocks.stream().filter(b -> b.holders().contains(id)).mapToLong(BlockReplicas::sizeMb).sum();
            nodes.set(i, new StorageNode(id, "c" + i, Math.max(50, held + 50L * random.nextInt(8)), false));
        }
        return new PlacementProblem(0, FailureDomain.CELL, 50_000 * (1 + random.nextInt(8)), nodes, blocks);
    }

    private static BlockReplicas block(int b, long mb, int copies, List<StorageNode> nodes, Random random) {
        List<String> on = new ArrayList<>(nodes.stream().map(StorageNode::id).toList());
        Collections.shuffle(on, random);
        return new BlockReplicas("b" + b, mb, on.subList(0, copies));
    }
}
