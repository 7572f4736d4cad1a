package wallmoor.decision;

/**
 * A part of a query, at the query's arrival or in its second phase.
 *
 * @param id          its id
 * @param queryNumber the query's number
 * @param shard       the shard that it needs
 * @param weight      its share of the query's answer
 * @param workHint    how much work it is expected to be, or {@link Absent#VALUE}
 */
public record PartArrived(String id, long queryNumber, int shard, double weight, long workHint) {}
