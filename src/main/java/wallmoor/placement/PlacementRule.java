package wallmoor.placement;

/** What a plan keeps, each for a node, a block or the fleet. */
public enum PlacementRule {
    /** A node's disk less its headroom: nothing is taken beyond it, and it ends within. */
    ROOM,
    /** A node gives, never takes, and ends empty. */
    DRAIN,
    /** A block's whole copies stay apart. */
    SPREAD,
    /** The fullest less the emptiest node at the end. */
    LEVEL
}
