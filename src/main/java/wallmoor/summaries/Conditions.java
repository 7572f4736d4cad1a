package wallmoor.summaries;

import java.util.List;

/**
 * The conditions of a query, all of which a matching row meets.
 *
 * @param box        the box in which the row lies, or null for any location
 * @param time       the span that the row's time overlaps, or null for any time
 * @param properties conditions on properties
 */
public record Conditions(QueryBox box, TimeSpan time, List<Condition> properties) {
    /** Maximum number of property conditions of a query; each takes a look-up in the index. */
    public static final int MAX_PROPERTY_CONDITIONS = 64;

    /** Validates the number of property conditions. */
    public Conditions {
        properties = List.copyOf(properties);
        if (properties.size() > MAX_PROPERTY_CONDITIONS) {
            throw new InvalidConditionException(properties.size() + " property conditions in a query; at most "
                    + MAX_PROPERTY_CONDITIONS);
        }
    }

    /** The validated box of a query. */
    public static final class QueryBox {
        private final Box box;

        private QueryBox(Box box) {
            this.box = box;
        }

        Box box() {
            return box;
        }
    }

    /** Returns whether there is no condition, so that every row matches. */
    public boolean isEmpty() {
        return box == null && time == null && properties.isEmpty();
    }

    /**
     * Parses a box {@code W,S,E,N} in degrees, where W may lie east of E, or {@code W,S,LOW,E,N,HIGH}, whose heights
     * are ignored.
     *
     * @throws InvalidConditionException if the text is not such a box
     */
    public static QueryBox box(String text) {
        String[] sides = text.split(",", -1);
        if (sides.length != 4 && sides.length != 6) {
            throw new InvalidConditionException("box is not W,S,E,N: " + text);
        }
        var values = new double[sides.length];
        try {
            for (int i = 0; i < values.length; i++) {
                values[i] = Double.parseDouble(sides[i].strip());
            }
        } catch (NumberFormatException e) {
            throw new InvalidConditionException("box is not W,S,E,N in numbers: " + text, e);
        }
        int half = values.length / 2;
        return new QueryBox(Box.of(values[0], values[1], values[half], values[half + 1]));
    }
}
