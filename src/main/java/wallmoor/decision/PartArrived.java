package wallmoor.decision;

/**
 * The arrival of a part of a query, with the query itself or at the start of its second phase.
 *
 * @param id          the part's id
 * @param queryNumber the query's number
 * @param shard       the shard that the part reads
 * @param weight      the part's share of the query's answer
 * @param workHint    the expected amount of work, or {@link Absent#VALUE}
 */
public record PartArrived(String id, long queryNumber, int shard, double weight, long workHint) {}
