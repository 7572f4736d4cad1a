package wallmoor.summaries;

import java.util.Map;

/**
 * A row, with the parts that summaries cover.
 *
 * @param values values by property: a text, number or boolean, or null if missing
 * @param place  the location, or null if it is unknown or unreadable; such a row may match any box
 * @param time   the time, or null if it is unknown or unreadable; such a row may match any time
 */
public record Row(Map<String, ?> values, Coordinates place, TimeSpan time) {
    /** A location in degrees. */
    public record Coordinates(double lon, double lat) {
        /**
         * Returns the location, or null if a coordinate is out of range.
         *
         * @param lon degrees east, -180 to 180
         * @param lat degrees north, -90 to 90
         */
        public static Coordinates of(double lon, double lat) {
            return Math.abs(lon) <= 180 && Math.abs(lat) <= 90 ? new Coordinates(lon, lat) : null;
        }
    }

    /**
     * Returns the number in a cell, or null if it has none. A site compares a column by number if all its cells are
     * numbers.
     *
     * @param cell text of the cell; leading and trailing blanks are ignored
     */
    public static Double number(String cell) {
        double d = KeyNormalizer.number(cell.strip());
        return Double.isNaN(d) ? null : Double.valueOf(d);
    }
}
