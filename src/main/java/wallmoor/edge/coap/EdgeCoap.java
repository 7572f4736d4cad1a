package wallmoor.edge.coap;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.californium.core.CoapResource;
import org.eclipse.californium.core.CoapServer;
import org.eclipse.californium.core.coap.BlockOption;
import org.eclipse.californium.core.coap.CoAP.ResponseCode;
import org.eclipse.californium.core.coap.MediaTypeRegistry;
import org.eclipse.californium.core.coap.Option;
import org.eclipse.californium.core.coap.OptionSet;
import org.eclipse.californium.core.coap.Response;
import org.eclipse.californium.core.coap.option.StandardOptionRegistry;
import org.eclipse.californium.core.config.CoapConfig;
import org.eclipse.californium.core.network.CoapEndpoint;
import org.eclipse.californium.core.server.resources.CoapExchange;
import org.eclipse.californium.core.server.resources.Resource;
import org.eclipse.californium.elements.config.Configuration;
import org.eclipse.californium.elements.config.UdpConfig;
import org.eclipse.californium.elements.util.DaemonThreadFactory;
import org.eclipse.californium.elements.util.ExecutorsUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.LaunchConfig;
import wallmoor.edge.Devices;
import wallmoor.edge.EdgeQueries;
import wallmoor.edge.EdgeRequest;
import wallmoor.idempotency.IdempotencyKey;
import wallmoor.idempotency.RequestDecision;
import wallmoor.idempotency.RequestRecord;
import wallmoor.idempotency.StoredOutcome;
import wallmoor.queries.QueryBody;

/**
 * The edge over CoAP (RFC 7252) on Californium. {@code PUT /queries/ID} submits a query, in blocks if it is large
 * (Block1, RFC 7959); {@code GET} returns its outcome, any block of it at any time (Block2). Blocks are stored by
 * device and id, not by address as Californium's own layer does, so that a device can continue after its address
 * changes.
 */
public final class EdgeCoap {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** The block size as the exponent of the Block options; a block and its headers fit usual paths unfragmented. */
    private static final int BLOCK_SZX = 5;
    /** 2 to the power of {@code BLOCK_SZX + 4}. */
    private static final int BLOCK_BYTES = 512;
    private static final int MAX_WAIT_SECONDS = 50;
    /** The maximum number of requests that wait; a request beyond is answered at once that the outcome is pending. */
    private static final int MAX_WAITING = 1_024;
    /** The time between datagrams of one peer at its maximum rate; a device has one exchange at a time. */
    private static final long PEER_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** A body of the maximum size in blocks of 64 bytes. */
    private static final int PEER_BURST = 1_024;
    private static final int MAX_PEERS = 8_192;
    private static final int PROTOCOL_THREADS = 2;
    /** The number of messages received, or to be sent, that are held in memory; one takes some 2 KB. */
    private static final int MAX_QUEUED_MESSAGES = 512;
    /** The maximum time at the end to answer requests whose query has ended. */
    private static final long MAX_ANSWER_MILLIS = 1_000;
    /** The time that Californium's threads have to send the last responses. */
    private static final long SEND_MILLIS = 20;

    private final Logger log = LoggerFactory.getLogger(EdgeCoap.class);
    private final Supplier<LaunchConfig> launch;
    private final EdgeQueries queries;
    private final Devices devices;
    /** The number of requests that wait for an outcome. */
    private final AtomicInteger waiting = new AtomicInteger();
    private final VerifiedAddresses verified = new VerifiedAddresses();
    private final CoapServer server;
    private final ObjectMapper json = new ObjectMapper();
    private final CBORMapper cbor = new CBORMapper();
    private final ScheduledThreadPoolExecutor waitTimers = new ScheduledThreadPoolExecutor(1,
            new DaemonThreadFactory("edge-coap-wait#"));

