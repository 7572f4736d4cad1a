package wallmoor.placement;

/** The rules that a plan satisfies, each for a node, a block or the whole fleet. The constants' names are printed. */
public enum PlacementRule {
    /** A node takes no replica beyond its disk less its headroom, and ends within it. */
    ROOM,
    /** A node takes no replicas and ends empty. */
    DRAIN,
    /** No two complete replicas of a block share a failure domain. */
    SPREAD,
    /** Limits the difference between the used shares of the fullest and the emptiest node at the end. */
    LEVEL
}
