package wallmoor.summaries;

/**
 * A condition on one property: that it equals a value, or lies in a range whose ends are within it and may be open.
 */
public sealed interface Condition {
    /** Whose. */
    String property();

    /**
     * Equality.
     *
     * @param key  the value's, by {@link KeyNormalizer}
     * @param hash the key's
     */
    record Equal(String property, String key, long hash) implements Condition {}

    /**
     * A range.
     *
     * @param low      the least, or null for an open end
     * @param high     the largest, or null likewise
     * @param lowest   as a number, minus infinity for an open end, or NaN where it is no number
     * @param highest  likewise
     */
    record Range(String property, String low, String high, double lowest, double highest) implements Condition {
        boolean numeric() {
            return !Double.isNaN(lowest) && !Double.isNaN(highest);
        }
    }

    /** That a property equals a text, a number or a truth value; null or empty: that it has none. */
    static Condition equal(String property, Object value) {
        String key = KeyNormalizer.key(value);
        return new Equal(property, key, KeyNormalizer.hash(key));
    }

    /**
     * That it lies from one value to another.
     *
     * @param low  the least, or null for an open end
     * @param high the largest, or null likewise
     * @throws InvalidConditionException if both are open, or the numbers' order is wrong
     */
    static Condition range(String property, String low, String high) {
        if (low == null && high == null) {
            throw new InvalidConditionException("a range needs an end");
        }
        var range = new Range(property, low, high,
                low == null ? Double.NEGATIVE_INFINITY : KeyNormalizer.number(KeyNormalizer.fold(low)),
                high == null ? Double.POSITIVE_INFINITY : KeyNormalizer.number(KeyNormalizer.fold(high)));
        if (range.lowest > range.highest) {
            throw new InvalidConditionException("the range ends before it begins: " + low + ".." + high);
        }
        return range;
    }

    /**
     * {@code FIELD=VALUE}, {@code FIELD=LO..HI}, {@code FIELD=LO..} or {@code FIELD=..HI}.
     *
     * @throws InvalidConditionException with what is wrong
     */
    static Condition parse(String text) {
        int sign = text.indexOf('=');
        if (sign < 1) {
            throw new InvalidConditionException("it is not FIELD=VALUE or FIELD=LO..HI: " + text);
        }
        String property = text.substring(0, sign);
        String value = text.substring(sign + 1);
        int dots = value.indexOf("..");
        if (dots < 0) {
            return equal(property, value);
        }
        String low = value.substring(0, dots);
        String high = value.substring(dots + 2);
        return range(property, low.isEmpty() ? null : low, high.isEmpty() ? null : high);
    }
}
