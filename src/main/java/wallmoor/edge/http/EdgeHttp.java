package wallmoor.edge.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import wallmoor.config.LaunchConfig;
import wallmoor.edge.Devices;
import wallmoor.edge.EdgeQueries;
import wallmoor.edge.EdgeRequest;
import wallmoor.http.ByteSlice;
import wallmoor.http.ConnectionTimeouts;
import wallmoor.http.HttpExchange;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.HttpReader;
import wallmoor.http.Server;
import wallmoor.idempotency.IdempotencyKey;
import wallmoor.idempotency.RequestDecision;
import wallmoor.idempotency.RequestRecord;
import wallmoor.idempotency.StoredOutcome;
import wallmoor.queries.QueryBody;

/**
 * The edge over HTTP/1.1: {@code PUT /queries/ID} asks, and may be said again whenever a link broke; {@code GET} tells
 * the outcome, waits for it, and goes on where an answer broke off. A thin wire: {@link EdgeQueries} says what becomes
 * of a request.
 */
public final class EdgeHttp {
    private static final String JSON = "application/json";
    private static final String PROBLEM = "application/problem+json";
    private static final Pattern PATH = Pattern.compile("/queries/([A-Za-z0-9_-]{1,64})");
    private static final Pattern PIECE = Pattern.compile("bytes ([0-9]{1,8})-([0-9]{1,8})/([0-9]{1,8})");
    private static final Pattern WAIT = Pattern.compile("(?:^|[,;\\s])wait=([0-9]{1,4})(?:$|[,;\\s])");
    /** A middlebox on a mobile link forgets a silent connection after a minute or less. */
    private static final int MOST_WAIT = 50;
    /** Without a wish a query's asker waits for as long as queries last at most. */
    private static final int USUAL_WAIT = 30;

    private final Supplier<LaunchConfig> launch;
    private final EdgeQueries queries;
    private final Devices devices;
    private final Server server;

    /** Makes the front and listens; nothing is answered before {@link #start}. */
    public EdgeHttp(InetSocketAddress listen, int mostClients, Supplier<LaunchConfig> launch, EdgeQueries queries,
            Devices devices,
            Consumer<String> log) throws IOException {
        this.launch = launch;
        this.queries = queries;
        this.devices = devices;
        server = new Server("edge", listen, mostClients, mostClients, ConnectionTimeouts.LONG, this::handle, log);
    }

    /** Begins to serve. */
    public void start() {
        server.start();
    }

    /** Takes what still comes for so long, then answers all of it. */
    public void leave(long handOverMillis, long finishMillis) throws IOException, InterruptedException {
        Thread.sleep(handOverMillis);
        server.closeAfterAnswers();
        server.finish(finishMillis);
    }

    private void handle(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        try {
            route(request, exchange);
        } catch (HttpProtocolException e) {
            problem(exchange, e.status(), e.status() == 401 ? "WWW-Authenticate: Bearer\r\n" : "", "request",
                    e.getMessage());
        }
    }

    private void route(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        Matcher path = PATH.matcher(request.target().split("\\?", 2)[0]);
        if (!path.matches()) {
            throw new HttpProtocolException(404, "there is /queries/ID alone, its ID of letters, digits, - and _");
        }
        String sent = request.header("Authorization");
        String device = sent != null && sent.regionMatches(true, 0, "Bearer ", 0, 7)
                ? devices.of(sent.substring(7).trim()) : null;
        if (device == null) {
            throw new HttpProtocolException(401, "no token, or not one of a device that may ask");
        }
        var key = new IdempotencyKey(device, path.group(1));
        switch (request.method()) {
            case "PUT" -> put(request, exchange, key);
            case "GET", "HEAD" -> {
                int wait = wait(request, 0);
                told(request, exchange, key, queries.outcome(key, true), wait);
            }
            default -> problem(exchange, 405, "Allow: GET, HEAD, PUT\r\n", "request", "method not allowed");
        }
    }

