package wallmoor.placement;

import java.util.List;

/**
 * One instance of a rule, which applies to one node, to one block, or ({@link PlacementRule#LEVEL}) to the whole fleet.
 *
 * @param nodes  id of the node that a {@code ROOM} or {@code DRAIN} rule applies to, else empty
 * @param blocks id of the block that a {@code SPREAD} rule applies to, else empty
 */
public record PlacementConstraint(PlacementRule rule, List<String> nodes, List<String> blocks) {}
