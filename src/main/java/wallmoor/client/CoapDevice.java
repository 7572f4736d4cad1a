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
 * A device on CoAP: puts its query in blocks, proves its address when asked to, and gets the outcome block by block.
 */
public final class CoapDevice implements AutoCloseable {
    private static final int WAIT_SECONDS = 10;
    /** An outcome has 64 KiB of values, and what stands round them. */
    private static final int MOST_ANSWER = 128 * 1024;

    private final URI base;
    private final String token;
    private final Consumer<String> progress;
    private final CoapEndpoint endpoint;

    /** A device with an endpoint of its own. */
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
        config.set(CoapConfig.MAX_RESOURCE_BODY_SIZE, MOST_ANSWER);
        endpoint = CoapEndpoint.builder().setConfiguration(config).build();
        endpoint.start();
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
        private int attempts;
        /** In a row. */
        private int failures;
        /** Whether the edge has the query, so that only its outcome is asked for. */
        private boolean accepted;
        /** Whether the last answer was that the query was accepted, or that there is no outcome yet. */
        private boolean pending;
        private long retryAfterMillis;
        /** What was learnt; null until then. */
        private ClientResult result;

        Asking(String id, byte[] query) {
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
                progress.accept("no answer");
            } else {
                take(response, put);
            }
        }

        private Request put() {
            Request request = Request.newPut();
            request.setPayload(query);
            request.getOptions().setContentFormat(MediaTypeRegistry.APPLICATION_JSON);
            return request;
        }

        private void take(CoapResponse response, boolean put) {
            ResponseCode code = response.getCode();
            byte[] payload = response.getPayload();
            String text = payload == null ? "" : new String(payload, StandardCharsets.UTF_8);
            ClientResult.ClientResultKind kind = ClientResult.kindOf(text);
            if (!put && kind != null) {
                result = new ClientResult(kind, payload, attempts);
            } else if (put && response.isSuccess()) {
                progress.accept("taken");
                accepted = true;
                pending = true;
                failures = 0;
            } else if (code == ResponseCode.CONTENT) {
                pending = true; // it was waited for at the edge's side
            } else if (code == ResponseCode.TOO_MANY_REQUESTS || code == ResponseCode.SERVICE_UNAVAILABLE) {
                retryAfterMillis = 1000 * response.getOptions().getMaxAge();
                progress.accept("told to come back after " + retryAfterMillis / 1000 + " s");
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
                accepted = false; // it was called off meanwhile, or never came
            }
        }
    }

    /** Sends, and again with the Echo that an address which has proven nothing is answered with (RFC 9175). */
    private CoapResponse send(String id, Supplier<Request> made) {
        var client = new CoapClient(base.resolve("/queries/" + id) + "?token=" + token + "&wait=" + WAIT_SECONDS);
        client.setEndpoint(endpoint).setTimeout(TimeUnit.SECONDS.toMillis(WAIT_SECONDS + 5));
        try {
            CoapResponse response = client.advanced(made.get());
            if (response == null || response.getCode() != ResponseCode.UNAUTHORIZED) {
                return response;
            }
            for (Option o : response.getOptions().asSortedList()) {
                if (o.getNumber() == StandardOptionRegistry.ECHO.getNumber()) {
                    Request again = made.get();
                    again.getOptions().addOption(new Option(StandardOptionRegistry.ECHO, o.getValue()));
                    return client.advanced(again);
                }
            }
            return response;
        } catch (ConnectorException | IOException e) {
            progress.accept("the link broke: " + e.getMessage());
            return null;
        }
    }

    @Override
    public void close() {
        endpoint.destroy();
    }
}
