package wallmoor.placement;

/**
 * A machine that holds blocks.
 *
 * @param cell   where it stands; what fails together is one cell
 * @param diskMb megabytes, 1 to {@link Fleet#MOST_MB}
 * @param drain  it gives, never takes, and ends empty
 */
public record Node(String id, String cell, long diskMb, boolean drain) {}
