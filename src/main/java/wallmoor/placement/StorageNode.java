package wallmoor.placement;

/**
 * A node that stores blocks.
 *
 * @param cell     id of the cell that the node is in, a failure domain
 * @param diskMb   megabytes of its disk, 1 to {@link PlacementProblem#MAX_MB}
 * @param draining whether the node takes no replicas and must end empty
 */
public record StorageNode(String id, String cell, long diskMb, boolean draining) {}
