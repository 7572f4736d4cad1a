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

/** One request a connection, within its limits; whoever goes on beyond them gets no answer and holds up nobody. */
public class ControlServerTest {
    private static final int READ_MILLIS = 10_000;
    private static final int REQUEST_MILLIS = 300;
    private static final RequestLimits LIMITS = new RequestLimits(16, REQUEST_MILLIS);

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
        socket.connect(address, READ_MILLIS);
        socket.setSoTimeout(READ_MILLIS);
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
    public void aRequestIsAnsweredAndItsConnectionClosed() throws Exception {
        server = ControlServer.sequential(address, "control-test", LIMITS);
        server.start(ControlServerTest::echo);
        assertEquals("members\n", answer(connect("members\n")));
        assertEquals("explain a\n", ControlClient.ask(address, "explain a", READ_MILLIS, 100));
        try (Socket slow = connect("mem")) {
            slow.getOutputStream().write("bers\n".getBytes(StandardCharsets.US_ASCII));
            assertArrayEquals("members\n".getBytes(StandardCharsets.US_ASCII),
                    slow.getInputStream().readAllBytes());
        }
    }

    @Test
    public void whatIsTooLongOrTooSlowGetsNoAnswer() throws Exception {
        server = ControlServer.sequential(address, "control-test", LIMITS);
        server.start(ControlServerTest::echo);
        assertEquals("0123456789abcde\n", answer(connect("0123456789abcde\n")));
        assertEquals("", answer(connect("0123456789abcdef\n")));
        assertEquals("", answer(connect("no line end")));
        assertEquals("the next is answered", "members\n", answer(connect("members\n")));
    }

    @Test
    public void oneMoreThanIsAnsweredAtOnceIsClosedUnanswered() throws Exception {
        var begun = new CountDownLatch(2);
        var go = new CountDownLatch(1);
        server = ControlServer.concurrent(address, "control-test", LIMITS, "control-test-worker", 2);
        server.start((request, response) -> {
            begun.countDown();
            go.await();
            response.write(request);
        });
        Socket first = connect("first\n");
        Socket second = connect("second\n");
        begun.await();
        assertEquals("", answer(connect("third\n")));
        go.countDown();
        assertEquals("first\n", answer(first));
        assertEquals("second\n", answer(second));
    }

    @Test
    public void aHandlerThatFailsLeavesTheOthersServed() throws Exception {
        server = ControlServer.sequential(address, "control-test", LIMITS);
        server.start((request, response) -> {
            if (request[0] == 'x') {
                throw new IOException("the requester has gone");
            }
            response.write(request);
        });
        assertThrows(IOException.class, () -> ControlClient.ask(address, "x", READ_MILLIS, 100));
        assertEquals("y\n", ControlClient.ask(address, "y", READ_MILLIS, 100));
    }

    /** An answer may end with a line end or not: that is the handler's. */
    @Test
    public void objectsStandOnALineEach() throws Exception {
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
        String answer = ControlClient.ask(address, "members", READ_MILLIS, 100);
        assertEquals("{\"a\":1}\n{\"fault\":\"knows no \\\"b\\\"\"}\n", answer);
        assertEquals("knows no \"b\"", ControlClient.parse(answer.lines().toList().get(1)).text("fault"));
    }
}
