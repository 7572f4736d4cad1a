package wallmoor.placement;

import java.util.List;

/**
 * A block and its whole copies.
 *
 * @param sizeMb megabytes of one copy, 1 to {@link PlacementProblem#MOST_MB}
 * @param holders the ids of the nodes that hold a copy each, without repeats
 */
public record BlockReplicas(String id, long sizeMb, List<String> holders) {
    public BlockReplicas {
        holders = List.copyOf(holders);
    }
}
