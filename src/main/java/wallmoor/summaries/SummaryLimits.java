package wallmoor.summaries;

/**
 * Bounds of one summary.
 *
 * @param bytes      of its encoded form; what does not fit is told more coarsely, then not at all
 * @param properties told of; a condition on another one is asked everywhere
 * @param values     of a property that are kept themselves; beyond that a filter is
 * @param longest    bytes of a value that is kept itself, and of a property's name
 * @param filterBits of a property's filter at most, a power of two
 * @param boxes      around all places
 * @param spans      of time
 */
public record SummaryLimits(int bytes, int properties, int values, int longest, int filterBits, int boxes, int spans) {
    /** The least bytes: head, boxes and spans alone must fit. */
    public static final int LEAST_BYTES = 1024;
    /** The most bytes: a gatherer reads no larger summary, whoever made it. */
    public static final int MOST_BYTES = 1 << 20;

    /** Checks the bounds. */
    public SummaryLimits {
        if (bytes < LEAST_BYTES || bytes > MOST_BYTES || properties < 1 || properties > 256 || values < 1
                || values > 4096
                || longest < 8 || longest > 256 || boxes < 1 || boxes > 64 || spans < 1 || spans > 64
                || filterBits < KeyBloomFilter.LEAST_BITS || filterBits > 1 << 20
                || Integer.bitCount(filterBits) != 1) {
            throw new IllegalArgumentException("settings of a summary are out of bounds");
        }
        if (32 * (boxes + spans) > bytes - 512) {
            throw new IllegalArgumentException("boxes and spans alone would take the summary's bytes");
        }
    }

    /** Starting values; docs/operators/summaries.md gives their reasons. */
    public static SummaryLimits usual() {
        return new SummaryLimits(16 * 1024, 32, 64, 64, 1 << 16, 12, 8);
    }
}
