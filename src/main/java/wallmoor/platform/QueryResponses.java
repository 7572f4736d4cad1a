package wallmoor.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import wallmoor.core.Step;
import wallmoor.http.HttpExchange;
import wallmoor.queries.QueryBody;

/** Writes the answers of the platform's front. */
final class QueryResponses {
    private static final int ESTIMATED_BYTES_PER_VALUE = 64;

    private QueryResponses() {}

    /** Answers a query with its final step; a client that has disconnected gets nothing. */
    static void answer(HttpExchange exchange, Step.FinalStep finalStep) throws IOException {
        if (finalStep instanceof Step.Answer answer) {
            exchange.answer(200, "Content-Type: application/json\r\n", hitsBody(answer));
        } else if (finalStep instanceof Step.Reject reject) {
            exchange.answer(503, "Retry-After: " + formatSeconds(reject.retryAfter()) + "\r\n", textBody("refused"));
        } else if (finalStep instanceof Step.Fail fail) {
            exchange.answer(fail.timedOut() ? 504 : 502, "", textBody("failed"));
        }
    }

    /** Formats a duration as seconds with three decimals, rounded to the nearest millisecond. */
    private static String formatSeconds(long micros) {
        long millis = (micros + 500) / 1000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    private static byte[] hitsBody(Step.Answer answer) {
        var body = new StringBuilder(ESTIMATED_BYTES_PER_VALUE * (1 + answer.values().size())).append('{');
        QueryBody.appendHits(body, answer);
        return body.append('}').toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Encodes a body of one line. */
    static byte[] textBody(String line) {
        return (line + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
