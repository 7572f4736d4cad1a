package wallmoor.placement;

import java.util.List;

/**
 * A block and its complete replicas.
 *
 * @param sizeMb  megabytes of one replica, 1 to {@link PlacementProblem#MOST_MB}
 * @param holders ids of the distinct nodes that hold a replica each
 */
public record BlockReplicas(String id, long sizeMb, List<String> holders) {
    /** Takes a copy of the list. */
    public BlockReplicas {
        holders = List.copyOf(holders);
    }
}
