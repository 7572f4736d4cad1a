package wallmoor.summaries;

/**
 * Bounds of one summary.
 *
 * @param bytes      of its encoded form; what does not fit is told more coarsely, then not at all
 * @param properties told of; a condition on another one is asked everywhere
 * @param values     of a property that are kept themselves; beyond that a filter is
 * @param maxValueBytes    bytes of a value that is kept itself, and of a property's name
 * @param filterBits of a property's filter at most, a power of two
 * @param boxes      around all places
 * @param spans      of time
 */
public record SummaryLimits(int bytes, int properties, int values, int maxValueBytes, int filterBits, int boxes,
        int spans) {
    /** The least bytes: head, boxes and spans alone must fit. */
    public static final int MIN_BYTES = 1024;
    /** The most bytes: a gatherer reads no larger summary, whoever made it. */
    public static final int MAX_BYTES = 1 << 20;

    /** Checks the bounds. */
    public SummaryLimits {
        boolean inBounds = within(bytes, MIN_BYTES, MAX_BYTES) && within(properties, 1, 256)
                && within(values, 1, 4096) && within(maxValueBytes, 8, 256) && within(boxes, 1, 64)
                && within(spans, 1, 64) && within(filterBits, KeyBloomFilter.LEAST_BITS, 1 << 20)
                && Integer.bitCount(filterBits) == 1;
        if (!inBounds) {
            throw new IllegalArgumentException("settings of a summary are out of bounds");
        }
        if (32 * (boxes + spans) > bytes - 512) {
            throw new IllegalArgumentException("boxes and spans alone would take the summary's bytes");
        }
    }

    private static boolean within(int value, int least, int most) {
        return value >= least && value <= most;
    }

    /** Starting values; docs/operators/summaries.md gives their reasons. */
    public static SummaryLimits defaults() {
        return new SummaryLimits(16 * 1024, 32, 64, 64, 1 << 16, 12, 8);
    }
}
