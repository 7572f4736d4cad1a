package wallmoor.migration;

/**
 * Size and usage of a node's disk, in megabytes.
 *
 * @param otherMb    space used by anything but replicas, rounded up
 * @param replicasMb space used by replicas, or reserved for copies in progress
 */
public record DiskSpace(long diskMb, long otherMb, long replicasMb) {
    /** Returns whether the used space plus {@code additionalMb} stays within {@code limitMb}. */
    public boolean fits(long additionalMb, long limitMb) {
        return otherMb + replicasMb + additionalMb <= limitMb;
    }
}
