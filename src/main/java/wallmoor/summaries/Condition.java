package wallmoor.summaries;

/**
 * A condition on one property: equality with a value, or a range with inclusive ends, either of which may be open.
 */
public sealed interface Condition {
    /** Returns the name of the property. */
    String property();

    /**
     * An equality condition.
     *
     * @param key  the normalized key of the value, see {@link KeyNormalizer}
     * @param hash the hash of the key
     */
    record Equal(String property, String key, long hash) implements Condition {}

    /**
     * A range condition.
     *
     * @param low     the lower end as text, or null if open
     * @param high    the upper end as text, or null if open
     * @param lowest  the lower end as a number: minus infinity if open, NaN if the text is not a number
     * @param highest the upper end as a number: plus infinity if open, NaN if the text is not a number
     */
    record Range(String property, String low, String high, double lowest, double highest) implements Condition {
        /** Returns whether each end is a number or open. */
        boolean isNumeric() {
            return !Double.isNaN(lowest) && !Double.isNaN(highest);
        }
    }

    /** Returns the condition that a property equals a text, number or boolean; null or empty: that it is missing. */
    static Condition equal(String property, Object value) {
        String key = KeyNormalizer.key(value);
        return new Equal(property, key, KeyNormalizer.hash(key));
    }

    /**
     * Returns the condition that a property lies between two values, ends included.
     *
     * @param low  the lower end, or null if open
     * @param high the upper end, or null if open
     * @throws InvalidConditionException if both ends are open, or both are numbers and low is above high
     */
    static Condition range(String property, String low, String high) {
        if (low == null && high == null) {
            throw new InvalidConditionException("a range on " + property + " needs a lower or an upper end");
        }
        var range = new Range(property, low, high,
                low == null ? Double.NEGATIVE_INFINITY : KeyNormalizer.number(KeyNormalizer.fold(low)),
                high == null ? Double.POSITIVE_INFINITY : KeyNormalizer.number(KeyNormalizer.fold(high)));
        if (range.lowest > range.highest) {
            throw new InvalidConditionException("the range of " + property + " ends before it begins: " + low + ".."
                    + high);
        }
        return range;
    }

    /**
     * Parses {@code FIELD=VALUE}, {@code FIELD=LO..HI}, {@code FIELD=LO..} or {@code FIELD=..HI}.
     *
     * @throws InvalidConditionException if the text has none of these forms
     */
    static Condition parse(String text) {
        int separator = text.indexOf('=');
        if (separator < 1) {
            throw new InvalidConditionException("condition is not FIELD=VALUE or FIELD=LO..HI: " + text);
        }
        String property = text.substring(0, separator);
        String value = text.substring(separator + 1);
        int dots = value.indexOf("..");
        if (dots < 0) {
            return equal(property, value);
        }
        String low = value.substring(0, dots);
        String high = value.substring(dots + 2);
        return range(property, low.isEmpty() ? null : low, high.isEmpty() ? null : high);
    }
}
