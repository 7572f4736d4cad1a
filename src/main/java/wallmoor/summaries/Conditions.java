package wallmoor.summaries;

import java.util.List;

/**
 * What a query asks of a row: all of it must hold.
 *
 * @param box        where, or null for anywhere
 * @param time       when, or null for any time
 * @param properties conditions on properties
 */
public record Conditions(QueryBox box, TimeSpan time, List<Condition> properties) {
    /** A query's conditions on properties are this many at most: each costs a look-up. */
    public static final int MOST = 64;

    /** Checks the bound. */
    public Conditions {
        properties = List.copyOf(properties);
        if (properties.size() > MOST) {
            throw new InvalidConditionException("more than " + MOST + " conditions");
        }
    }

    /** A query's box, checked. */
    public static final class QueryBox {
        private final Box box;

        private QueryBox(Box box) {
            this.box = box;
        }

        Box box() {
            return box;
        }
    }

    /** Whether it asks for every row. */
    public boolean none() {
        return box == null && time == null && properties.isEmpty();
    }

    /**
     * A box {@code W,S,E,N} in degrees, where W may lie east of E; or with heights, {@code W,S,LOW,E,N,HIGH}, that are
     * not looked at.
     *
     * @throws InvalidConditionException with what is wrong
     */
    public static QueryBox box(String text) {
        String[] sides = text.split(",", -1);
        if (sides.length != 4 && sides.length != 6) {
            throw new InvalidConditionException("it is not W,S,E,N: " + text);
        }
        var at = new double[sides.length];
        try {
            for (int i = 0; i < at.length; i++) {
                at[i] = Double.parseDouble(sides[i].strip());
            }
        } catch (NumberFormatException e) {
            throw new InvalidConditionException("it is not W,S,E,N in numbers: " + text, e);
        }
        int half = at.length / 2;
        return new QueryBox(Box.of(at[0], at[1], at[half], at[half + 1]));
    }
}
