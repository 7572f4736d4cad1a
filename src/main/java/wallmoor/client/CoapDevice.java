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
    public ClientResult ask(String id, byte[] query, RetryBackoff pace) throws InterruptedException {
        int tries = 0;
        int wrong = 0;
        boolean taken = query == null;
        while (true) {
            boolean put = !taken;
            tries++;
            CoapResponse response = send(id, put ? () -> {
                Request r = Request.newPut();
                r.setPayload(query);
                r.getOptions().setContentFormat(MediaTypeRegistry.APPLICATION_JSON);
                return r;
            } : Request::newGet);
            long told = 0;
            if (response != null) {
                ResponseCode code = response.getCode();
                String text = response.getPayload() == null ? ""
                        : new String(response.getPayload(), StandardCharsets.UTF_8);
                if (!put && ClientResult.kindOf(text) != null) {
                    return new ClientResult(ClientResult.kindOf(text), response.getPayload(), tries);
                }
                if (put && response.isSuccess()) {
                    progress.accept("taken");
                    taken = true;
                    wrong = 0;
                    continue;
                }
                if (code == ResponseCode.CONTENT) {
                    continue; // pending, and waited for at the edge's side
                }
                if (code == ResponseCode.TOO_MANY_REQUESTS || code == ResponseCode.SERVICE_UNAVAILABLE) {
                    told = 1000 * response.getOptions().getMaxAge();
                    progress.accept("told to come back after " + told / 1000 + " s");
                } else if (code == ResponseCode.NOT_FOUND && ClientResult.kindOf(text) == null) {
                    if (query == null) {
                        return new ClientResult(ClientResult.ClientResultKind.UNKNOWN, response.getPayload(), tries);
                    }
                    taken = false;
                } else if (ClientResult.kindOf(text) != null) {
                    return new ClientResult(ClientResult.kindOf(text), response.getPayload(), tries);
                } else if (code != ResponseCode.REQUEST_ENTITY_INCOMPLETE && code.codeClass == 4) {
                    return new ClientResult(ClientResult.ClientResultKind.REJECTED,
                            text.getBytes(StandardCharsets.UTF_8), tries);
                }
            } else {
                progress.accept("no answer");
            }
            long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            long wait = pace.next(now, ++wrong, told, ThreadLocalRandom.current().nextDouble());
            if (wait == RetryBackoff.GIVE_UP) {
                return new ClientResult(ClientResult.ClientResultKind.NOT_LEARNT, new byte[0], tries);
            }
            Thread.sleep(wait);
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
