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
 * The edge over HTTP/1.1. {@code PUT /queries/ID} submits a query, and may be repeated when a connection fails;
 * {@code GET} waits for the outcome and returns it, or the rest of an interrupted answer by a Range header.
 * {@link EdgeQueries} decides what becomes of a request.
 */
public final class EdgeHttp {
    private static final String JSON = "application/json";
    private static final String PROBLEM = "application/problem+json";
    private static final Pattern PATH = Pattern.compile("/queries/([A-Za-z0-9_-]{1,64})");
    private static final Pattern CONTENT_RANGE = Pattern.compile("bytes ([0-9]{1,8})-([0-9]{1,8})/([0-9]{1,8})");
    private static final Pattern WAIT = Pattern.compile("(?:^|[,;\\s])wait=([0-9]{1,4})(?:$|[,;\\s])");
    /** Middleboxes on mobile links drop idle connections after a minute or less. */
    private static final int MAX_WAIT_SECONDS = 50;
    /** The wait for a submitted query without a Prefer header: as long as queries last at most. */
    private static final int DEFAULT_WAIT_SECONDS = 30;

    private final Supplier<LaunchConfig> launch;
    private final EdgeQueries queries;
    private final Devices devices;
    private final Server server;

    /** Creates the front and listens; no request is answered before {@link #start}. */
    public EdgeHttp(InetSocketAddress listen, int maxClients, Supplier<LaunchConfig> launch, EdgeQueries queries,
            Devices devices,
            Consumer<String> log) throws IOException {
        this.launch = launch;
        this.queries = queries;
        this.devices = devices;
        server = new Server("edge", listen, maxClients, maxClients, ConnectionTimeouts.LONG, this::handle, log);
    }

    /** Starts to serve. */
    public void start() {
        server.start();
    }

    /** Accepts requests for the first period, then stops, and answers those accepted within the second one. */
    public void shutDown(long handOverMillis, long finishMillis) throws IOException, InterruptedException {
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
        String authorization = request.header("Authorization");
        String device = authorization != null && authorization.regionMatches(true, 0, "Bearer ", 0, 7)
                ? devices.authenticate(authorization.substring(7).trim()) : null;
        if (device == null) {
            throw new HttpProtocolException(401, "no token, or not one of a device that may ask");
        }
        var key = new IdempotencyKey(device, path.group(1));
        switch (request.method()) {
            case "PUT" -> put(request, exchange, key);
            case "GET", "HEAD" -> {
                int waitSeconds = waitSeconds(request, 0);
                respond(request, exchange, key, queries.outcome(key, true), waitSeconds);
            }
            default -> problem(exchange, 405, "Allow: GET, HEAD, PUT\r\n", "request", "method not allowed");
        }
    }

    private void put(HttpMessage request, HttpExchange exchange, IdempotencyKey key)
            throws IOException, HttpProtocolException, InterruptedException {
        ByteSlice slice = request.body();
        byte[] content = Arrays.copyOfRange(slice.buffer(), slice.from(), slice.from() + slice.length());
        String range = request.header("Content-Range");
        if (range != null) {
            Matcher contentRange = CONTENT_RANGE.matcher(range.trim());
            if (!contentRange.matches()) {
                throw new HttpProtocolException(400, "Content-Range is not bytes FROM-TO/TOTAL");
            }
            int from = Integer.parseInt(contentRange.group(1));
            int to = Integer.parseInt(contentRange.group(2));
            int total = Integer.parseInt(contentRange.group(3));
            if (to - from + 1 != content.length || to >= total) {
                throw new HttpProtocolException(400, "Content-Range and the body's length don't agree");
            }
            RequestDecision uploaded = queries.uploadChunk(key, from, content, total, to == total - 1);
            if (!(uploaded instanceof RequestDecision.UploadComplete upload)) {
                respond(request, exchange, key, uploaded, waitSeconds(request, DEFAULT_WAIT_SECONDS));
                return;
            }
            content = upload.body();
        }
        byte[] body = ContentCoding.ofContentEncoding(request.header("Content-Encoding")).decompress(content,
                HttpReader.MAX_BODY_BYTES);
        RequestDecision decision;
        try {
            decision = queries.submit(key, EdgeRequest.parse(body, launch.get()));
        } catch (QueryBody.InvalidQueryBodyException | EdgeRequest.InvalidQueryException e) {
            throw new HttpProtocolException(400, e.getMessage());
        }
        respond(request, exchange, key, decision, waitSeconds(request, DEFAULT_WAIT_SECONDS));
    }

    /** Returns the wait from the Prefer header in seconds, limited to {@code MAX_WAIT_SECONDS}, or the default. */
    private static int waitSeconds(HttpMessage request, int defaultSeconds) {
        String prefer = request.header("Prefer");
        if (prefer == null) {
            return defaultSeconds;
        }
        Matcher matcher = WAIT.matcher(prefer);
        return matcher.find() ? Math.min(MAX_WAIT_SECONDS, Integer.parseInt(matcher.group(1)))
                : prefer.toLowerCase(Locale.ROOT).contains("respond-async") ? 0 : defaultSeconds;
    }

