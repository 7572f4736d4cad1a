package wallmoor.control;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.After;
import org.junit.Test;
import wallmoor.standin.Ports;

/**
 * Guards against clients that block a control port: a connection carries one request within size and time limits, and a
 * client that exceeds them gets no response and does not delay others.
 */
public class ControlServerTest {
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int REQUEST_TIMEOUT_MILLIS = 300;
    private static final RequestLimits LIMITS = new RequestLimits(16, REQUEST_TIMEOUT_MILLIS);

    private final InetSocketAddress address;
    private ControlServer server;

    public ControlServerTest() throws Exception {
        address = Ports.freeAddress();
    }

    @After
    public void stop() {
        server.close();
    }

    private static void echo(byte[] request, OutputStream response) throws IOException {
        response.write(request);
    }

    private Socket connect(String request) throws IOException {
        var socket = new Socket();
        socket.connect(address, READ_TIMEOUT_MILLIS);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String answer(Socket socket) throws IOException {
        try (socket) {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (SocketException e) { // closed with bytes of the request unread
            return "";
        }
    }

    @Test
    public void answersRequestAndClosesConnection() throws Exception {
        server = ControlServer.sequential(address, "control-test", LIMITS);
        server.start(ControlServerTest::echo);
        assertEquals("members\n", answer(connect("members\n")));
        assertEquals("explain a\n", ControlClient.ask(address, "explain a", READ_TIMEOUT_MILLIS, 100));
        try (Socket slow = connect("mem")) {
            slow.getOutputStream().write("bers\n".getBytes(StandardCharsets.US_ASCII));
            assertArrayEquals("members\n".getBytes(StandardCharsets.US_ASCII),
                    slow.getInputStream().readAllBytes());
        }
    }

    @Test
    public void closesTooLongOrTooSlowRequestWithoutResponse() throws Exception {
        server = ControlServer.sequential(address, "control-test", LIMITS);
        server.start(ControlServerTest::echo);
        assertEquals("0123456789abcde\n", answer(connect("0123456789abcde\n")));
        assertEquals("", answer(connect("0123456789abcdef\n")));
        assertEquals("", answer(connect("no line end")));
        assertEquals("the next request is answered", "members\n", answer(connect("members\n")));
    }

    @Test
    public void closesConnectionAboveConcurrencyLimitWithoutResponse() throws Exception {
        var started = new CountDownLatch(2);
        var release = new CountDownLatch(1);
        server = ControlServer.concurrent(address, "control-test", LIMITS, "control-test-worker", 2);
        server.start((request, response) -> {
            started.countDown();
            release.await();
            response.write(request);
        });
        Socket first = connect("first\n");
        Socket second = connect("second\n");
        started.await();
        assertEquals("", answer(connect("third\n")));
        release.countDown();
        assertEquals("first\n", answer(first));
        assertEquals("second\n", answer(second));
    }

    @Test
    public void answersNextRequestAfterFailedHandler() throws Exception {
        server = ControlServer.sequential(address, "control-test", LIMITS);
        server.start((request, response) -> {
            if (request[0] == 'x') {
                throw new IOException("the requester has disconnected");
            }
            response.write(request);
        });
        assertThrows(IOException.class, () -> ControlClient.ask(address, "x", READ_TIMEOUT_MILLIS, 100));
        assertEquals("y\n", ControlClient.ask(address, "y", READ_TIMEOUT_MILLIS, 100));
    }

    /** The handler decides whether the response ends with a line end. */
    @Test
    public void writesOneObjectPerLine() throws Exception {
        server = ControlServer.sequential(address, "control-test", LIMITS);
        server.start((request, response) -> {
            try (JsonGenerator out = JsonLines.generator(response)) {
                out.writeStartObject();
                out.writeNumberField("a", 1);
                out.writeEndObject();
                JsonLines.writeFault(out, "knows no \"b\"");
            }
            response.write('\n');
        });
        String answer = ControlClient.ask(address, "members", READ_TIMEOUT_MILLIS, 100);
        assertEquals("{\"a\":1}\n{\"fault\":\"knows no \\\"b\\\"\"}\n", answer);
        assertEquals("knows no \"b\"", ControlClient.parse(answer.lines().toList().get(1)).text("fault"));
    }
}
