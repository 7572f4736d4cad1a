package wallmoor.endpoints;

/**
 * A source of endpoints as operators see it.
 *
 * @param source         the source's name
 * @param endpoints      how many endpoints it names now
 * @param pendingRemoval how many of them its last snapshots lack, and which are kept until their removal is confirmed
 * @param state          in words: when it was last heard, or why it can't be
 */
public record SourceStatus(String source, int endpoints, int pendingRemoval, String state) {}