    /** Creates the front; it listens from {@link #start} on. */
    public EdgeCoap(InetSocketAddress listen, Supplier<LaunchConfig> launch, EdgeQueries queries, Devices devices) {
        this.launch = launch;
        this.queries = queries;
        this.devices = devices;
        CoapConfig.register();
        UdpConfig.register();
        Configuration config = Configuration.createStandardWithoutFile();
        config.set(CoapConfig.MAX_RESOURCE_BODY_SIZE, 0); // blocks are handled here: see above
        config.set(CoapConfig.MAX_MESSAGE_SIZE, 1024);
        config.set(CoapConfig.PREFERRED_BLOCK_SIZE, BLOCK_BYTES);
        config.set(CoapConfig.MAX_ACTIVE_PEERS, MAX_PEERS);
        // Both methods are idempotent and requests have ids of their own, so messages need not be remembered to detect
        // repeated ones (RFC 7252, section 4.5); the memory for that would grow with the rate of messages.
        config.set(CoapConfig.DEDUPLICATOR, CoapConfig.NO_DEDUPLICATOR);
        config.set(UdpConfig.UDP_RECEIVER_THREAD_COUNT, 1);
        config.set(UdpConfig.UDP_CONNECTOR_OUT_CAPACITY, MAX_QUEUED_MESSAGES);
        waitTimers.setRemoveOnCancelPolicy(true);
        server = new CoapServer(config);
        var executor = new ProtocolExecutor(PROTOCOL_THREADS, MAX_QUEUED_MESSAGES,
                new DaemonThreadFactory("edge-coap#"));
        server.setExecutors(executor, ExecutorsUtil.newDefaultSecondaryScheduler("edge-coap-timer#"), false);
        var limiter = new PeerRateLimiter(PEER_INTERVAL_NANOS, PEER_BURST, MAX_PEERS);
        server.addEndpoint(CoapEndpoint.builder().setConfiguration(config)
                .setConnector(new LimitedUdpConnector(listen, config, limiter, executor)).build());
        server.add(new Queries());
    }

    /** Starts to serve. */
    public void start() {
        server.start();
    }

