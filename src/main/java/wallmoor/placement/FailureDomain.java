package wallmoor.placement;

/** What no two whole copies of a block share. */
public enum FailureDomain {
    CELL, NODE
}
