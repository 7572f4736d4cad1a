package wallmoor.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
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
    public ClientResult ask(String id, byte[] query, RetryBackoff pace) throws InterruptedException {
        int tries = 0;
        int wrong = 0;
        boolean taken = query == null;
        var part = new Part();
        while (true) {
            long told = 0;
            tries++;
            try {
                HttpResponse<InputStream> r = client.send(request(id, taken ? null : query, part),
                        BodyHandlers.ofInputStream());
                String text = read(r, part);
                int status = r.statusCode();
                if (text != null && ClientResult.kindOf(text) != null) {
                    return new ClientResult(ClientResult.kindOf(text),
                            text.getBytes(java.nio.charset.StandardCharsets.UTF_8),
                            tries);
                }
                if (status == 202) {
                    progress.accept("taken, no outcome yet");
                    taken = true;
                    wrong = 0;
                } else if (status == 429 || status == 503) {
                    told = 1000L * r.headers().firstValueAsLong("Retry-After").orElse(1);
                    progress.accept("told to come back after " + told / 1000 + " s");
                } else if (status == NO_SUCH && query == null) {
                    return new ClientResult(ClientResult.ClientResultKind.UNKNOWN,
                            String.valueOf(text).getBytes(java.nio.charset.StandardCharsets.UTF_8), tries);
                } else if (status == NO_SUCH) {
                    taken = false; // it was called off meanwhile, or never came
                } else if (status >= 400 && status < 500 && status != 416) {
                    return new ClientResult(ClientResult.ClientResultKind.REJECTED,
                            String.valueOf(text).getBytes(java.nio.charset.StandardCharsets.UTF_8), tries);
                } else if (status == 416) {
                    part = new Part();
                }
                if (status == 202) {
                    continue;
                }
            } catch (IOException e) {
                progress.accept(
                        "the link broke" + (part.bytes.size() > 0 ? " after " + part.bytes.size() + " bytes" : ""));
                if (!resume) {
                    part = new Part();
                }
            }
            long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            long wait = pace.next(now, ++wrong, told, ThreadLocalRandom.current().nextDouble());
            if (wait == RetryBackoff.GIVE_UP) {
                return new ClientResult(ClientResult.ClientResultKind.NOT_LEARNT, new byte[0], tries);
            }
            Thread.sleep(wait);
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
        return new String(plain, java.nio.charset.StandardCharsets.UTF_8);
    }
}
