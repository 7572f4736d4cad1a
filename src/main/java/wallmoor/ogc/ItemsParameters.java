package wallmoor.ogc;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.LocalDate;
import java.time.OffsetDateTime;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.http.HttpProtocolException;

/**
 * The parameters of an items request. One that is unknown or malformed is a fault of the client's, as the standard
 * asks.
 *
 * @param limit  features in a page at most
 * @param given  all parameters as they came, decoded
 * @param query  bbox, datetime and properties, ready for a link
 * @param cursor how many features earlier pages took from each shard that still has some; null for the first page
 */
record ItemsParameters(int limit, Map<String, String> given, String query, Map<Integer, Integer> cursor) {
    static final int MAX_LIMIT = 1000;
    private static final int DEFAULT = 10;
    private static final Set<String> KNOWN = Set.of("limit", "bbox", "datetime", "cursor");

    static ItemsParameters of(String target, List<Integer> shards, List<String> properties)
            throws HttpProtocolException {
        Map<String, String> given = split(target);
        for (String name : given.keySet()) {
            if (!KNOWN.contains(name) && !properties.contains(name)) {
                throw bad("unknown parameter " + name);
            }
        }
        var query = new StringBuilder();
        if (given.containsKey("bbox")) {
            bbox(given.get("bbox"));
            append(query, "bbox", given.get("bbox"));
        }
        if (given.containsKey("datetime")) {
            datetime(given.get("datetime"));
            append(query, "datetime", given.get("datetime"));
        }
        for (String name : properties) {
            if (given.containsKey(name)) {
                append(query, name, given.get(name));
            }
        }
        return new ItemsParameters(limit(given.get("limit")), given, query.toString(),
                cursor(given.get("cursor"), shards));
    }

    /** Refuses any parameter, where a resource has none. */
    static void requireNone(String target) throws HttpProtocolException {
        for (String name : split(target).keySet()) {
            throw bad("unknown parameter " + name);
        }
    }

    /** The next page's parameters. */
    String nextPage(Map<Integer, Integer> from) {
        var cursor = new StringBuilder();
        from.forEach((shard, taken) -> cursor.append(cursor.length() == 0 ? "" : "_").append(shard).append('.')
                .append(taken));
        return "?limit=" + limit + query + "&cursor=" + cursor;
    }

    private static Map<String, String> split(String target) throws HttpProtocolException {
        var given = new LinkedHashMap<String, String>();
        int mark = target.indexOf('?');
        if (mark < 0 || mark == target.length() - 1) {
            return given;
        }
        for (String pair : target.substring(mark + 1).split("&", -1)) {
            String[] sides = pair.split("=", 2);
            String name = decoded(sides[0]);
            if (given.put(name, sides.length < 2 ? "" : decoded(sides[1])) != null) {
                throw bad("parameter " + name + " twice");
            }
        }
        return given;
    }

    static String decoded(String text) throws HttpProtocolException {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw bad("malformed escape");
        }
    }

    private static void append(StringBuilder query, String name, String value) {
        query.append('&').append(name).append('=').append(URLEncoder.encode(value, StandardCharsets.UTF_8));
    }

    private static int limit(String value) throws HttpProtocolException {
        if (value == null) {
            return DEFAULT;
        }
        if (!value.matches("[0-9]{1,9}") || Integer.parseInt(value) < 1) {
            throw bad("limit must be a whole number of at least 1");
        }
        return Math.min(MAX_LIMIT, Integer.parseInt(value)); // more may be asked for than is given
    }

    private static void bbox(String value) throws HttpProtocolException {
        String[] sides = value.split(",", -1);
        double[] at = new double[sides.length];
        try {
            for (int i = 0; i < sides.length; i++) {
                at[i] = Double.parseDouble(sides[i]);
            }
        } catch (NumberFormatException e) {
            throw bad("bbox must be numbers");
        }
        int half = at.length / 2;
        // the west side may lie east of the east side: such a box spans the antimeridian
        if ((at.length != 4 && at.length != 6) || !(at[1] <= at[half + 1]) || (half == 3 && !(at[2] <= at[5]))
                || !java.util.Arrays.stream(at).allMatch(Double::isFinite)) {
            throw bad("bbox must be 4 or 6 numbers, the lower corner first");
        }
    }

    private static void datetime(String value) throws HttpProtocolException {
        String[] ends = value.split("/", -1);
        if (ends.length > 2 || (ends.length == 1 && open(ends[0]))) {
            throw bad("datetime must be a time or an interval");
        }
        OffsetDateTime before = null;
        for (String end : ends) {
            if (open(end)) {
                continue;
            }
            OffsetDateTime at = time(end);
            if (before != null && at.isBefore(before)) {
                throw bad("datetime ends before it begins");
            }
            before = at;
        }
    }

    private static boolean open(String end) {
        return end.isEmpty() || end.equals("..");
    }

    private static OffsetDateTime time(String value) throws HttpProtocolException {
        try {
            return value.length() == 10 ? LocalDate.parse(value).atStartOfDay().atOffset(java.time.ZoneOffset.UTC)
                    : OffsetDateTime.parse(value);
        } catch (DateTimeParseException e) {
            throw bad("datetime is no RFC 3339 time: " + value);
        }
    }

    private static Map<Integer, Integer> cursor(String value, List<Integer> shards) throws HttpProtocolException {
        if (value == null) {
            return null;
        }
        var from = new LinkedHashMap<Integer, Integer>();
        for (String entry : value.split("_", -1)) {
            if (!entry.matches("[0-9]{1,6}\\.[0-9]{1,9}")) {
                throw bad("cursor is not one of ours");
            }
            int dot = entry.indexOf('.');
            Integer shard = Integer.valueOf(entry.substring(0, dot));
            if (!shards.contains(shard)
                    || from.put(shard, Integer.valueOf(entry.substring(dot + 1))) != null) {
                throw bad("cursor is not one of ours");
            }
        }
        return from;
    }

    private static HttpProtocolException bad(String what) {
        return new HttpProtocolException(400, what);
    }
}
