package wallmoor.endpoints;

/**
 * A source of endpoints as shown to operators.
 *
 * @param source         the source's name
 * @param endpoints      how many endpoints it names now, including those of {@code pendingRemoval}
 * @param pendingRemoval how many of them its last snapshots lack, and which stay until their removal is confirmed
 * @param state          the time of its last report or its failure, as text for operators
 */
public record SourceStatus(String source, int endpoints, int pendingRemoval, String state) {}
