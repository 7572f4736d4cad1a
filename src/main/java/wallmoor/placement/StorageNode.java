package wallmoor.placement;

/**
 * A machine that holds blocks.
 *
 * @param cell     failure domain that it is in
 * @param diskMb   megabytes, 1 to {@link PlacementProblem#MOST_MB}
 * @param draining gives replicas, takes none, and ends empty
 */
public record StorageNode(String id, String cell, long diskMb, boolean draining) {}
