package wallmoor.placement;

/**
 * A machine that holds blocks.
 *
 * @param cell   where it stands; what fails together is one cell
 * @param diskMb megabytes, 1 to {@link PlacementProblem#MOST_MB}
 * @param draining  it gives, never takes, and ends empty
 */
public record StorageNode(String id, String cell, long diskMb, boolean draining) {}
