package wallmoor.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import wallmoor.core.Step;
import wallmoor.http.HttpExchange;
import wallmoor.http.HttpReader;
import wallmoor.queries.QueryBody;

/** Writes the answers of the platform's front. */
final class QueryResponses {
    private static final byte[] TOO_LARGE = textBody(
            "failed: the answer has more than " + HttpReader.MAX_BODY_BYTES + " bytes");

    private QueryResponses() {}

    /** Answers a query with its final step; a client that has disconnected gets nothing. */
    static void answer(HttpExchange exchange, Step.FinalStep finalStep) throws IOException {
        if (finalStep instanceof Step.Answer answer) {
            answer(exchange, QueryBody.encodeAnswer("", answer, HttpReader.MAX_BODY_BYTES));
        } else if (finalStep instanceof Step.Reject reject) {
            exchange.answer(503, "Retry-After: " + formatSeconds(reject.retryAfter()) + "\r\n", textBody("refused"));
        } else if (finalStep instanceof Step.Fail fail) {
            exchange.answer(fail.timedOut() ? 504 : 502, "", textBody("failed"));
        }
    }

    /**
     * Sends the body of an answer.
     *
     * @param body null if it is larger than a body may be: the query has failed, as no value may be left out
     */
    private static void answer(HttpExchange exchange, byte[] body) throws IOException {
        if (body == null) {
            exchange.answer(502, "", TOO_LARGE);
        } else {
            exchange.answer(200, "Content-Type: application/json\r\n", body);
        }
    }

    /** Formats a duration as seconds with three decimals, rounded to the nearest millisecond. */
    private static String formatSeconds(long micros) {
        long millis = (micros + 500) / 1000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    /** Encodes a body of one line. */
    static byte[] textBody(String line) {
        return (line + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
