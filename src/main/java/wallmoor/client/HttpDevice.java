package wallmoor.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A device that uses HTTP: it repeats its query under the same id when the connection fails, and resumes interrupted
 * answers.
 */
public final class HttpDevice {
    private static final int MAX_ANSWER_BYTES = 1 << 20;
    private static final int STATUS_NOT_FOUND = 404;

    private final URI base;
    private final String token;
    private final boolean acceptsCompressed;
    private final boolean resumesAnswers;
    private final Consumer<String> progress;
    private final Duration requestTimeout;
    private final HttpClient client;

    /**
     * Creates a device.
     *
     * @param acceptsCompressed whether answers may be compressed
     * @param resumesAnswers    whether an interrupted answer is resumed rather than requested again from its start
     * @param requestTimeout    the timeout of one request
     * @param progress          receives lines for the user
     */
    public HttpDevice(URI base, String token, boolean acceptsCompressed, boolean resumesAnswers,
            Duration requestTimeout, Consumer<String> progress) {
        this.base = base;
        this.token = token;
        this.acceptsCompressed = acceptsCompressed;
        this.resumesAnswers = resumesAnswers;
        this.requestTimeout = requestTimeout;
        this.progress = progress;
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(requestTimeout).build();
    }

    /** The bytes of an answer received so far. */
    private static final class PartialAnswer {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String etag;
        String coding = "";
    }

    /**
     * Submits a query, or requests only its outcome if {@code query} is null. Returns when the outcome is received or
     * {@code backoff} gives up.
     */
    public ClientResult ask(String id, byte[] query, RetryBackoff backoff) throws InterruptedException {
        var exchange = new QueryExchange(id, query);
        while (true) {
            exchange.attempt();
            if (exchange.result != null) {
                return exchange.result;
            }
            if (exchange.pending) {
                continue;
            }
            long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            long wait = backoff.next(now, ++exchange.failures, exchange.retryAfterMillis,
                    ThreadLocalRandom.current().nextDouble());
            if (wait == RetryBackoff.GIVE_UP) {
                return new ClientResult(ClientResult.ClientResultKind.NOT_LEARNT, new byte[0], exchange.attempts);
            }
            Thread.sleep(wait);
        }
    }

    /** The state of one query, over as many requests as its outcome takes. */
    private final class QueryExchange {
        private final String id;
        private final byte[] query;
        private PartialAnswer partialAnswer = new PartialAnswer();
        private int attempts;
        /** Failed attempts in a row. */
        private int failures;
        /** Whether the edge has accepted the query, so that only its outcome is requested. */
        private boolean accepted;
        /** Whether the last response was that there is no outcome yet. */
        private boolean pending;
        private long retryAfterMillis;
        /** The result, or null until it is received. */
        private ClientResult result;

        QueryExchange(String id, byte[] query) {
            this.id = id;
            this.query = query;
            accepted = query == null;
        }

        void attempt() throws InterruptedException {
            attempts++;
            pending = false;
            retryAfterMillis = 0;
            try {
                HttpResponse<InputStream> response = client.send(request(id, accepted ? null : query, partialAnswer),
                        BodyHandlers.ofInputStream());
                handleResponse(response, read(response, partialAnswer));
            } catch (IOException e) {
                progress.accept("connection failed"
                        + (partialAnswer.bytes.size() > 0 ? " after " + partialAnswer.bytes.size() + " bytes" : ""));
                if (!resumesAnswers) {
                    partialAnswer = new PartialAnswer();
                }
            }
        }

        private void handleResponse(HttpResponse<InputStream> response, String text) {
            int status = response.statusCode();
            ClientResult.ClientResultKind kind = ClientResult.kindOf(text);
            if (kind != null) {
                result = toResult(kind, text);
            } else if (status == 202) {
                progress.accept("query accepted, no outcome yet");
                accepted = true;
                pending = true;
                failures = 0;
            } else if (status == 429 || status == 503) {
                retryAfterMillis = 1000L * response.headers().firstValueAsLong("Retry-After").orElse(1);
                progress.accept("the edge asks to retry after " + retryAfterMillis / 1000 + " s");
            } else if (status == STATUS_NOT_FOUND && query == null) {
                result = toResult(ClientResult.ClientResultKind.UNKNOWN, text);
            } else if (status == STATUS_NOT_FOUND) {
                accepted = false; // the query was cancelled in the meantime, or was never received
            } else if (status == 416) {
                partialAnswer = new PartialAnswer();
            } else if (status >= 400 && status < 500) {
                result = toResult(ClientResult.ClientResultKind.REJECTED, text);
            }
        }

        private ClientResult toResult(ClientResult.ClientResultKind kind, String text) {
            return new ClientResult(kind, text.getBytes(StandardCharsets.UTF_8), attempts);
        }
    }

    private HttpRequest request(String id, byte[] query, PartialAnswer partialAnswer) {
        var builder = HttpRequest.newBuilder(base.resolve("/queries/" + id)).timeout(requestTimeout)
                .header("Authorization", "Bearer " + token)
                .header("Prefer", "wait=" + Math.max(1, requestTimeout.toSeconds() - 1));
        if (acceptsCompressed) {
            builder.header("Accept-Encoding", "zstd, gzip");
        }
        // part of the answer was received: requests the rest
        if (partialAnswer.etag != null && partialAnswer.bytes.size() > 0) {
            return builder.header("Range", "bytes=" + partialAnswer.bytes.size() + "-")
                    .header("If-Range", partialAnswer.etag).GET().build();
        }
        return query == null ? builder.GET().build()
                : builder.header("Content-Type", "application/json").PUT(HttpRequest.BodyPublishers.ofByteArray(query))
                        .build();
    }

    /** Reads a body and returns its text; if that fails, {@code partialAnswer} has the bytes received of an outcome. */
    private static String read(HttpResponse<InputStream> response, PartialAnswer partialAnswer) throws IOException {
        boolean isOutcome = response.statusCode() == 200 || response.statusCode() == 206;
        PartialAnswer answer = isOutcome ? partialAnswer : new PartialAnswer();
        if (response.statusCode() == 200) {
            answer.bytes.reset();
            answer.etag = response.headers().firstValue("ETag").orElse(null);
            answer.coding = response.headers().firstValue("Content-Encoding").orElse("");
        }
        try (InputStream in = response.body()) {
            byte[] chunk = new byte[1024];
            for (int n = in.read(chunk); n >= 0; n = in.read(chunk)) {
                answer.bytes.write(chunk, 0, n);
                if (answer.bytes.size() > MAX_ANSWER_BYTES) {
                    throw new IOException("the answer has more than " + MAX_ANSWER_BYTES + " bytes");
                }
            }
        }
        byte[] received = answer.bytes.toByteArray();
        byte[] plain = switch (answer.coding) {
            case "zstd" -> com.github.luben.zstd.Zstd.decompress(received, MAX_ANSWER_BYTES);
            case "gzip" ->
                new java.util.zip.GZIPInputStream(new java.io.ByteArrayInputStream(received))
                        .readNBytes(MAX_ANSWER_BYTES);
            default -> received;
        };
        return new String(plain, StandardCharsets.UTF_8);
    }
}