    private void put(HttpMessage request, HttpExchange exchange, IdempotencyKey key)
            throws IOException, HttpProtocolException, InterruptedException {
        ByteSlice s = request.body();
        byte[] sent = Arrays.copyOfRange(s.buffer(), s.from(), s.from() + s.length());
        String range = request.header("Content-Range");
        if (range != null) {
            Matcher piece = PIECE.matcher(range.trim());
            if (!piece.matches()) {
                throw new HttpProtocolException(400, "Content-Range is not bytes FROM-TO/TOTAL");
            }
            int from = Integer.parseInt(piece.group(1));
            int to = Integer.parseInt(piece.group(2));
            int total = Integer.parseInt(piece.group(3));
            if (to - from + 1 != sent.length || to >= total) {
                throw new HttpProtocolException(400, "Content-Range and the body's length don't agree");
            }
            RequestDecision decision = queries.uploadChunk(key, from, sent, total, to == total - 1);
            if (!(decision instanceof RequestDecision.UploadComplete whole)) {
                told(request, exchange, key, decision, wait(request, USUAL_WAIT));
                return;
            }
            sent = whole.body();
        }
        byte[] body = ContentCoding.ofContent(request.header("Content-Encoding")).unpack(sent,
                HttpReader.MAX_BODY_BYTES);
        EdgeRequest ask;
        try {
            ask = EdgeRequest.of(body, launch.get());
        } catch (QueryBody.InvalidQueryBodyException | EdgeRequest.InvalidQueryException e) {
            throw new HttpProtocolException(400, e.getMessage());
        }
        told(request, exchange, key, queries.submit(key, ask), wait(request, USUAL_WAIT));
    }

    private static int wait(HttpMessage request, int otherwise) {
        String prefer = request.header("Prefer");
        if (prefer == null) {
            return otherwise;
        }
        Matcher m = WAIT.matcher(prefer);
        return m.find() ? Math.min(MOST_WAIT, Integer.parseInt(m.group(1)))
                : prefer.toLowerCase(Locale.ROOT).contains("respond-async") ? 0 : otherwise;
    }

    /** Tells the device what its asking came to, waiting for an outcome if there is none yet. */
    private void told(HttpMessage request, HttpExchange exchange, IdempotencyKey key, RequestDecision decision,
            int wait)
            throws IOException, InterruptedException {
        if (decision instanceof RequestDecision.Execute run) {
            await(request, exchange, key, run.request(), wait);
        } else if (decision instanceof RequestDecision.Attach attach) {
            await(request, exchange, key, attach.request(), wait);
        } else if (decision instanceof RequestDecision.Replay replay) {
            outcome(request, exchange, replay.outcome());
        } else if (decision instanceof RequestDecision.AwaitChunk more) {
            answer(exchange, 202, "Location: /queries/" + key.id() + "\r\nUpload-Offset: " + more.offset() + "\r\n",
                    JSON,
                    bytes("{\"outcome\":\"uploading\",\"offset\":" + more.offset() + "}"));
        } else if (decision instanceof RequestDecision.Conflict) {
            problem(exchange, 409, "", "conflict", "this id stands for another query; nothing was run");
        } else if (decision instanceof RequestDecision.Reject r) {
            problem(exchange, r.reason() == RequestDecision.RejectionReason.CAPACITY_EXCEEDED ? 503 : 429,
                    "Retry-After: " + seconds(r.retryAfter()) + "\r\n",
                    "later", "not now: " + r.reason().text()
                            + "; nothing was run, ask again under this id");
        } else if (decision instanceof RequestDecision.InvalidKey bad) {
            problem(exchange, 400, "", "id", bad.reason());
        } else if (decision instanceof RequestDecision.Expired) {
            problem(exchange, 410, "", "forgotten",
                    "this id is older than what is remembered: whether it ran is not known");
        } else {
            problem(exchange, 404, "", "unknown",
                    "nothing is known of this id: it was never taken, or may be asked again");
        }
    }

