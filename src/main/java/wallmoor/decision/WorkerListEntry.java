package wallmoor.decision;

/**
 * One worker in the list.
 *
 * @param worker    its id
 * @param zone      its availability zone
 * @param hostKind  the kind of its machine
 * @param cell      its cell, which says what shards it holds (see {@link ShardLayout})
 * @param status    what discovery says of it
 * @param size      its capacity in comparison with other workers; 0 or less where it is not known
 * @param startedAt its last start (microseconds), or {@link Absent#VALUE} for long ago
 */
public record WorkerListEntry(String worker, int zone, int hostKind, int cell, WorkerStatus status, double size,
        long startedAt) {}
