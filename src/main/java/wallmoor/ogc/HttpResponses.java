package wallmoor.ogc;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import wallmoor.core.Step;
import wallmoor.http.HttpExchange;
import wallmoor.json.Json;

/** Writes responses: documents, and exceptions in the format of OGC API - Features (code and description). */
final class HttpResponses {
    /** The media type of all documents except features and the API definition. */
    static final String JSON = "application/json";
    /** The media type of features (RFC 7946). */
    static final String GEOJSON = "application/geo+json";
    /** The media type of the API definition. */
    static final String OPENAPI = "application/vnd.oai.openapi+json;version=3.0";

    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Queries that are in progress end within about this time. */
    private static final int MEMORY_RETRY_SECONDS = 1;

    private HttpResponses() {}

    /** Answers 200 with a document. */
    static void document(HttpExchange exchange, String mediaType, String text) throws IOException {
        document(exchange, mediaType, "", bytes(text));
    }

    /** Answers 200 with a document and further header lines, each of which ends with CRLF. */
    static void document(HttpExchange exchange, String mediaType, String headers, byte[] body) throws IOException {
        exchange.answer(200, headers + "Content-Type: " + mediaType + "\r\n", body);
    }

    /** Answers with an exception document. */
    static void exception(HttpExchange exchange, int status, String headers, String description) throws IOException {
        var text = new StringBuilder("{\"code\":\"" + status + "\",\"description\":");
        Json.quote(text, description);
        exchange.answer(status, headers + "Content-Type: application/json\r\n", bytes(text.append('}').toString()));
    }

    /**
     * Answers a query that failed: 503 if it was rejected before any attempt, 504 or 502 if too few feature servers
     * answered.
     *
     * @return the status, or 0 if the client has disconnected
     */
    static int queryFailure(HttpExchange exchange, String headers, Step.FinalStep finalStep) throws IOException {
        if (finalStep instanceof Step.Reject reject) {
            return rejection(exchange, headers, reject);
        }
        if (finalStep instanceof Step.Fail fail) {
            int status = gatewayStatus(fail.timedOut());
            exception(exchange, status, headers, "too few feature servers answered");
            return status;
        }
        return 0;
    }

    /** Answers a query for which there is no memory now, before any attempt; returns the status. */
    static int memoryExhausted(HttpExchange exchange, String headers, MemoryExhaustedException e) throws IOException {
        exception(exchange, 503, headers + "Retry-After: " + MEMORY_RETRY_SECONDS + "\r\n", e.getMessage());
        return 503;
    }

    private static int rejection(HttpExchange exchange, String headers, Step.Reject reject) throws IOException {
        long retryAfterSeconds = (reject.retryAfter() + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND;
        String retryAfter = String.format(Locale.ROOT, "Retry-After: %d\r\n", retryAfterSeconds);
        int status = reject.attempted() ? gatewayStatus(reject.timedOut()) : 503;
        exception(exchange, status, headers + retryAfter,
                reject.attempted() ? "too few feature servers answered" : "refused for now");
        return status;
    }

    private static int gatewayStatus(boolean timedOut) {
        return timedOut ? 504 : 502;
    }

    /** Returns the text in UTF-8. */
    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
