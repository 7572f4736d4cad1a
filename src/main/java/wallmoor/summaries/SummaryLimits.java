package wallmoor.summaries;

/**
 * Limits of one summary.
 *
 * @param bytes         maximum size of the encoded summary; larger content is coarsened, then omitted
 * @param properties    maximum number of properties; a condition on another property excludes no site
 * @param values        maximum number of values of a property that are listed; a filter replaces more
 * @param maxValueBytes maximum size of a listed value and of the name of a property, in bytes
 * @param filterBits    maximum size of a property's filter in bits, a power of two
 * @param boxes         maximum number of boxes around the locations
 * @param spans         maximum number of time spans
 */
public record SummaryLimits(int bytes, int properties, int values, int maxValueBytes, int filterBits, int boxes,
        int spans) {
    /** Minimum of {@code bytes}; the header, boxes and spans must fit. */
    public static final int MIN_BYTES = 1024;
    /** Maximum of {@code bytes}; a gatherer reads no larger summary. */
    public static final int MAX_BYTES = 1 << 20;

    /** Validates the bounds. */
    public SummaryLimits {
        boolean inBounds = isWithin(bytes, MIN_BYTES, MAX_BYTES) && isWithin(properties, 1, 256)
                && isWithin(values, 1, 4096) && isWithin(maxValueBytes, 8, 256) && isWithin(boxes, 1, 64)
                && isWithin(spans, 1, 64) && isWithin(filterBits, KeyBloomFilter.MIN_BITS, 1 << 20)
                && Integer.bitCount(filterBits) == 1;
        if (!inBounds) {
            throw new IllegalArgumentException("summary limits out of bounds: bytes=" + bytes + " properties="
                    + properties + " values=" + values + " maxValueBytes=" + maxValueBytes + " filterBits=" + filterBits
                    + " boxes=" + boxes + " spans=" + spans);
        }
        if (32 * (boxes + spans) > bytes - 512) {
            throw new IllegalArgumentException(boxes + " boxes and " + spans + " spans do not fit into "
                    + bytes + " bytes less 512");
        }
    }

    private static boolean isWithin(int value, int min, int max) {
        return value >= min && value <= max;
    }

    /** Returns the default limits; docs/operators/summaries.md gives the reasons. */
    public static SummaryLimits defaults() {
        return new SummaryLimits(16 * 1024, 32, 64, 64, 1 << 16, 12, 8);
    }
}
