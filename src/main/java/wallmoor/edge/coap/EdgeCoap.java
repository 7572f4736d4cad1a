package wallmoor.edge.coap;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
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
 * The edge over CoAP (RFC 7252) on Californium. {@code PUT /queries/ID} takes a query, in blocks if need be (Block1,
 * RFC 7959); {@code GET} tells its outcome, any block of it at any time (Block2). Blocks are kept by device and id, not
 * by address as Californium's own layer would: a device whose address changes half-way goes on.
 */
public final class EdgeCoap {
    private static final int MOST_BODY = 64 * 1024;
    /** A block and its headers fit every usual path without fragments. */
    private static final int SZX = 5;
    private static final int BLOCK = 512;
    private static final int MOST_WAIT = 50;

    private final Logger log = LoggerFactory.getLogger(EdgeCoap.class);
    private final Supplier<LaunchConfig> launch;
    private final EdgeQueries queries;
    private final Devices devices;
    private final VerifiedAddresses verified = new VerifiedAddresses();
    private final CoapServer server;
    private final ObjectMapper json = new ObjectMapper();
    private final CBORMapper cbor = new CBORMapper();
    private final java.util.concurrent.ScheduledExecutorService waits = java.util.concurrent.Executors
            .newSingleThreadScheduledExecutor(r -> {
                var t = new Thread(r, "edge-coap-wait");
                t.setDaemon(true);
                return t;
            });

    /** Makes the front; it listens from {@link #start} on. */
    public EdgeCoap(InetSocketAddress listen, Supplier<LaunchConfig> launch, EdgeQueries queries, Devices devices) {
        this.launch = launch;
        this.queries = queries;
        this.devices = devices;
        CoapConfig.register();
        UdpConfig.register();
        Configuration config = Configuration.createStandardWithoutFile();
        config.set(CoapConfig.MAX_RESOURCE_BODY_SIZE, 0); // blocks are ours: see above
        config.set(CoapConfig.MAX_MESSAGE_SIZE, 1024);
        config.set(CoapConfig.PREFERRED_BLOCK_SIZE, BLOCK);
        config.set(CoapConfig.MAX_ACTIVE_PEERS, 20_000);
        config.set(CoapConfig.PROTOCOL_STAGE_THREAD_COUNT, 2);
        server = new CoapServer(config);
        server.addEndpoint(CoapEndpoint.builder().setInetSocketAddress(listen).setConfiguration(config).build());
        server.add(new Queries());
    }

    /** Begins to serve. */
    public void start() {
        server.start();
    }

    /** Goes on for so long, so that answers which are half delivered are asked for to their end; then stops. */
    public void leave(long millis) throws InterruptedException {
        Thread.sleep(millis);
        server.destroy();
        waits.shutdownNow();
    }

