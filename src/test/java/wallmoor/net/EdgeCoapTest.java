package wallmoor.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
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
import org.junit.Test;
import wallmoor.standin.DatagramProxy;

/**
 * Guards against parts that run twice and against answers that differ between the protocols: queries come over CoAP by
 * a third-party client, over a lossy link, and over CoAP and HTTP at the same time.
 */
public class EdgeCoapTest extends EdgeFixture {
    private CoapClient coap(int port, String id, String parameters) throws Exception {
        return coap(port, id, parameters, true);
    }

    private CoapClient coap(int port, String id, String parameters, boolean blockwise) throws Exception {
        Configuration config = Configuration.createStandardWithoutFile();
        config.set(CoapConfig.ACK_TIMEOUT, 200, TimeUnit.MILLISECONDS);
        config.set(CoapConfig.MAX_RETRANSMIT, 8);
        config.set(CoapConfig.PREFERRED_BLOCK_SIZE, 64);
        config.set(CoapConfig.MAX_MESSAGE_SIZE, 64);
        if (!blockwise) {
            config.set(CoapConfig.MAX_RESOURCE_BODY_SIZE, 0);
        }
        var endpoint = CoapEndpoint.builder().setConfiguration(config).build();
        endpoint.start();
        var client = new CoapClient(
                "coap://127.0.0.1:" + port + "/queries/" + id + "?token=" + token("d1") + parameters);
        client.setEndpoint(endpoint).setTimeout(15_000L);
        open.add(endpoint::destroy);
        return client;
    }

    /** Sends a request as a device does: after a challenge it repeats the request with the Echo of the challenge. */
    private static CoapResponse send(CoapClient client, java.util.function.Supplier<Request> request) throws Exception {
        CoapResponse response = client.advanced(request.get());
        for (int i = 0; i < 3 && response != null && response.getCode() == ResponseCode.UNAUTHORIZED; i++) {
            byte[] echo = null;
            for (Option o : response.getOptions().asSortedList()) {
                echo = o.getNumber() == StandardOptionRegistry.ECHO.getNumber() ? o.getValue() : echo;
            }
            if (echo == null) {
                return response;
            }
            Request again = request.get();
            again.getOptions().addOption(new Option(StandardOptionRegistry.ECHO, echo));
            response = client.advanced(again);
        }
        return response;
    }

    private static Request put(byte[] body, int format) {
        Request put = Request.newPut();
        put.setPayload(body);
        put.getOptions().setContentFormat(format);
        return put;
    }

    @Test
    public void returnsSameAnswerOverHttpAfterBlockwiseCoapOverLossyLink() throws Exception {
        start(id -> {
            sleep(40);
            return "ok";
        });
        String id = id();
        byte[] json = body("once", "q".repeat(700), 0).getBytes(UTF_8);
        byte[] cbor = new CBORMapper().writeValueAsBytes(new ObjectMapper().readTree(json));
        try (var link = new DatagramProxy(coapPort, 7, 0.1, 0.2, 0.2)) {
            CoapResponse accepted = send(coap(link.port(), id, ""),
                    () -> put(cbor, MediaTypeRegistry.APPLICATION_CBOR));
            assertTrue("" + accepted, accepted != null && accepted.isSuccess());
            link.rebind(); // as after a lost NAT entry, the device comes from another port
            CoapResponse got = send(coap(link.port(), id, "&wait=10"), Request::newGet);
            assertTrue("" + got, got != null && got.getCode() == ResponseCode.CONTENT);
            assertTrue(got.getResponseText(), got.getResponseText().startsWith("{\"outcome\":\"answered\""));
            assertArrayEquals("same answer over HTTP", got.getPayload(), put(httpPort, id, json).body());
            CoapResponse packed = send(coap(link.port(), id, ""), () -> {
                Request get = Request.newGet();
                get.getOptions().setAccept(MediaTypeRegistry.APPLICATION_CBOR);
                return get;
            });
            assertEquals(new ObjectMapper().readTree(got.getPayload()), new CBORMapper().readTree(packed.getPayload()));
            assertTrue("datagrams lost by the link: " + link.lost.get(), link.lost.get() > 0);
        }
        assertEquals("parts run, although datagrams came twice", 1, parts(""));
    }

