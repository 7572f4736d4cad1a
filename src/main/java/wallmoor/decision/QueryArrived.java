package wallmoor.decision;

/**
 * A query as it arrives; its parts follow at the same time.
 *
 * @param id         its id, unique among the open queries
 * @param number     its number, by which parts name it
 * @param queryClass the place of its class in the settings
 * @param tenant     the place of its tenant in the settings
 * @param key        its partition key, or null
 * @param deadline   when the client gives up (microseconds of the caller's clock)
 * @param workHint   how much work it is expected to be, or {@link Absent#VALUE}
 * @param partCount  parts of its first phase
 * @param retry      the client marks it as a retry
 */
public record QueryArrived(String id, long number, int queryClass, int tenant, String key, long deadline,
        long workHint, int partCount, boolean retry) {}
