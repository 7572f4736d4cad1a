package wallmoor.migration;

/**
 * Limits and delays of migrations.
 *
 * @param bytesPerSecond       maximum copy rate of all migrations together
 * @param chunkBytes           bytes fetched by one request; larger where a block would have more than {@link
 *                             ReplicaStateMachine#MAX_CHUNKS} chunks
 * @param settleMicros         how long a source keeps its replica after it stopped being an owner: the longest query
 *                             plus the longest time that a gatherer acts on an older version
 * @param silenceTimeoutMicros how long a node may be silent before its migration is rolled back
 * @param retryMicros          delay before a request or a proposal is repeated, and before the next survey
 */
public record MigrationSettings(long bytesPerSecond, int chunkBytes, long settleMicros, long silenceTimeoutMicros,
        long retryMicros) {
    /** @throws IllegalArgumentException where a value is out of bounds */
    public MigrationSettings {
        if (bytesPerSecond < 1 || chunkBytes < 1 || settleMicros < 0 || silenceTimeoutMicros < 0 || retryMicros < 1) {
            throw new IllegalArgumentException("migration settings out of bounds: bytesPerSecond=" + bytesPerSecond
                    + " (minimum 1) chunkBytes=" + chunkBytes + " (minimum 1) settleMicros=" + settleMicros
                    + " (minimum 0) silenceTimeoutMicros=" + silenceTimeoutMicros + " (minimum 0) retryMicros="
                    + retryMicros + " (minimum 1)");
        }
    }
}
