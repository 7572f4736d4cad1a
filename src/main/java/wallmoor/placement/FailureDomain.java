package wallmoor.placement;

/** The domain that no two replicas of a block may share. The constants' names are stored. */
public enum FailureDomain {
    CELL, NODE
}
