package wallmoor.migration;

/**
 * A node's disk, in megabytes.
 *
 * @param otherMb what is not of blocks, rounded up
 * @param replicasMb  blocks, with the room that is kept for those that come
 */
public record DiskSpace(long diskMb, long otherMb, long replicasMb) {
    /** Whether so much more stays within a bound. */
    public boolean fits(long mb, long mostMb) {
        return otherMb + replicasMb + mb <= mostMb;
    }
}
