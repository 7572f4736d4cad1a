package wallmoor.summaries;

/**
 * A box on the globe. Its west side may lie east of its east side: it spans the antimeridian then. In units of 1e-5
 * degrees (1.1 m), outward, and a little beyond: a site may keep places as floats.
 *
 * @param west  from -180 degrees on, below 180
 * @param width eastward, at most 360 degrees
 * @param south least latitude
 * @param north largest latitude
 */
record Box(int west, int width, int south, int north) {
    static final int DEGREE = 100_000;
    static final int ROUND = 360 * DEGREE;
    private static final int ROOM = 3;

    Box {
        if (west < -ROUND / 2 || west >= ROUND / 2 || width < 0 || width > ROUND || south > north
                || south < -91 * DEGREE || north > 91 * DEGREE) {
            throw new IllegalArgumentException("no box: " + west + " " + width + " " + south + " " + north);
        }
    }

    /** Around one place; at a pole all longitudes are one. */
    static Box of(Row.Coordinates p) {
        return Math.abs(p.lat()) == 90 ? outward(-180, 360, p.lat(), p.lat()) : outward(p.lon(), 0, p.lat(), p.lat());
    }

    /**
     * A query's box in degrees.
     *
     * @throws InvalidConditionException with what is wrong
     */
    static Box of(double w, double s, double e, double n) {
        if (!Double.isFinite(w) || !Double.isFinite(e) || Math.abs(w) > 540 || Math.abs(e) > 540) {
            throw new InvalidConditionException("west and east must be degrees from -180 to 180");
        }
        if (!(s >= -90) || !(n <= 90) || s > n) {
            throw new InvalidConditionException("south and north must be degrees from -90 to 90, south first");
        }
        double width = w <= e ? Math.min(360, e - w) : (e - w) % 360 + 360;
        return outward(w, width, s, n);
    }

    private static Box outward(double lon, double width, double s, double n) {
        long west = (long) Math.floor(lon * DEGREE) - ROOM;
        long east = (long) Math.ceil((lon + width) * DEGREE) + ROOM;
        return new Box(wrapped(west), (int) Math.min(ROUND, east - west), (int) Math.floor(s * DEGREE) - ROOM,
                (int) Math.ceil(n * DEGREE) + ROOM);
    }

    private static int wrapped(long lon) {
        return Math.floorMod(lon + ROUND / 2, ROUND) - ROUND / 2;
    }

    boolean overlaps(Box other) {
        return south <= other.north && other.south <= north
                && (Math.floorMod(other.west - west, ROUND) <= width
                        || Math.floorMod(west - other.west, ROUND) <= other.width);
    }

    boolean holds(Box other) {
        int ahead = Math.floorMod(other.west - west, ROUND);
        return south <= other.south && other.north <= north && (width == ROUND || ahead + (long) other.width <= width);
    }

    /** The least box round both, by the shorter way round the globe. */
    Box with(Box other) {
        long fromHere = Math.max(width, Math.floorMod(other.west - west, ROUND) + (long) other.width);
        long fromThere = Math.max(other.width, Math.floorMod(west - other.west, ROUND) + (long) width);
        return new Box(fromHere <= fromThere ? west : other.west, (int) Math.min(ROUND, Math.min(fromHere, fromThere)),
                Math.min(south, other.south), Math.max(north, other.north));
    }

    /** What merging is weighed by: area, and the sides for boxes that have none. */
    double size() {
        double w = (double) width / DEGREE;
        double h = (double) (north - south) / DEGREE;
        return w * h + 0.01 * (w + h);
    }
}