    @Test
    public void refusesInvalidCoapRequestsByTheirResponseCodes() throws Exception {
        start(id -> "ok");
        String id = id();
        byte[] json = body("once", "q", 0).getBytes(UTF_8);
        CoapResponse challenged = coap(coapPort, id, "").advanced(put(json, MediaTypeRegistry.APPLICATION_JSON));
        assertEquals("the address is not verified yet", ResponseCode.UNAUTHORIZED, challenged.getCode());
        assertEquals(0, challenged.getPayloadSize());
        assertEquals(0, parts(""));
        var client = coap(coapPort, id, "");
        assertEquals(ResponseCode.CREATED, send(client, () -> put(json, MediaTypeRegistry.APPLICATION_JSON)).getCode());
        assertEquals(ResponseCode.CHANGED, send(client, () -> put(json, MediaTypeRegistry.APPLICATION_JSON)).getCode());
        assertEquals(ResponseCode.CONFLICT, send(client, () -> put(body("once", "other", 0).getBytes(UTF_8),
                MediaTypeRegistry.APPLICATION_JSON)).getCode());
        assertEquals(ResponseCode.BAD_REQUEST, send(coap(coapPort, id(), ""), () -> put(new byte[] {1, 2},
                MediaTypeRegistry.APPLICATION_CBOR)).getCode());
        assertEquals(ResponseCode.NOT_FOUND, send(coap(coapPort, id(), ""), Request::newGet).getCode());
        String fresh = id();
        assertEquals("the first block received is not the first of the body", ResponseCode.REQUEST_ENTITY_INCOMPLETE,
                send(coap(coapPort, fresh, "", false), () -> {
                    Request block = put(new byte[64], MediaTypeRegistry.APPLICATION_JSON);
                    block.getOptions().setBlock1(2, true, 3);
                    return block;
                }).getCode());
        assertEquals(1, parts(""));
    }

    /** Guards against a device whose requests are lost or answered late because another peer sends at full speed. */
    @Test
    public void answersDeviceWhileAnotherPeerSendsAtFullSpeed() throws Exception {
        start(id -> "ok");
        byte[] json = body("once", "q", 0).getBytes(UTF_8);
        try (var flood = new CoapFlood(coapPort)) {
            for (int i = 0; i < 20; i++) {
                String id = id();
                CoapResponse accepted = send(coap(coapPort, id, ""),
                        () -> put(json, MediaTypeRegistry.APPLICATION_JSON));
                assertEquals("query " + i, ResponseCode.CREATED, accepted == null ? null : accepted.getCode());
                CoapResponse outcome = send(coap(coapPort, id, "&wait=10"), Request::newGet);
                assertEquals("query " + i, ResponseCode.CONTENT, outcome == null ? null : outcome.getCode());
            }
            assertTrue("requests sent", flood.sentRequests() > 0);
        }
    }

    /** Guards against a device that gets no answer because the process ends before its query, as in review case 3. */
    @Test
    public void answersWaitingGetBeforeTheShutdownEnds() throws Exception {
        configChange = EdgeFixture::withLongTimeouts;
        start(id -> null);
        String id = id();
        byte[] json = bodyWithLongTimeout("once", 0).getBytes(UTF_8);
        CoapClient client = coap(coapPort, id, "&wait=10");
        assertEquals(ResponseCode.CREATED, send(client, () -> put(json, MediaTypeRegistry.APPLICATION_JSON)).getCode());
        Program.await("the part is sent", () -> parts("") == 1);
        var outcome = CompletableFuture.supplyAsync(() -> {
            try {
                return send(client, Request::newGet);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        Thread.sleep(100); // the request waits for the outcome
        program.process.toHandle().destroy();
        CoapResponse response = outcome.get(10, TimeUnit.SECONDS);
        assertTrue("answered", response != null);
        assertEquals(ResponseCode.BAD_GATEWAY, response.getCode());
        assertTrue(program.process.waitFor(10, TimeUnit.SECONDS));
    }

    @Test
    public void runsQueryOnceWhenSentOverCoapAndHttpAtTheSameTime() throws Exception {
        start(id -> {
            sleep(100);
            return "ok";
        });
        byte[] json = body("once", "q", 0).getBytes(UTF_8);
        for (int i = 0; i < 5; i++) {
            String id = id();
            long before = parts("");
            var overCoap = CompletableFuture.supplyAsync(() -> {
                try {
                    send(coap(coapPort, id, ""), () -> put(json, MediaTypeRegistry.APPLICATION_JSON));
                    return send(coap(coapPort, id, "&wait=10"), Request::newGet).getPayload();
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            var firstHttp = http.sendAsync(
                    request(httpPort, "d1", id).PUT(HttpRequest.BodyPublishers.ofByteArray(json)).build(),
                    BodyHandlers.ofByteArray());
            var secondHttp = http.sendAsync(
                    request(httpPort, "d1", id).PUT(HttpRequest.BodyPublishers.ofByteArray(json)).build(),
                    BodyHandlers.ofByteArray());
            assertArrayEquals(firstHttp.get(10, TimeUnit.SECONDS).body(), secondHttp.get(10, TimeUnit.SECONDS).body());
            assertArrayEquals(firstHttp.get().body(), overCoap.get(10, TimeUnit.SECONDS));
            assertEquals(before + 1, parts(""));
        }
    }
}
