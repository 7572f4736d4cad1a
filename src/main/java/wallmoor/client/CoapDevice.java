package wallmoor.client;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.californium.core.CoapClient;
import org.eclipse.californium.core.CoapResponse;
import org.eclipse.californium.core.coap.CoAP.ResponseCode;
import org.eclipse.californium.core.coap.MediaTypeRegistry;
import org.eclipse.californium.core.coap.Option;
import org.eclipse.californium.core.coap.Request;
import org.eclipse.californium.core.coap.option.StandardOptionRegistry;
import org.eclipse.californium.core.config.CoapConfig;
import org.eclipse.californium.core.network.CoapEndpoint;
import org.eclipse.californium.elements.config.Configuration;
import org.eclipse.californium.elements.config.UdpConfig;
import org.eclipse.californium.elements.exception.ConnectorException;

/**
 * A device that uses CoAP: it sends its query in blocks, verifies its address when challenged, and receives the outcome
 * in blocks.
 */
public final class CoapDevice implements AutoCloseable {
    private static final int WAIT_SECONDS = 10;
    /** An outcome has up to 64 KiB of values, and the JSON around them. */
    private static final int MAX_ANSWER_BYTES = 128 * 1024;

    private final URI base;
    private final String token;
    private final Consumer<String> progress;
    private final CoapEndpoint endpoint;

    /** Creates a device with an endpoint of its own; {@code progress} receives lines for the user. */
    public CoapDevice(URI base, String token, Consumer<String> progress) throws IOException {
        this.base = base;
        this.token = token;
        this.progress = progress;
        CoapConfig.register();
        UdpConfig.register();
        Configuration config = Configuration.createStandardWithoutFile();
        config.set(CoapConfig.ACK_TIMEOUT, 1, TimeUnit.SECONDS);
        config.set(CoapConfig.PREFERRED_BLOCK_SIZE, 512);
        config.set(CoapConfig.MAX_MESSAGE_SIZE, 512);
        config.set(CoapConfig.MAX_RESOURCE_BODY_SIZE, MAX_ANSWER_BYTES);
        endpoint = CoapEndpoint.builder().setConfiguration(config).build();
        endpoint.start();
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
        private int attempts;
        /** Failed attempts in a row. */
        private int failures;
        /** Whether the edge has accepted the query, so that only its outcome is requested. */
        private boolean accepted;
        /** Whether the last response was that the query was accepted, or that there is no outcome yet. */
        private boolean pending;
        private long retryAfterMillis;
        /** The result, or null until it is received. */
        private ClientResult result;

        QueryExchange(String id, byte[] query) {
            this.id = id;
            this.query = query;
            accepted = query == null;
        }

        void attempt() {
            boolean put = !accepted;
            attempts++;
            pending = false;
            retryAfterMillis = 0;
            CoapResponse response = send(id, put ? this::put : Request::newGet);
            if (response == null) {
                progress.accept("no response");
            } else {
                handleResponse(response, put);
            }
        }

        private Request put() {
            Request request = Request.newPut();
            request.setPayload(query);
            request.getOptions().setContentFormat(MediaTypeRegistry.APPLICATION_JSON);
            return request;
        }

        private void handleResponse(CoapResponse response, boolean put) {
            ResponseCode code = response.getCode();
            byte[] payload = response.getPayload();
            String text = payload == null ? "" : new String(payload, StandardCharsets.UTF_8);
            ClientResult.ClientResultKind kind = ClientResult.kindOf(text);
            if (!put && kind != null) {
                result = new ClientResult(kind, payload, attempts);
            } else if (put && response.isSuccess()) {
                progress.accept("query accepted");
                accepted = true;
                pending = true;
                failures = 0;
            } else if (code == ResponseCode.CONTENT) {
                pending = true; // the edge has already waited for the outcome
            } else if (code == ResponseCode.TOO_MANY_REQUESTS || code == ResponseCode.SERVICE_UNAVAILABLE) {
                retryAfterMillis = 1000 * response.getOptions().getMaxAge();
                progress.accept("the edge asks to retry after " + retryAfterMillis / 1000 + " s");
            } else if (kind != null) {
                result = new ClientResult(kind, payload, attempts);
            } else if (code == ResponseCode.NOT_FOUND) {
                notFound(payload);
            } else if (code != ResponseCode.REQUEST_ENTITY_INCOMPLETE && code.codeClass == 4) {
                result = new ClientResult(ClientResult.ClientResultKind.REJECTED,
                        text.getBytes(StandardCharsets.UTF_8), attempts);
            }
        }

        private void notFound(byte[] payload) {
            if (query == null) {
                result = new ClientResult(ClientResult.ClientResultKind.UNKNOWN, payload, attempts);
            } else {
                accepted = false; // the query was cancelled in the meantime, or was never received
            }
        }
    }

    /** Sends a request, and repeats it with the Echo option if the edge challenges the address (RFC 9175). */
    private CoapResponse send(String id, Supplier<Request> requestFactory) {
        var client = new CoapClient(base.resolve("/queries/" + id) + "?token=" + token + "&wait=" + WAIT_SECONDS);
        client.setEndpoint(endpoint).setTimeout(TimeUnit.SECONDS.toMillis(WAIT_SECONDS + 5));
        try {
            CoapResponse response = client.advanced(requestFactory.get());
            if (response == null || response.getCode() != ResponseCode.UNAUTHORIZED) {
                return response;
            }
            for (Option option : response.getOptions().asSortedList()) {
                if (option.getNumber() == StandardOptionRegistry.ECHO.getNumber()) {
                    Request repeated = requestFactory.get();
                    repeated.getOptions().addOption(new Option(StandardOptionRegistry.ECHO, option.getValue()));
                    return client.advanced(repeated);
                }
            }
            return response;
        } catch (ConnectorException | IOException e) {
            progress.accept("connection failed: " + e.getMessage());
            return null;
        }
    }

    @Override
    public void close() {
        endpoint.destroy();
    }
}
