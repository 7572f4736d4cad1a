package wallmoor.placement;

/** What no two replicas of a block share. The names are stored. */
public enum FailureDomain {
    CELL, NODE
}
