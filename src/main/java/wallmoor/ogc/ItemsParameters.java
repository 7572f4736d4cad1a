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
 * The parameters of an items request. An unknown or malformed one is answered with 400, as the standard requires.
 *
 * @param limit       the maximum number of features in a page
 * @param values      the decoded values of all parameters by name
 * @param filterQuery bbox, datetime and properties, encoded for a link
 * @param cursor      for each shard that may have more features, how many earlier pages have taken; null for the first
 *                    page
 */
record ItemsParameters(int limit, Map<String, String> values, String filterQuery, Map<Integer, Integer> cursor) {
    /** The maximum number of features in a page; a larger limit is reduced to it. */
    static final int MAX_LIMIT = 1000;
    private static final int DEFAULT_LIMIT = 10;
    private static final Set<String> STANDARD_PARAMETERS = Set.of("limit", "bbox", "datetime", "cursor");

    /** Parses the query string of a request's target. */
    static ItemsParameters parse(String target, List<Integer> shards, List<String> properties)
            throws HttpProtocolException {
        Map<String, String> values = parseQuery(target);
        for (String name : values.keySet()) {
            if (!STANDARD_PARAMETERS.contains(name) && !properties.contains(name)) {
                throw badRequest("unknown parameter " + name);
            }
        }
        var query = new StringBuilder();
        if (values.containsKey("bbox")) {
            requireBbox(values.get("bbox"));
            append(query, "bbox", values.get("bbox"));
        }
        if (values.containsKey("datetime")) {
            requireDatetime(values.get("datetime"));
            append(query, "datetime", values.get("datetime"));
        }
        for (String name : properties) {
            if (values.containsKey(name)) {
                append(query, name, values.get(name));
            }
        }
        return new ItemsParameters(parseLimit(values.get("limit")), values, query.toString(),
                parseCursor(values.get("cursor"), shards));
    }

    /** Rejects all parameters, for a resource that has none. */
    static void requireNone(String target) throws HttpProtocolException {
        for (String name : parseQuery(target).keySet()) {
            throw badRequest("unknown parameter " + name);
        }
    }

    /** Returns the query string for the next page, which starts at these offsets. */
    String nextPageQuery(Map<Integer, Integer> nextOffsets) {
        var cursor = new StringBuilder();
        nextOffsets.forEach((shard, taken) -> cursor.append(cursor.length() == 0 ? "" : "_").append(shard).append('.')
                .append(taken));
        return "?limit=" + limit + filterQuery + "&cursor=" + cursor;
    }

    private static Map<String, String> parseQuery(String target) throws HttpProtocolException {
        var values = new LinkedHashMap<String, String>();
        int queryStart = target.indexOf('?');
        if (queryStart < 0 || queryStart == target.length() - 1) {
            return values;
        }
        for (String pair : target.substring(queryStart + 1).split("&", -1)) {
            String[] nameAndValue = pair.split("=", 2);
            String name = decode(nameAndValue[0]);
            if (values.put(name, nameAndValue.length < 2 ? "" : decode(nameAndValue[1])) != null) {
                throw badRequest("parameter " + name + " twice");
            }
        }
        return values;
    }

    /** Decodes percent-escapes and plus signs. */
    static String decode(String text) throws HttpProtocolException {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw badRequest("malformed escape");
        }
    }

    private static void append(StringBuilder query, String name, String value) {
        query.append('&').append(name).append('=').append(URLEncoder.encode(value, StandardCharsets.UTF_8));
    }

    private static int parseLimit(String value) throws HttpProtocolException {
        if (value == null) {
            return DEFAULT_LIMIT;
        }
        if (!value.matches("[0-9]{1,9}") || Integer.parseInt(value) < 1) {
            throw badRequest("limit must be a whole number of at least 1");
        }
        return Math.min(MAX_LIMIT, Integer.parseInt(value)); // a larger limit is allowed, but the page is capped
    }

    private static void requireBbox(String value) throws HttpProtocolException {
        String[] parts = value.split(",", -1);
        double[] corners = new double[parts.length];
        try {
            for (int i = 0; i < parts.length; i++) {
                corners[i] = Double.parseDouble(parts[i]);
            }
        } catch (NumberFormatException e) {
            throw badRequest("bbox must be numbers");
        }
        int dimensions = corners.length / 2;
        // the western longitude may exceed the eastern one: such a box spans the antimeridian
        if ((corners.length != 4 && corners.length != 6) || !(corners[1] <= corners[dimensions + 1])
                || (dimensions == 3 && !(corners[2] <= corners[5]))
                || !java.util.Arrays.stream(corners).allMatch(Double::isFinite)) {
            throw badRequest("bbox must be 4 or 6 numbers, the lower corner first");
        }
    }

    private static void requireDatetime(String value) throws HttpProtocolException {
        String[] ends = value.split("/", -1);
        if (ends.length > 2 || (ends.length == 1 && isOpen(ends[0]))) {
            throw badRequest("datetime must be a time or an interval");
        }
        OffsetDateTime begin = null;
        for (String end : ends) {
            if (isOpen(end)) {
                continue;
            }
            OffsetDateTime time = parseTime(end);
            if (begin != null && time.isBefore(begin)) {
                throw badRequest("datetime ends before it begins");
            }
            begin = time;
        }
    }

    private static boolean isOpen(String end) {
        return end.isEmpty() || end.equals("..");
    }

    private static OffsetDateTime parseTime(String value) throws HttpProtocolException {
        try {
            return value.length() == 10 ? LocalDate.parse(value).atStartOfDay().atOffset(java.time.ZoneOffset.UTC)
                    : OffsetDateTime.parse(value);
        } catch (DateTimeParseException e) {
            throw badRequest("datetime is no RFC 3339 time: " + value);
        }
    }

    private static Map<Integer, Integer> parseCursor(String value, List<Integer> shards) throws HttpProtocolException {
        if (value == null) {
            return null;
        }
        var offsets = new LinkedHashMap<Integer, Integer>();
        for (String entry : value.split("_", -1)) {
            if (!entry.matches("[0-9]{1,6}\\.[0-9]{1,9}")) {
                throw badRequest("cursor is not one of ours");
            }
            int dot = entry.indexOf('.');
            Integer shard = Integer.valueOf(entry.substring(0, dot));
            if (!shards.contains(shard)
                    || offsets.put(shard, Integer.valueOf(entry.substring(dot + 1))) != null) {
                throw badRequest("cursor is not one of ours");
            }
        }
        return offsets;
    }

    private static HttpProtocolException badRequest(String description) {
        return new HttpProtocolException(400, description);
    }
}
