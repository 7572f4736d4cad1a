package wallmoor.migration;

/**
 * A node's disk, in megabytes.
 *
 * @param otherMb    used by anything but replicas, rounded up
 * @param replicasMb used by replicas, or reserved for copies in progress
 */
public record DiskSpace(long diskMb, long otherMb, long replicasMb) {
    /** Whether {@code additionalMb} more would stay within {@code limitMb}. */
    public boolean fits(long additionalMb, long limitMb) {
        return otherMb + replicasMb + additionalMb <= limitMb;
    }
}