    /** Sends the response for a decision, after waiting for the outcome if there is none yet. */
    private void respond(HttpMessage request, HttpExchange exchange, IdempotencyKey key, RequestDecision decision,
            int waitSeconds)
            throws IOException, InterruptedException {
        if (decision instanceof RequestDecision.Execute run) {
            await(request, exchange, key, run.request(), waitSeconds);
        } else if (decision instanceof RequestDecision.Attach attach) {
            await(request, exchange, key, attach.request(), waitSeconds);
        } else if (decision instanceof RequestDecision.Replay replay) {
            sendOutcome(request, exchange, replay.outcome());
        } else if (decision instanceof RequestDecision.AwaitChunk awaitChunk) {
            answer(exchange, 202,
                    "Location: /queries/" + key.id() + "\r\nUpload-Offset: " + awaitChunk.offset() + "\r\n", JSON,
                    bytes("{\"outcome\":\"uploading\",\"offset\":" + awaitChunk.offset() + "}"));
        } else if (decision instanceof RequestDecision.Conflict) {
            problem(exchange, 409, "", "conflict", "this id stands for another query; nothing was run");
        } else if (decision instanceof RequestDecision.Reject reject) {
            problem(exchange, reject.reason() == RequestDecision.RejectionReason.CAPACITY_EXCEEDED ? 503 : 429,
                    "Retry-After: " + seconds(reject.retryAfter()) + "\r\n",
                    "later", "not now: " + reject.reason().text()
                            + "; nothing was run, ask again under this id");
        } else if (decision instanceof RequestDecision.InvalidKey invalidKey) {
            problem(exchange, 400, "", "id", invalidKey.reason());
        } else if (decision instanceof RequestDecision.Expired) {
            problem(exchange, 410, "", "forgotten",
                    "this id is older than what is remembered: whether it ran is not known");
        } else {
            problem(exchange, 404, "", "unknown",
                    "nothing is known of this id: it was never taken, or may be asked again");
        }
    }

    private void await(HttpMessage request, HttpExchange exchange, IdempotencyKey key, RequestRecord requestRecord,
            int waitSeconds) throws IOException, InterruptedException {
        StoredOutcome outcome = null;
        boolean pending = false;
        try {
            CompletableFuture<StoredOutcome> outcomeFuture = queries.await(requestRecord);
            var disconnected = new CompletableFuture<StoredOutcome>();
            exchange.whenClientDisconnects(() -> disconnected.complete(null));
            Object completed = CompletableFuture.anyOf(outcomeFuture, disconnected).get(waitSeconds, TimeUnit.SECONDS);
            outcome = (StoredOutcome) completed;
            if (completed == null && !outcomeFuture.isDone()) {
                // nobody receives it: the device has disconnected, its query continues
                exchange.answer(499, "", new byte[0]);
                return;
            }
        } catch (TimeoutException e) {
            pending = true;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        } finally {
            queries.waiterLeft(requestRecord);
        }
        if (outcome != null) {
            sendOutcome(request, exchange, outcome);
        } else if (pending) {
            answer(exchange, 202, "Location: /queries/" + key.id() + "\r\nRetry-After: 1\r\n", JSON,
                    bytes("{\"outcome\":\"pending\"}"));
        } else {
            problem(exchange, 503, "Retry-After: 1\r\n", "later",
                    "cancelled, as nobody waited for it; its class may repeat: ask again under this id");
        }
    }

    private void sendOutcome(HttpMessage request, HttpExchange exchange, StoredOutcome outcome) throws IOException {
        switch (outcome.kind()) {
            case REJECTED -> answer(exchange, 503, "Retry-After: " + seconds(outcome.retryAfter()) + "\r\n", PROBLEM,
                    outcome.bytes());
            case FAILED_NEVER_RAN, FAILED_MAY_HAVE_RUN -> answer(exchange, 502, "", PROBLEM, outcome.bytes());
            default -> sendAnswer(request, exchange, outcome.bytes());
        }
    }

    private void sendAnswer(HttpMessage request, HttpExchange exchange, byte[] body) throws IOException {
        ContentCoding coding = ContentCoding.negotiate(request.header("Accept-Encoding"), body.length);
        byte[] compressed = coding.compress(body);
        String etag = "\"" + HexFormat.of().formatHex(EdgeRequest.sha256(body), 0, 12)
                + (coding == ContentCoding.IDENTITY ? "" : "-" + coding.token()) + "\"";
        String headers = "ETag: " + etag + "\r\nAccept-Ranges: bytes\r\nVary: Accept-Encoding\r\n"
                + (coding == ContentCoding.IDENTITY ? "" : "Content-Encoding: " + coding.token() + "\r\n");
        ByteRange range = ByteRange.of(request.header("Range"), request.header("If-Range"), etag, compressed.length);
        switch (range.kind()) {
            case UNSATISFIABLE ->
                problem(exchange, 416, "Content-Range: bytes */" + compressed.length + "\r\nETag: " + etag + "\r\n",
                        "range", "the answer has " + compressed.length + " bytes");
            case PART -> answer(exchange, 206, headers + "Content-Range: bytes " + range.from() + "-" + (range.to() - 1)
                    + "/" + compressed.length + "\r\n", JSON, Arrays.copyOfRange(compressed, range.from(), range.to()));
            default -> answer(exchange, 200, headers, JSON, compressed);
        }
    }

    private static String seconds(long micros) {
        // rounded up to whole seconds, as most clients accept no fractions
        return Long.toString(Math.max(1, (micros + 999_999) / 1_000_000));
    }

    private static void problem(HttpExchange exchange, int status, String headers, String type, String detail)
            throws IOException {
        answer(exchange, status, headers, PROBLEM, EdgeQueries.problem(type, status, detail, ""));
    }

    /** Sends a response; each has a Date header, by which a device may set its clock. */
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
