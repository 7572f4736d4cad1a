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
 * A device on HTTP: asks, asks again under the same id whenever its link broke, and goes on where an answer broke off.
 */
public final class HttpDevice {
    private static final int MOST_ANSWER = 1 << 20;
    private static final int NO_SUCH = 404;

    private final URI base;
    private final String token;
    private final boolean packed;
    private final boolean resume;
    private final Consumer<String> progress;
    private final Duration patience;
    private final HttpClient client;

    /**
     * A device.
     *
     * @param packed   whether answers may come packed
     * @param resume   whether an answer that broke off is gone on with, rather than had anew
     * @param patience how long one request may take
     */
    public HttpDevice(URI base, String token, boolean packed, boolean resume, Duration patience,
            Consumer<String> progress) {
        this.base = base;
        this.token = token;
        this.packed = packed;
        this.resume = resume;
        this.patience = patience;
        this.progress = progress;
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(patience).build();
    }

    /** What has come of an answer so far. */
    private static final class Part {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String etag;
        String coding = "";
    }

    /** Asks, or asks only for the outcome where {@code query} is null; returns when it is learnt or patience ends. */
    public ClientResult ask(String id, byte[] query, RetryBackoff backoff) throws InterruptedException {
        var asking = new Asking(id, query);
        while (true) {
            asking.attempt();
            if (asking.result != null) {
                return asking.result;
            }
            if (asking.pending) {
                continue;
            }
            long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            long wait = backoff.next(now, ++asking.failures, asking.retryAfterMillis,
                    ThreadLocalRandom.current().nextDouble());
            if (wait == RetryBackoff.GIVE_UP) {
                return new ClientResult(ClientResult.ClientResultKind.NOT_LEARNT, new byte[0], asking.attempts);
            }
            Thread.sleep(wait);
        }
    }

    /** One query on its way to its outcome, by as many requests as that takes. */
    private final class Asking {
        private final String id;
        private final byte[] query;
        private Part part = new Part();
        private int attempts;
        /** In a row. */
        private int failures;
        /** Whether the edge has the query, so that only its outcome is asked for. */
        private boolean accepted;
        /** Whether the last answer was that there is no outcome yet. */
        private boolean pending;
        private long retryAfterMillis;
        /** What was learnt; null until then. */
        private ClientResult result;

        Asking(String id, byte[] query) {
            this.id = id;
            this.query = query;
            accepted = query == null;
        }

        void attempt() throws InterruptedException {
            attempts++;
            pending = false;
            retryAfterMillis = 0;
            try {
                HttpResponse<InputStream> response = client.send(request(id, accepted ? null : query, part),
                        BodyHandlers.ofInputStream());
                take(response, read(response, part));
            } catch (IOException e) {
                progress.accept(
                        "the link broke" + (part.bytes.size() > 0 ? " after " + part.bytes.size() + " bytes" : ""));
                if (!resume) {
                    part = new Part();
                }
            }
        }

        private void take(HttpResponse<InputStream> response, String text) {
            int status = response.statusCode();
            ClientResult.ClientResultKind kind = ClientResult.kindOf(text);
            if (kind != null) {
                result = learnt(kind, text);
            } else if (status == 202) {
                progress.accept("taken, no outcome yet");
                accepted = true;
                pending = true;
                failures = 0;
            } else if (status == 429 || status == 503) {
                retryAfterMillis = 1000L * response.headers().firstValueAsLong("Retry-After").orElse(1);
                progress.accept("told to come back after " + retryAfterMillis / 1000 + " s");
            } else if (status == NO_SUCH && query == null) {
                result = learnt(ClientResult.ClientResultKind.UNKNOWN, text);
            } else if (status == NO_SUCH) {
                accepted = false; // it was called off meanwhile, or never came
            } else if (status == 416) {
                part = new Part();
            } else if (status >= 400 && status < 500) {
                result = learnt(ClientResult.ClientResultKind.REJECTED, text);
            }
        }

        private ClientResult learnt(ClientResult.ClientResultKind kind, String text) {
            return new ClientResult(kind, text.getBytes(StandardCharsets.UTF_8), attempts);
        }
    }

    private HttpRequest request(String id, byte[] query, Part part) {
        var r = HttpRequest.newBuilder(base.resolve("/queries/" + id)).timeout(patience)
                .header("Authorization", "Bearer " + token)
                .header("Prefer", "wait=" + Math.max(1, patience.toSeconds() - 1));
        if (packed) {
            r.header("Accept-Encoding", "zstd, gzip");
        }
        if (part.etag != null && part.bytes.size() > 0) { // an answer is there: what is lacking of it is got
            return r.header("Range", "bytes=" + part.bytes.size() + "-").header("If-Range", part.etag).GET().build();
        }
        return query == null ? r.GET().build()
                : r.header("Content-Type", "application/json").PUT(HttpRequest.BodyPublishers.ofByteArray(query))
                        .build();
    }

    /** Reads a body to its end, or throws with what came kept in {@code part}. The text of a whole one. */
    private static String read(HttpResponse<InputStream> r, Part part) throws IOException {
        boolean outcome = r.statusCode() == 200 || r.statusCode() == 206;
        Part to = outcome ? part : new Part();
        if (r.statusCode() == 200) {
            to.bytes.reset();
            to.etag = r.headers().firstValue("ETag").orElse(null);
            to.coding = r.headers().firstValue("Content-Encoding").orElse("");
        }
        try (InputStream in = r.body()) {
            byte[] chunk = new byte[1024];
            for (int n = in.read(chunk); n >= 0; n = in.read(chunk)) {
                to.bytes.write(chunk, 0, n);
                if (to.bytes.size() > MOST_ANSWER) {
                    throw new IOException("an answer without end");
                }
            }
        }
        byte[] all = to.bytes.toByteArray();
        byte[] plain = switch (to.coding) {
            case "zstd" -> com.github.luben.zstd.Zstd.decompress(all, MOST_ANSWER);
            case "gzip" ->
                new java.util.zip.GZIPInputStream(new java.io.ByteArrayInputStream(all)).readNBytes(MOST_ANSWER);
            default -> all;
        };
        return new String(plain, StandardCharsets.UTF_8);
    }
}