    /**
     * Serves for so many milliseconds, so that devices can fetch the remaining blocks of answers; then stops. Requests
     * that wait for an outcome then are answered before, as every query has ended by this time.
     */
    public void shutDown(long millis) throws InterruptedException {
        Thread.sleep(millis);
        long latestAnswer = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_ANSWER_MILLIS);
        while (waiting.get() > 0 && System.nanoTime() < latestAnswer) {
            Thread.sleep(SEND_MILLIS);
        }
        Thread.sleep(SEND_MILLIS);
        server.destroy();
        waitTimers.shutdownNow();
    }

    /** The resource of all queries; their ids are read from the path. */
    private final class Queries extends CoapResource {
        Queries() {
            super("queries");
        }

        @Override
        public Resource getChild(String name) {
            return this;
        }

        @Override
        public void handlePUT(CoapExchange exchange) {
            guarded(exchange, () -> put(exchange));
        }

        @Override
        public void handleGET(CoapExchange exchange) {
            guarded(exchange, () -> {
                IdempotencyKey key = authenticate(exchange);
                if (key != null) {
                    respondTo(exchange, key, queries.outcome(key, true), true);
                }
            });
        }
    }

    /** Runs the work, and responds with an internal error if it fails. */
    private void guarded(CoapExchange exchange, Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            log.error("CoAP request failed", e);
            exchange.respond(ResponseCode.INTERNAL_SERVER_ERROR);
        }
    }

    /** Returns the key of the query, or null after responding: wrong path or token, or unverified address. */
    private IdempotencyKey authenticate(CoapExchange exchange) {
        OptionSet options = exchange.getRequestOptions();
        List<String> path = options.getUriPath();
        if (path.size() != 2 || !path.get(1).matches("[A-Za-z0-9_-]{1,64}")) {
            respondProblem(exchange, ResponseCode.NOT_FOUND, "request", 404, "there is queries/ID alone", "");
            return null;
        }
        String device = devices.authenticate(queryParameter(options, "token"));
        if (device == null) {
            respond(exchange, new Response(ResponseCode.UNAUTHORIZED)); // no larger than the request
            return null;
        }
        byte[] echo = null;
        for (Option option : options.asSortedList()) {
            if (option.getNumber() == StandardOptionRegistry.ECHO.getNumber()) {
                echo = option.getValue();
            }
        }
        InetSocketAddress from = exchange.getSourceSocketAddress();
        long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        // RFC 9175 section 2.4: an unverified address may be forged, so it gets no large response
        if (!verified.isVerified(now, from, echo)) {
            var challenge = new Response(ResponseCode.UNAUTHORIZED);
            challenge.getOptions().addOption(VerifiedAddresses.option(verified.challenge(now, from)));
            respond(exchange, challenge);
            return null;
        }
        return new IdempotencyKey(device, path.get(1));
    }

    private static String queryParameter(OptionSet options, String name) {
        for (String parameter : options.getUriQuery()) {
            if (parameter.startsWith(name + "=")) {
                return parameter.substring(name.length() + 1);
            }
        }
        return null;
    }

    private void put(CoapExchange exchange) {
        IdempotencyKey key = authenticate(exchange);
        if (key == null) {
            return;
        }
        byte[] body = exchange.getRequestPayload() == null ? new byte[0] : exchange.getRequestPayload();
        BlockOption block = exchange.getRequestOptions().getBlock1();
        if (block != null) {
            long from = (long) block.getNum() * block.getSize();
            if (from + body.length > MAX_BODY_BYTES) {
                respondProblem(exchange, ResponseCode.REQUEST_ENTITY_TOO_LARGE, "request", 413,
                        "a query has 64 KiB at most", "");
                return;
            }
            RequestDecision decision = queries.uploadChunk(key, (int) from, body, -1, !block.isM());
            if (decision instanceof RequestDecision.AwaitChunk awaitChunk && awaitChunk.offset() < from + body.length) {
                // the device has to start again, or repeat an earlier block
                var incomplete = new Response(ResponseCode.REQUEST_ENTITY_INCOMPLETE);
                incomplete.setPayload("expected " + awaitChunk.offset());
                respond(exchange, incomplete);
                return;
            }
            if (decision instanceof RequestDecision.AwaitChunk) {
                var continueResponse = new Response(ResponseCode.CONTINUE);
                continueResponse.getOptions().setBlock1(block.getSzx(), block.isM(), block.getNum());
                respond(exchange, continueResponse);
                return;
            }
            if (!(decision instanceof RequestDecision.UploadComplete upload)) {
                respondTo(exchange, key, decision, false);
                return;
            }
            body = upload.body();
        }
        try {
            EdgeRequest edgeRequest = EdgeRequest.parse(json(body, exchange.getRequestOptions().getContentFormat()),
                    launch.get());
            respondTo(exchange, key, queries.submit(key, edgeRequest), false);
        } catch (QueryBody.InvalidQueryBodyException | EdgeRequest.InvalidQueryException | IOException e) {
            respondProblem(exchange, ResponseCode.BAD_REQUEST, "request", 400, e.getMessage(), "");
        }
    }

    /** Returns the body as JSON, converted if it is CBOR. */
    private byte[] json(byte[] body, int format) throws IOException {
        return format == MediaTypeRegistry.APPLICATION_CBOR ? json.writeValueAsBytes(cbor.readTree(body)) : body;
    }

    /**
     * Responds to a decision. A PUT is answered at once when the query is accepted, and the outcome is fetched by GET:
     * the response to a PUT is one datagram, so that no large one depends on a link that may have failed.
     *
     * @param wantsOutcome whether the request is a GET
     */
    private void respondTo(CoapExchange exchange, IdempotencyKey key, RequestDecision decision, boolean wantsOutcome) {
        if (decision instanceof RequestDecision.Execute run) {
            queries.waiterLeft(run.request());
            respondAccepted(exchange, key, ResponseCode.CREATED);
        } else if (decision instanceof RequestDecision.Attach attach) {
            if (wantsOutcome) {
                await(exchange, attach.request());
            } else {
                queries.waiterLeft(attach.request());
                respondAccepted(exchange, key, ResponseCode.CHANGED);
            }
        } else if (decision instanceof RequestDecision.Replay replay) {
            if (wantsOutcome) {
                respondOutcome(exchange, replay.outcome());
            } else {
                respondAccepted(exchange, key, ResponseCode.CHANGED);
            }
        } else if (decision instanceof RequestDecision.AwaitChunk awaitChunk) {
            respondProblem(exchange, ResponseCode.CONTENT, "uploading", 202, "not all of it has come",
                    "\"outcome\":\"uploading\",\"offset\":" + awaitChunk.offset());
        } else if (decision instanceof RequestDecision.Conflict) {
            respondProblem(exchange, ResponseCode.CONFLICT, "conflict", 409,
                    "this id stands for another query; nothing was run", "");
        } else if (decision instanceof RequestDecision.Reject reject) {
            respondRetryLater(exchange,
                    reject.reason() == RequestDecision.RejectionReason.CAPACITY_EXCEEDED
                            ? ResponseCode.SERVICE_UNAVAILABLE
                            : ResponseCode.TOO_MANY_REQUESTS,
                    reject.retryAfter());
        } else if (decision instanceof RequestDecision.InvalidKey invalidKey) {
            respondProblem(exchange, ResponseCode.BAD_REQUEST, "id", 400, invalidKey.reason(),
                    "\"now_ms\":" + System.currentTimeMillis());
        } else if (decision instanceof RequestDecision.Expired) {
            respondProblem(exchange, ResponseCode.NOT_FOUND, "forgotten", 410, "older than what is remembered",
                    "\"outcome\":\"forgotten\"");
        } else {
            respondProblem(exchange, ResponseCode.NOT_FOUND, "unknown", 404, "nothing is known of this id", "");
        }
    }

    private void respondAccepted(CoapExchange exchange, IdempotencyKey key, ResponseCode code) {
        var response = new Response(code);
        response.getOptions().addLocationPath("queries").addLocationPath(key.id());
        BlockOption block = exchange.getRequestOptions().getBlock1();
        if (block != null) {
            response.getOptions().setBlock1(block.getSzx(), false, block.getNum());
        }
        respond(exchange, response);
    }

    /** Responds with the outcome when the query ends, or that it is pending after the wait the device requested. */
    private void await(CoapExchange exchange, RequestRecord requestRecord) {
        String waitParameter = queryParameter(exchange.getRequestOptions(), "wait");
        int waitSeconds = waitParameter != null && waitParameter.matches("[0-9]{1,4}")
                ? Math.min(MAX_WAIT_SECONDS, Integer.parseInt(waitParameter))
                : 0;
        Runnable respondPending = () -> respondProblem(exchange, ResponseCode.CONTENT, "pending", 202,
                "no outcome yet", "\"outcome\":\"pending\"");
        if (waitSeconds == 0 || waiting.get() >= MAX_WAITING) {
            queries.waiterLeft(requestRecord);
            respondPending.run();
            return;
        }
        waiting.incrementAndGet();
        exchange.accept(); // an empty acknowledgement: a separate response follows
        var answered = new AtomicBoolean();
        Consumer<Runnable> answerOnce = response -> {
            if (answered.compareAndSet(false, true)) {
                queries.waiterLeft(requestRecord);
                guarded(exchange, response);
                waiting.decrementAndGet();
            }
        };
        var timer = waitTimers.schedule(() -> answerOnce.accept(respondPending), waitSeconds, TimeUnit.SECONDS);
        var unusedStage = queries.await(requestRecord).thenAccept(outcome -> {
            timer.cancel(false);
            answerOnce.accept(() -> {
                if (outcome == null) {
                    respondRetryLater(exchange, ResponseCode.SERVICE_UNAVAILABLE, 1_000_000);
                } else {
                    respondOutcome(exchange, outcome);
                }
            });
        });
    }

    private void respondOutcome(CoapExchange exchange, StoredOutcome outcome) {
        ResponseCode code = switch (outcome.kind()) {
            case REJECTED -> ResponseCode.SERVICE_UNAVAILABLE;
            case FAILED_NEVER_RAN, FAILED_MAY_HAVE_RUN -> ResponseCode.BAD_GATEWAY;
            default -> ResponseCode.CONTENT;
        };
        respondBody(exchange, new Response(code), outcome.bytes(), Math.max(1, outcome.retryAfter() / 1_000_000));
    }

    private void respondRetryLater(CoapExchange exchange, ResponseCode code, long retryAfterMicros) {
        long seconds = Math.max(1, (retryAfterMicros + 999_999) / 1_000_000);
        respondBody(exchange, new Response(code), EdgeQueries.problem("later", 503,
                "nothing was run, ask again under this id", "\"retry_after_ms\":" + retryAfterMicros / 1000), seconds);
    }

    private void respondProblem(CoapExchange exchange, ResponseCode code, String type, int status, String detail,
            String members) {
        respondBody(exchange, new Response(code), EdgeQueries.problem(type, status, detail, members), 0);
    }

    /** Sends a body, or the requested block of it; each block has the ETag of the complete body. */
    private void respondBody(CoapExchange exchange, Response response, byte[] content, long maxAge) {
        boolean asCbor = exchange.getRequestOptions().getAccept() == MediaTypeRegistry.APPLICATION_CBOR;
        byte[] payload = content;
        try {
            payload = asCbor ? cbor.writeValueAsBytes(json.readTree(content)) : content;
        } catch (IOException e) {
            asCbor = false; // the body includes a worker's text unchecked and may not be JSON: sent as it is
        }
        response.getOptions().setContentFormat(asCbor ? MediaTypeRegistry.APPLICATION_CBOR
                : MediaTypeRegistry.APPLICATION_JSON).addETag(Arrays.copyOf(EdgeRequest.sha256(payload), 8));
        if (maxAge > 0) {
            response.getOptions().setMaxAge(maxAge);
        }
        BlockOption requestedBlock = exchange.getRequestOptions().getBlock2();
        int szx = requestedBlock == null ? BLOCK_SZX : Math.min(BLOCK_SZX, requestedBlock.getSzx());
        int size = 16 << szx;
        long from = requestedBlock == null ? 0 : requestedBlock.getNum() * (16L << requestedBlock.getSzx());
        if (from > 0 && from >= payload.length) {
            respond(exchange, new Response(ResponseCode.BAD_OPTION));
            return;
        }
        if (requestedBlock != null || payload.length > size) {
            int to = (int) Math.min(payload.length, from + size);
            response.getOptions().setBlock2(szx, to < payload.length, (int) (from / size)).setSize2(payload.length);
            payload = Arrays.copyOfRange(payload, (int) from, to);
        }
        response.setPayload(payload);
        respond(exchange, response);
    }

    private static void respond(CoapExchange exchange, Response response) {
        exchange.respond(response);
    }
}
