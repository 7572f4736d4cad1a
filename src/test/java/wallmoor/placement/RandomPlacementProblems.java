package wallmoor.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Creates small problems from a seed, with overfull nodes, draining nodes, colocated replicas and levels. One in three
 * has hardly any free space.
 */
final class RandomPlacementProblems {
    private RandomPlacementProblems() {}

    static PlacementProblem of(long seed, int maxNodes, int maxBlocks) {
        var random = new Random(seed * 7919 + 17);
        return seed % 3 == 2 && maxNodes > 2 ? tight(random, maxNodes, maxBlocks)
                : mixed(random, maxNodes, maxBlocks);
    }

    private static PlacementProblem mixed(Random random, int maxNodes, int maxBlocks) {
        int nodeCount = 2 + random.nextInt(maxNodes - 1);
        int cells = 2 + random.nextInt(nodeCount);
        List<StorageNode> nodes = new ArrayList<>();
        int scale = 6 + random.nextInt(9);
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new StorageNode("n" + i, "c" + (random.nextInt(4) == 0 ? random.nextInt(cells) : i % cells),
                    100L * (scale + random.nextInt(4)) + random.nextInt(2) * 10L, random.nextInt(5) == 0));
        }
        List<BlockReplicas> blocks = new ArrayList<>();
        int count = 1 + random.nextInt(maxBlocks);
        for (int b = 0; b < count; b++) {
            int replicas = 1 + random.nextInt(Math.min(2 + random.nextInt(2), nodeCount));
            blocks.add(block(b, 50L * (1 + random.nextInt(8)) + random.nextInt(3), replicas, nodes, random));
        }
        int level = random.nextInt(3) == 0 ? 100_000 * (1 + random.nextInt(6)) : PlacementProblem.NO_LEVEL;
        int headroom = random.nextInt(3) * 100_000;
        return new PlacementProblem(headroom, random.nextInt(3) == 0 ? FailureDomain.NODE : FailureDomain.CELL, level,
                nodes, blocks);
    }

    /** Creates a problem whose blocks must make room for each other, some of them only temporarily. */
    private static PlacementProblem tight(Random random, int maxNodes, int maxBlocks) {
        int nodeCount = 3 + random.nextInt(maxNodes - 2);
        List<StorageNode> nodes = new ArrayList<>();
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new StorageNode("n" + i, "c" + i, 1, false));
        }
        List<BlockReplicas> blocks = new ArrayList<>();
        for (int b = 0; b < maxBlocks; b++) {
            blocks.add(block(b, 50L * (1 + random.nextInt(8)), 1 + random.nextInt(2), nodes, random));
        }
        for (int i = 0; i < nodeCount; i++) {
            String id = "n" + i;
            long usedMb = blocks.stream().filter(b -> b.holders().contains(id)).mapToLong(BlockReplicas::sizeMb).sum();
            nodes.set(i, new StorageNode(id, "c" + i, Math.max(50, usedMb + 50L * random.nextInt(8)), false));
        }
        return new PlacementProblem(0, FailureDomain.CELL, 50_000 * (1 + random.nextInt(8)), nodes, blocks);
    }

    private static BlockReplicas block(int b, long sizeMb, int replicas, List<StorageNode> nodes, Random random) {
        List<String> holders = new ArrayList<>(nodes.stream().map(StorageNode::id).toList());
        Collections.shuffle(holders, random);
        return new BlockReplicas("b" + b, sizeMb, holders.subList(0, replicas));
    }
}
