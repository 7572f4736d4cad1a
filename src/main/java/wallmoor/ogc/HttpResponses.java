package wallmoor.ogc;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import wallmoor.core.Step;
import wallmoor.http.HttpExchange;
import wallmoor.json.Json;

/** Writes this front's answers: documents, and exceptions as OGC API - Features has them (code and description). */
final class HttpResponses {
    /** Media type of all documents but features and the API definition. */
    static final String JSON = "application/json";
    /** Media type of features (RFC 7946). */
    static final String GEOJSON = "application/geo+json";
    /** Media type of the API definition. */
    static final String OPENAPI = "application/vnd.oai.openapi+json;version=3.0";

    private static final long MICROS_PER_SECOND = 1_000_000;

    private HttpResponses() {}

    /** Answers 200 with a document. */
    static void document(HttpExchange exchange, String mediaType, String text) throws IOException {
        document(exchange, mediaType, "", bytes(text));
    }

    /** The same with further header lines, each with its line end. */
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
     * Answers a query that has no answer: 503 where it was rejected before any attempt, 504 or 502 where too few
     * feature servers answered.
     *
     * @return the status; 0 where the client is gone
     */
    static int queryFailure(HttpExchange exchange, String headers, Step.FinalStep end) throws IOException {
        if (end instanceof Step.Reject reject) {
            return rejection(exchange, headers, reject);
        }
        if (end instanceof Step.Fail fail) {
            int status = gatewayStatus(fail.timedOut());
            exception(exchange, status, headers, "too few feature servers answered");
            return status;
        }
        return 0;
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

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
