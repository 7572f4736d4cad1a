package wallmoor.edge;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Query;
import wallmoor.decision.Idempotency;
import wallmoor.idempotency.BodyDigest;
import wallmoor.json.Json;
import wallmoor.queries.QueryBody;

/**
 * What a device asks for, whatever wire and form it came in.
 *
 * @param millis the time it gives the query, from when it is taken
 * @param digest the same for the same query, in JSON or CBOR, with members in any order
 */
public record EdgeRequest(int queryClass, boolean mayRepeat, long millis, List<Query.PartRequest> parts, byte[] text,
        BodyDigest digest) {
    private static final long MOST_MILLIS = 600_000;

    /** Reads a body. */
    public static EdgeRequest of(byte[] json, LaunchConfig launch)
            throws QueryBody.InvalidQueryBodyException, InvalidQueryException {
        Json.Obj body;
        try {
            body = Json.object(json, 0, json.length);
        } catch (Json.Malformed e) {
            throw new InvalidQueryException(e.getMessage());
        }
        String name = body.text("class");
        int queryClass = launch.classIndex(name);
        if (queryClass < 0) {
            throw new InvalidQueryException("class is absent or unknown: " + name);
        }
        double millis = body.number("deadline_ms", -1);
        if (!(millis >= 1 && millis <= MOST_MILLIS)) {
            throw new InvalidQueryException("deadline_ms is absent, or no number from 1 to " + MOST_MILLIS);
        }
        String q = body.text("q");
        if (q == null) {
            throw new InvalidQueryException("q is absent or no text");
        }
        List<Query.PartRequest> parts = new ArrayList<>(
                QueryBody.parseParts(body, launch.settings().layout().shards()));
        parts.sort(Comparator.comparingInt(Query.PartRequest::shard));
        boolean mayRepeat = launch.settings().classes().get(queryClass).idempotency() == Idempotency.IDEMPOTENT;
        return new EdgeRequest(queryClass, mayRepeat, (long) millis, parts, q.getBytes(StandardCharsets.UTF_8),
                digest(name, (long) millis, parts, q));
    }

    /** A body that can't be used. */
    public static final class InvalidQueryException extends Exception {
        private static final long serialVersionUID = 1L;

        /** In words for the device. */
        public InvalidQueryException(String message) {
            super(message);
        }
    }

    private static BodyDigest digest(String name, long millis, List<Query.PartRequest> parts, String q) {
        var text = new StringBuilder(name).append('\n').append(millis);
        parts.forEach(
                p -> text.append('\n').append(p.shard()).append(' ').append(p.weight()).append(' ')
                        .append(p.workHint()));
        text.append('\n').append(q);
        byte[] hash = sha256(text.toString().getBytes(StandardCharsets.UTF_8));
        var words = java.nio.ByteBuffer.wrap(hash);
        return new BodyDigest(words.getLong(), words.getLong(), words.getLong());
    }

    /** SHA-256, which every Java has. */
    public static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
