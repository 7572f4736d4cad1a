package wallmoor.placement;

import java.util.List;

/**
 * A block of data and the nodes that hold a complete replica of it.
 *
 * @param sizeMb  megabytes of one replica, 1 to {@link PlacementProblem#MAX_MB}
 * @param holders ids of the nodes that hold one replica each, without duplicates
 */
public record BlockReplicas(String id, long sizeMb, List<String> holders) {
    /** Copies the list of holders. */
    public BlockReplicas {
        holders = List.copyOf(holders);
    }
}
