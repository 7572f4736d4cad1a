package wallmoor.summaries;

import java.util.Map;

/**
 * A row as far as summaries see it.
 *
 * @param values by property: a text, a number, a truth value, or null where it is missing
 * @param place  where it lies, or null where that is not known or can't be read: such a row may match any box
 * @param time   when it is, or null likewise
 */
public record Row(Map<String, ?> values, Coordinates place, TimeSpan time) {
    /** A place in degrees. */
    public record Coordinates(double lon, double lat) {
        /**
         * The place, or null where it is none on Earth.
         *
         * @param lon degrees east, -180 to 180
         * @param lat degrees north, -90 to 90
         */
        public static Coordinates of(double lon, double lat) {
            return Math.abs(lon) <= 180 && Math.abs(lat) <= 90 ? new Coordinates(lon, lat) : null;
        }
    }

    /**
     * The number that a cell reads as, or null: columns that hold nothing else are numbers to their site.
     *
     * @param cell with or without blanks around
     */
    public static Double number(String cell) {
        double d = KeyNormalizer.number(cell.strip());
        return Double.isNaN(d) ? null : Double.valueOf(d);
    }
}
