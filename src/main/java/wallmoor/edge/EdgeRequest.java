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
 * A device's query, independent of the protocol and format in which it came.
 *
 * @param isClassActive whether the class exists now; after a reload has removed it, only repeats are answered
 * @param timeoutMillis the time that the query may take from its acceptance
 * @param text          the text of the query, in UTF-8
 * @param digest        equal for equal queries, whether in JSON or CBOR and in any order of members
 */
public record EdgeRequest(int queryClass, boolean isClassActive, boolean isIdempotent, long timeoutMillis,
        List<Query.PartRequest> parts,
        byte[] text, BodyDigest digest) {
    private static final long MAX_TIMEOUT_MILLIS = 600_000;

    /** Parses and checks a JSON body. */
    public static EdgeRequest parse(byte[] json, LaunchConfig launch)
            throws QueryBody.InvalidQueryBodyException, InvalidQueryException {
        QueryBody body;
        try {
            body = QueryBody.parse(json, 0, json.length, launch.settings().layout().shards());
        } catch (Json.Malformed e) {
            throw new InvalidQueryException(e.getMessage());
        }
        String className = body.className();
        int queryClass = launch.knownClassIndex(className);
        if (queryClass < 0) {
            throw new InvalidQueryException("class is absent or unknown: " + className);
        }
        double timeoutMillis = body.timeoutMillis();
        if (!(timeoutMillis >= 1 && timeoutMillis <= MAX_TIMEOUT_MILLIS)) {
            throw new InvalidQueryException("deadline_ms is absent, or no number from 1 to " + MAX_TIMEOUT_MILLIS);
        }
        String queryText = body.text();
        if (queryText == null) {
            throw new InvalidQueryException("q is absent or no text");
        }
        List<Query.PartRequest> parts = new ArrayList<>(body.parts());
        parts.sort(Comparator.comparingInt(Query.PartRequest::shard));
        boolean isIdempotent = launch.settings().classes().get(queryClass).idempotency() == Idempotency.IDEMPOTENT;
        return new EdgeRequest(queryClass, launch.classIndex(className) >= 0, isIdempotent, (long) timeoutMillis, parts,
                queryText.getBytes(StandardCharsets.UTF_8), digest(className, (long) timeoutMillis, parts, queryText));
    }

    /** Thrown when a body is invalid; the message is sent to the device. */
    public static final class InvalidQueryException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates the exception with the message for the device. */
        public InvalidQueryException(String message) {
            super(message);
        }
    }

    /** Digests the values in a fixed order, with the parts sorted by shard. */
    private static BodyDigest digest(String className, long timeoutMillis, List<Query.PartRequest> parts,
            String queryText) {
        var text = new StringBuilder(className).append('\n').append(timeoutMillis);
        parts.forEach(
                p -> text.append('\n').append(p.shard()).append(' ').append(p.weight()).append(' ')
                        .append(p.workHint()));
        text.append('\n').append(queryText);
        byte[] hash = sha256(text.toString().getBytes(StandardCharsets.UTF_8));
        var words = java.nio.ByteBuffer.wrap(hash);
        return new BodyDigest(words.getLong(), words.getLong(), words.getLong());
    }

    /** Returns the SHA-256 hash of these bytes. */
    public static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has SHA-256
        }
    }
}