    /** All queries are one resource's: their ids are read from the path. */
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
                IdempotencyKey key = key(exchange);
                if (key != null) {
                    told(exchange, key, queries.outcome(key, true), true);
                }
            });
        }
    }

    private void guarded(CoapExchange exchange, Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            log.error("request failed", e);
            exchange.respond(ResponseCode.INTERNAL_SERVER_ERROR);
        }
    }

    /** Whose query it is, or null where that was answered: no token, or an address that must be proven first. */
    private IdempotencyKey key(CoapExchange exchange) {
        OptionSet options = exchange.getRequestOptions();
        List<String> path = options.getUriPath();
        if (path.size() != 2 || !path.get(1).matches("[A-Za-z0-9_-]{1,64}")) {
            problem(exchange, ResponseCode.NOT_FOUND, "request", 404, "there is queries/ID alone", "");
            return null;
        }
        String device = devices.of(query(options, "token"));
        if (device == null) {
            respond(exchange, new Response(ResponseCode.UNAUTHORIZED)); // not larger than what was asked
            return null;
        }
        byte[] echo = null;
        for (Option o : options.asSortedList()) {
            if (o.getNumber() == StandardOptionRegistry.ECHO.getNumber()) {
                echo = o.getValue();
            }
        }
        InetSocketAddress from = exchange.getSourceSocketAddress();
        long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        if (!verified.isVerified(now, from, echo)) { // RFC 9175 section 2.4: nothing large to who may be somebody else
            var challenge = new Response(ResponseCode.UNAUTHORIZED);
            challenge.getOptions().addOption(VerifiedAddresses.option(verified.challenge(now, from)));
            respond(exchange, challenge);
            return null;
        }
        return new IdempotencyKey(device, path.get(1));
    }

    private static String query(OptionSet options, String name) {
        for (String q : options.getUriQuery()) {
            if (q.startsWith(name + "=")) {
                return q.substring(name.length() + 1);
            }
        }
        return null;
    }

    private void put(CoapExchange exchange) {
        IdempotencyKey key = key(exchange);
        if (key == null) {
            return;
        }
        byte[] body = exchange.getRequestPayload() == null ? new byte[0] : exchange.getRequestPayload();
        BlockOption block = exchange.getRequestOptions().getBlock1();
        if (block != null) {
            long from = (long) block.getNum() * block.getSize();
            if (from + body.length > MOST_BODY) {
                problem(exchange, ResponseCode.REQUEST_ENTITY_TOO_LARGE, "request", 413, "a query has 64 KiB at most",
                        "");
                return;
            }
            RequestDecision decision = queries.uploadChunk(key, (int) from, body, -1, !block.isM());
            if (decision instanceof RequestDecision.AwaitChunk more && more.offset() < from + body.length) {
                // begin again, or with the one before
                var incomplete = new Response(ResponseCode.REQUEST_ENTITY_INCOMPLETE);
                incomplete.setPayload("expected " + more.offset());
                respond(exchange, incomplete);
                return;
            }
            if (decision instanceof RequestDecision.AwaitChunk) {
                var go = new Response(ResponseCode.CONTINUE);
                go.getOptions().setBlock1(block.getSzx(), block.isM(), block.getNum());
                respond(exchange, go);
                return;
            }
            if (!(decision instanceof RequestDecision.UploadComplete whole)) {
                told(exchange, key, decision, false);
                return;
            }
            body = whole.body();
        }
        try {
            EdgeRequest ask = EdgeRequest.of(json(body, exchange.getRequestOptions().getContentFormat()), launch.get());
            told(exchange, key, queries.submit(key, ask), false);
        } catch (QueryBody.InvalidQueryBodyException | EdgeRequest.InvalidQueryException | IOException e) {
            problem(exchange, ResponseCode.BAD_REQUEST, "request", 400, e.getMessage(), "");
        }
    }

    private byte[] json(byte[] body, int format) throws IOException {
        return format == MediaTypeRegistry.APPLICATION_CBOR ? json.writeValueAsBytes(cbor.readTree(body)) : body;
    }

    /**
     * Tells the device what its asking came to. Who puts a query hears at once that it was taken, and gets what comes
     * of it: one datagram each, so that nothing large hangs on a link that may be gone.
     */
    private void told(CoapExchange exchange, IdempotencyKey key, RequestDecision decision, boolean wants) {
        if (decision instanceof RequestDecision.Execute run) {
            queries.waiterLeft(run.request());
            taken(exchange, key, ResponseCode.CREATED);
        } else if (decision instanceof RequestDecision.Attach attach) {
            if (wants) {
                await(exchange, attach.request());
            } else {
                queries.waiterLeft(attach.request());
                taken(exchange, key, ResponseCode.CHANGED);
            }
        } else if (decision instanceof RequestDecision.Replay replay) {
            if (wants) {
                outcome(exchange, replay.outcome());
            } else {
                taken(exchange, key, ResponseCode.CHANGED);
            }
        } else if (decision instanceof RequestDecision.AwaitChunk more) {
            problem(exchange, ResponseCode.CONTENT, "uploading", 202, "not all of it has come",
                    "\"outcome\":\"uploading\",\"offset\":" + more.offset());
        } else if (decision instanceof RequestDecision.Conflict) {
            problem(exchange, ResponseCode.CONFLICT, "conflict", 409,
                    "this id stands for another query; nothing was run", "");
        } else if (decision instanceof RequestDecision.Reject r) {
            later(exchange,
                    r.reason() == RequestDecision.RejectionReason.CAPACITY_EXCEEDED ? ResponseCode.SERVICE_UNAVAILABLE
                            : ResponseCode.TOO_MANY_REQUESTS,
                    r.retryAfter());
        } else if (decision instanceof RequestDecision.InvalidKey bad) {
            problem(exchange, ResponseCode.BAD_REQUEST, "id", 400, bad.reason(),
                    "\"now_ms\":" + System.currentTimeMillis());
        } else if (decision instanceof RequestDecision.Expired) {
            problem(exchange, ResponseCode.NOT_FOUND, "forgotten", 410, "older than what is remembered",
                    "\"outcome\":\"forgotten\"");
        } else {
            problem(exchange, ResponseCode.NOT_FOUND, "unknown", 404, "nothing is known of this id", "");
        }
    }

    private void taken(CoapExchange exchange, IdempotencyKey key, ResponseCode code) {
        var response = new Response(code);
        response.getOptions().addLocationPath("queries").addLocationPath(key.id());
        BlockOption block = exchange.getRequestOptions().getBlock1();
        if (block != null) {
            response.getOptions().setBlock1(block.getSzx(), false, block.getNum());
        }
        respond(exchange, response);
    }

    /** Answers when the outcome is there, or that it is not after the time that the device would wait. */
    private void await(CoapExchange exchange, RequestRecord asked) {
        String wish = query(exchange.getRequestOptions(), "wait");
        int wait = wish != null && wish.matches("[0-9]{1,4}") ? Math.min(MOST_WAIT, Integer.parseInt(wish)) : 0;
        var answered = new AtomicBoolean();
        exchange.accept(); // an empty acknowledgement: the answer comes by itself
        CompletableFuture<StoredOutcome> out = queries.await(asked);
        var unusedStage = out.thenAccept(outcome -> {
            if (answered.compareAndSet(false, true)) {
                queries.waiterLeft(asked);
                guarded(exchange, () -> {
                    if (outcome == null) {
                        later(exchange, ResponseCode.SERVICE_UNAVAILABLE, 1_000_000);
                    } else {
                        outcome(exchange, outcome);
                    }
                });
            }
        });
        var unusedTimer = waits.schedule(() -> {
            if (answered.compareAndSet(false, true)) {
                queries.waiterLeft(asked);
                guarded(exchange, () -> problem(exchange, ResponseCode.CONTENT, "pending", 202, "no outcome yet",
                        "\"outcome\":\"pending\""));
            }
        }, wait, TimeUnit.SECONDS);
    }

    private void outcome(CoapExchange exchange, StoredOutcome outcome) {
        ResponseCode code = switch (outcome.kind()) {
            case REJECTED -> ResponseCode.SERVICE_UNAVAILABLE;
            case FAILED_NEVER_RAN, FAILED_MAY_HAVE_RUN -> ResponseCode.BAD_GATEWAY;
            default -> ResponseCode.CONTENT;
        };
        body(exchange, new Response(code), outcome.bytes(), Math.max(1, outcome.retryAfter() / 1_000_000));
    }

    private void later(CoapExchange exchange, ResponseCode code, long comeBack) {
        long seconds = Math.max(1, (comeBack + 999_999) / 1_000_000);
        body(exchange, new Response(code), EdgeQueries.problem("later", 503, "nothing was run, ask again under this id",
                "\"retry_after_ms\":" + comeBack / 1000), seconds);
    }

    private void problem(CoapExchange exchange, ResponseCode code, String type, int status, String detail,
            String members) {
        body(exchange, new Response(code), EdgeQueries.problem(type, status, detail, members), 0);
    }

    /** Sends a body, or the block of it that was asked for; every block has the ETag of the whole. */
    private void body(CoapExchange exchange, Response response, byte[] told, long maxAge) {
        boolean asCbor = exchange.getRequestOptions().getAccept() == MediaTypeRegistry.APPLICATION_CBOR;
        byte[] all = told;
        try {
            all = asCbor ? cbor.writeValueAsBytes(json.readTree(told)) : told;
        } catch (IOException e) {
            asCbor = false; // what a node gave was taken over as text, and is sent so
        }
        response.getOptions().setContentFormat(asCbor ? MediaTypeRegistry.APPLICATION_CBOR
                : MediaTypeRegistry.APPLICATION_JSON).addETag(Arrays.copyOf(EdgeRequest.sha256(all), 8));
        if (maxAge > 0) {
            response.getOptions().setMaxAge(maxAge);
        }
        BlockOption asked = exchange.getRequestOptions().getBlock2();
        int szx = asked == null ? SZX : Math.min(SZX, asked.getSzx());
        int size = 16 << szx;
        long from = asked == null ? 0 : asked.getNum() * (16L << asked.getSzx());
        if (from > 0 && from >= all.length) {
            respond(exchange, new Response(ResponseCode.BAD_OPTION));
            return;
        }
        if (asked != null || all.length > size) {
            int to = (int) Math.min(all.length, from + size);
            response.getOptions().setBlock2(szx, to < all.length, (int) (from / size)).setSize2(all.length);
            all = Arrays.copyOfRange(all, (int) from, to);
        }
        response.setPayload(all);
        respond(exchange, response);
    }

    private static void respond(CoapExchange exchange, Response response) {
        exchange.respond(response);
    }
}