    private void await(HttpMessage request, HttpExchange exchange, IdempotencyKey key, RequestRecord asked, int wait)
            throws IOException, InterruptedException {
        StoredOutcome outcome = null;
        boolean pending = false;
        try {
            CompletableFuture<StoredOutcome> out = queries.await(asked);
            var gone = new CompletableFuture<StoredOutcome>();
            exchange.whenClientDisconnects(() -> gone.complete(null));
            Object first = CompletableFuture.anyOf(out, gone).get(wait, TimeUnit.SECONDS);
            outcome = (StoredOutcome) first;
            if (first == null && !out.isDone()) {
                exchange.answer(499, "", new byte[0]); // to nobody: the device's link is gone, its query goes on
                return;
            }
        } catch (TimeoutException e) {
            pending = true;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        } finally {
            queries.waiterLeft(asked);
        }
        if (outcome != null) {
            outcome(request, exchange, outcome);
        } else if (pending) {
            answer(exchange, 202, "Location: /queries/" + key.id() + "\r\nRetry-After: 1\r\n", JSON,
                    bytes("{\"outcome\":\"pending\"}"));
        } else {
            problem(exchange, 503, "Retry-After: 1\r\n", "later",
                    "cancelled, as nobody waited for it; its class may repeat: ask again under this id");
        }
    }

    private void outcome(HttpMessage request, HttpExchange exchange, StoredOutcome outcome) throws IOException {
        switch (outcome.kind()) {
            case REJECTED -> answer(exchange, 503, "Retry-After: " + seconds(outcome.retryAfter()) + "\r\n", PROBLEM,
                    outcome.bytes());
            case FAILED_NEVER_RAN, FAILED_MAY_HAVE_RUN -> answer(exchange, 502, "", PROBLEM, outcome.bytes());
            default -> answered(request, exchange, outcome.bytes());
        }
    }

    private void answered(HttpMessage request, HttpExchange exchange, byte[] body) throws IOException {
        ContentCoding coding = ContentCoding.accepted(request.header("Accept-Encoding"), body.length);
        byte[] packed = coding.pack(body);
        String etag = "\"" + HexFormat.of().formatHex(EdgeRequest.sha256(body), 0, 12)
                + (coding == ContentCoding.IDENTITY ? "" : "-" + coding.token()) + "\"";
        String headers = "ETag: " + etag + "\r\nAccept-Ranges: bytes\r\nVary: Accept-Encoding\r\n"
                + (coding == ContentCoding.IDENTITY ? "" : "Content-Encoding: " + coding.token() + "\r\n");
        ByteRange range = ByteRange.of(request.header("Range"), request.header("If-Range"), etag, packed.length);
        switch (range.kind()) {
            case BEYOND ->
                problem(exchange, 416, "Content-Range: bytes */" + packed.length + "\r\nETag: " + etag + "\r\n",
                        "range", "the answer has " + packed.length + " bytes");
            case PART -> answer(exchange, 206, headers + "Content-Range: bytes " + range.from() + "-" + (range.to() - 1)
                    + "/" + packed.length + "\r\n", JSON, Arrays.copyOfRange(packed, range.from(), range.to()));
            default -> answer(exchange, 200, headers, JSON, packed);
        }
    }

    private static String seconds(long micros) {
        return Long.toString(Math.max(1, (micros + 999_999) / 1_000_000)); // whole ones: most clients read no others
    }

    private static void problem(HttpExchange exchange, int status, String headers, String type, String detail)
            throws IOException {
        answer(exchange, status, headers, PROBLEM, EdgeQueries.problem(type, status, detail, ""));
    }

    /** Every answer has the time, by which a device may set its clock. */
    private static void answer(HttpExchange exchange, int status, String headers, String type, byte[] body)
            throws IOException {
        exchange.answer(status,
                "Date: " + DateTimeFormatter.RFC_1123_DATE_TIME.format(ZonedDateTime.now(ZoneOffset.UTC))
                        + "\r\nCache-Control: no-store\r\nContent-Type: " + type + "\r\n" + headers,
                body);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }
}
