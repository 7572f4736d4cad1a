package wallmoor.summaries;

/**
 * A box of longitudes and latitudes, in units of 1e-5 degrees (1.1 m). A box whose west side lies east of its east side
 * spans the antimeridian. Sides are rounded outward and moved out by 3 units, because a site may store
 * locations in single precision.
 *
 * @param west  longitude of the west side, from -180 degrees, below 180 degrees
 * @param width extent eastward, at most 360 degrees
 * @param south smallest latitude
 * @param north largest latitude
 */
record Box(int west, int width, int south, int north) {
    static final int UNITS_PER_DEGREE = 100_000;
    static final int FULL_CIRCLE = 360 * UNITS_PER_DEGREE;
    private static final int MARGIN = 3;

    Box {
        if (west < -FULL_CIRCLE / 2 || west >= FULL_CIRCLE / 2 || width < 0 || width > FULL_CIRCLE
                || south > north || south < -91 * UNITS_PER_DEGREE || north > 91 * UNITS_PER_DEGREE) {
            throw new IllegalArgumentException("box out of bounds, in 1e-5 degrees: west=" + west + " width=" + width
                    + " south=" + south + " north=" + north);
        }
    }

    /** Returns the box around one location; at a pole it spans all longitudes. */
    static Box of(Row.Coordinates p) {
        return Math.abs(p.lat()) == 90 ? outward(-180, 360, p.lat(), p.lat()) : outward(p.lon(), 0, p.lat(), p.lat());
    }

    /**
     * Returns the box of a query, in degrees.
     *
     * @throws InvalidConditionException if a side is out of range or south lies above north
     */
    static Box of(double w, double s, double e, double n) {
        if (!Double.isFinite(w) || !Double.isFinite(e) || Math.abs(w) > 540 || Math.abs(e) > 540) {
            throw new InvalidConditionException("west and east must be degrees from -180 to 180; got west=" + w
                    + " east=" + e);
        }
        if (!(s >= -90) || !(n <= 90) || s > n) {
            throw new InvalidConditionException("south and north must be degrees from -90 to 90, south first; got"
                    + " south=" + s + " north=" + n);
        }
        double width = w <= e ? Math.min(360, e - w) : (e - w) % 360 + 360;
        return outward(w, width, s, n);
    }

    private static Box outward(double lon, double width, double s, double n) {
        long west = (long) Math.floor(lon * UNITS_PER_DEGREE) - MARGIN;
        long east = (long) Math.ceil((lon + width) * UNITS_PER_DEGREE) + MARGIN;
        return new Box(wrapped(west), (int) Math.min(FULL_CIRCLE, east - west),
                (int) Math.floor(s * UNITS_PER_DEGREE) - MARGIN, (int) Math.ceil(n * UNITS_PER_DEGREE) + MARGIN);
    }

    private static int wrapped(long lon) {
        return Math.floorMod(lon + FULL_CIRCLE / 2, FULL_CIRCLE) - FULL_CIRCLE / 2;
    }

    boolean overlaps(Box other) {
        return south <= other.north && other.south <= north
                && (Math.floorMod(other.west - west, FULL_CIRCLE) <= width
                        || Math.floorMod(west - other.west, FULL_CIRCLE) <= other.width);
    }

    /** Returns whether the other box lies in this one. */
    boolean contains(Box other) {
        int offset = Math.floorMod(other.west - west, FULL_CIRCLE);
        return south <= other.south && other.north <= north
                && (width == FULL_CIRCLE || offset + (long) other.width <= width);
    }

    /** Returns the smallest box that contains both, by the shorter way around the globe. */
    Box union(Box other) {
        long widthFromThis = Math.max(width, Math.floorMod(other.west - west, FULL_CIRCLE) + (long) other.width);
        long widthFromOther = Math.max(other.width, Math.floorMod(west - other.west, FULL_CIRCLE) + (long) width);
        return new Box(widthFromThis <= widthFromOther ? west : other.west,
                (int) Math.min(FULL_CIRCLE, Math.min(widthFromThis, widthFromOther)), Math.min(south, other.south),
                Math.max(north, other.north));
    }

    /**
     * Returns the size that the cost of joining boxes is computed from: the area in square degrees, plus a small share
     * of the sides, so that boxes without an area are ordered too.
     */
    double size() {
        double w = (double) width / UNITS_PER_DEGREE;
        double h = (double) (north - south) / UNITS_PER_DEGREE;
        return w * h + 0.01 * (w + h);
    }
}
