package wallmoor.migration;

/**
 * How moves are carried out.
 *
 * @param bytesPerSecond copied at most, by all moves together
 * @param chunkBytes          bytes fetched by one request; more where a block would have over
 *                            {@link ReplicaStateMachine#MAX_CHUNKS}
 * @param settleMicros         microseconds that an old owner keeps its copy after it is no owner: the longest query,
 *                             and the
 *                       longest that a gatherer acts on an older version
 * @param silenceTimeoutMicros       microseconds that a node may be silent before its move is given up
 * @param retryMicros          microseconds before a node that did not answer is asked again; and before a new plan
 */
public record MigrationSettings(long bytesPerSecond, int chunkBytes, long settleMicros, long silenceTimeoutMicros,
        long retryMicros) {
    /** @throws IllegalArgumentException where one is out of bounds */
    public MigrationSettings {
        if (bytesPerSecond < 1 || chunkBytes < 1 || settleMicros < 0 || silenceTimeoutMicros < 0 || retryMicros < 1) {
            throw new IllegalArgumentException(
                    "moves' settings: " + bytesPerSecond + ' ' + chunkBytes + ' ' + settleMicros + ' '
                            + silenceTimeoutMicros + ' ' + retryMicros);
        }
    }
}
