package wallmoor.placement;

import java.util.List;

/**
 * One instance of a rule: of one node, of one block, or ({@link PlacementRule#LEVEL}) of the fleet.
 *
 * @param nodes  the node whose room or drain it is, else empty
 * @param blocks the block whose replicas are to be spread, else empty
 */
public record PlacementConstraint(PlacementRule rule, List<String> nodes, List<String> blocks) {}
