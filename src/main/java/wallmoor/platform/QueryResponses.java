package wallmoor.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import wallmoor.core.Step;
import wallmoor.http.HttpExchange;
import wallmoor.queries.QueryBody;

/** Writes the responses of the platform's front. */
final class QueryResponses {
    private static final int BYTES_PER_VALUE = 64;

    private QueryResponses() {}

    /** Answers a query with its final step; a client that has disconnected gets nothing. */
    static void answer(HttpExchange exchange, Step.FinalStep finalStep) throws IOException {
        if (finalStep instanceof Step.Answer answer) {
            exchange.answer(200, "Content-Type: application/json\r\n", hits(answer));
        } else if (finalStep instanceof Step.Reject reject) {
            exchange.answer(503, "Retry-After: " + seconds(reject.retryAfter()) + "\r\n", text("refused"));
        } else if (finalStep instanceof Step.Fail fail) {
            exchange.answer(fail.timedOut() ? 504 : 502, "", text("failed"));
        }
    }

    /** Seconds with three decimals, rounded to the nearest millisecond. */
    private static String seconds(long micros) {
        long millis = (micros + 500) / 1000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    private static byte[] hits(Step.Answer answer) {
        var body = new StringBuilder(BYTES_PER_VALUE * (1 + answer.values().size())).append('{');
        QueryBody.appendHits(body, answer);
        return body.append('}').toString().getBytes(StandardCharsets.UTF_8);
    }

    /** A body of one line. */
    static byte[] text(String line) {
        return (line + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
