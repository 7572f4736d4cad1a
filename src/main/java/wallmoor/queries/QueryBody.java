package wallmoor.queries;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import wallmoor.core.Query;
import wallmoor.core.Step;
import wallmoor.json.Json;
import wallmoor.json.JsonCursor;

/**
 * A query in JSON, the format of all fronts that use JSON. It is read as a stream and refused at the first fault, so
 * that it takes no more memory than its text and its parts, whatever a client sends.
 *
 * @param text          the member {@code q}; null if absent or no text
 * @param className     the member {@code class}; null if absent or no text
 * @param timeoutMillis the member {@code deadline_ms}; negative if absent or no number
 * @param parts         the requested parts, at least one
 */
public record QueryBody(String text, String className, double timeoutMillis, List<Query.PartRequest> parts) {
    private static final int MAX_PARTS = 1000;
    private static final int ESTIMATED_BYTES_PER_VALUE = 64;
    /** The allowed rounding error in the sum of weights, which must be 1. */
    private static final double WEIGHT_TOLERANCE = 0.01;
    private static final List<String> MEMBERS = List.of("shards", "q", "class", "deadline_ms");
    private static final List<String> PART_MEMBERS = List.of("shard", "weight", "cost");

    /** Thrown if a body is invalid; the message describes the fault to the client. */
    public static final class InvalidQueryBodyException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidQueryBodyException(String message) {
            super(message);
        }
    }

    /**
     * Reads a query.
     *
     * @param shardCount the number of shards
     * @throws Json.Malformed            if the slice is no JSON object
     * @throws InvalidQueryBodyException if the member {@code shards} is absent or invalid
     */
    public static QueryBody parse(byte[] buffer, int from, int length, int shardCount)
            throws Json.Malformed, InvalidQueryBodyException {
        var cursor = new JsonCursor(buffer, from, length);
        String text = null;
        String className = null;
        double timeoutMillis = -1;
        List<Query.PartRequest> parts = List.of();
        for (boolean more = cursor.enterObject(); more; more = cursor.nextMember()) {
            String name = cursor.readMemberName(MEMBERS);
            if ("shards".equals(name)) {
                parts = readParts(cursor, shardCount);
                continue;
            }
            Object value = name == null ? skip(cursor) : readScalar(cursor);
            if ("q".equals(name)) {
                text = value instanceof String s ? s : null;
            } else if ("class".equals(name)) {
                className = value instanceof String s ? s : null;
            } else if ("deadline_ms".equals(name)) {
                timeoutMillis = number(value);
            }
        }
        cursor.expectEnd();
        checkWeights(parts);
        return new QueryBody(text, className, timeoutMillis, parts);
    }

    private static List<Query.PartRequest> readParts(JsonCursor cursor, int shardCount)
            throws Json.Malformed, InvalidQueryBodyException {
        var parts = new ArrayList<Query.PartRequest>();
        if (!cursor.isAtList()) {
            cursor.skip();
            return parts;
        }
        var seenShards = new BitSet(shardCount);
        for (boolean more = cursor.enterList(); more; more = cursor.nextElement()) {
            parts.add(readPart(cursor, parts.size(), shardCount, seenShards));
        }
        return parts;
    }

    private static Query.PartRequest readPart(JsonCursor cursor, int index, int shardCount, BitSet seenShards)
            throws Json.Malformed, InvalidQueryBodyException {
        Object shard = null;
        double weight = -1;
        double workHint = -1;
        boolean isObject = cursor.isAtObject();
        for (boolean more = isObject && cursor.enterObject(); more; more = cursor.nextMember()) {
            String name = cursor.readMemberName(PART_MEMBERS);
            Object value = name == null ? skip(cursor) : readScalar(cursor);
            if ("shard".equals(name)) {
                shard = value;
            } else if ("weight".equals(name)) {
                weight = number(value);
            } else if ("cost".equals(name)) {
                workHint = number(value);
            }
        }
        if (!isObject || !(shard instanceof Long number) || number < 0 || number >= shardCount
                || seenShards.get(number.intValue())) {
            throw new InvalidQueryBodyException("shards[" + index + "] must be an object with a member"
                    + " shard from 0 to " + (shardCount - 1) + ", and each shard may occur only once");
        }
        if (!(weight > 0 && weight <= 1 + WEIGHT_TOLERANCE) || index == MAX_PARTS) {
            throw new InvalidQueryBodyException("shards[" + index + "].weight must be a number above 0"
                    + " and at most 1, and at most " + MAX_PARTS + " parts are allowed");
        }
        seenShards.set(number.intValue());
        return new Query.PartRequest(number.intValue(), weight, (long) workHint);
    }

    private static void checkWeights(List<Query.PartRequest> parts) throws InvalidQueryBodyException {
        double sum = 0;
        for (Query.PartRequest part : parts) {
            sum += part.weight();
        }
        if (parts.isEmpty() || Math.abs(sum - 1) > WEIGHT_TOLERANCE) {
            throw new InvalidQueryBodyException("shards must be a non-empty list whose weights add up to 1; their sum"
                    + " is " + sum);
        }
    }

    /** Reads a value that is neither an object nor a list; returns null for one that is, and skips it. */
    private static Object readScalar(JsonCursor cursor) throws Json.Malformed {
        return cursor.isAtObject() || cursor.isAtList() ? skip(cursor) : cursor.readScalar();
    }

    private static Object skip(JsonCursor cursor) throws Json.Malformed {
        cursor.skip();
        return null;
    }

    /** Returns the value of a number; -1 for anything else. */
    private static double number(Object value) {
        return value instanceof Number n ? n.doubleValue() : -1;
    }

    /**
     * Encodes an answer as a JSON object.
     *
     * @param firstMembers the text of the members before {@code complete} and {@code hits}, each with a comma after it
     * @param maxBytes     the maximum size of the object; no more than this and one value is held in memory
     * @return null if the object is larger
     */
    public static byte[] encodeAnswer(String firstMembers, Step.Answer answer, int maxBytes) {
        var json = new StringBuilder(ESTIMATED_BYTES_PER_VALUE * (1 + answer.values().size()));
        json.append('{').append(firstMembers).append("\"complete\":").append(answer.complete()).append(",\"hits\":[");
        String separator = "";
        for (Step.PartValue value : answer.values()) {
            json.append(separator).append("{\"shard\":").append(value.shard()).append(",\"doc\":");
            Json.quote(json, new String(value.bytes(), StandardCharsets.UTF_8));
            json.append('}');
            separator = ",";
            if (json.length() > maxBytes) {
                return null;
            }
        }
        byte[] encoded = json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
        return encoded.length <= maxBytes ? encoded : null;
    }
}
