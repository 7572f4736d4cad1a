package wallmoor.decision;

/**
 * An entry of the worker list.
 *
 * @param worker    the worker's id
 * @param zone      its availability zone
 * @param hostKind  the kind of its machine
 * @param cell      its cell, which determines the shards that it holds (see {@link ShardLayout})
 * @param status    its state according to discovery
 * @param size      its capacity relative to other workers; 0 or less if unknown
 * @param startedAt its last start (microseconds), or {@link Absent#VALUE} for long ago
 */
public record WorkerListEntry(String worker, int zone, int hostKind, int cell, WorkerStatus status, double size,
        long startedAt) {}
