package wallmoor.placement;

import java.util.List;

/**
 * One rule of one node, one block or (level) the whole fleet.
 *
 * @param nodes  the node whose room or drain it is, else empty
 * @param blocks the block that is to be spread, else empty
 */
public record PlacementConstraint(PlacementRule rule, List<String> nodes, List<String> blocks) {}
