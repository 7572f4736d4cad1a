package wallmoor.net;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/**
 * One peer sends CoAP requests of unknown devices under ever new names at full speed, and the platform's clients send
 * queries meanwhile. It shows a known fault and is named by {@code KNOWN-RED.txt}; its name keeps it out of the tests
 * of a build. Run it by {@code mvn -B test -Dtest=wallmoor.net.CoapFlood}.
 */
public class CoapFlood extends EdgeFixture {
    private static final long FLOOD_NANOS = TimeUnit.SECONDS.toNanos(8);
    private static final int DEADLINE_MILLIS = 1_900;
    /** Version 1, confirmable, a token of one byte. */
    private static final int HEADER = 0x41;
    private static final int PUT = 0x03;
    /** The option Uri-Path with seven bytes, as the first option. */
    private static final int URI_PATH_QUERIES = 0xB7;

    private static byte[] request(long number) {
        byte[] name = ("q" + number).getBytes(US_ASCII);
        var message = new ByteArrayOutputStream();
        message.write(HEADER);
        message.write(PUT);
        message.write((int) (number >> 8));
        message.write((int) number);
        message.write((int) (number * 7));
        message.write(URI_PATH_QUERIES);
        message.writeBytes("queries".getBytes(US_ASCII));
        message.write(name.length);
        message.writeBytes(name);
        return message.toByteArray();
    }

    private void flood(long end) {
        try (var socket = new DatagramSocket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", coapPort));
            for (long number = 0; System.nanoTime() < end; number++) {
                byte[] request = request(number);
                socket.send(new DatagramPacket(request, request.length));
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    public void answersPlatformClientsWhileOnePeerSendsCoapRequestsAtFullSpeed() throws Exception {
        start(id -> "ok");
        long end = System.nanoTime() + FLOOD_NANOS;
        var flood = new Thread(() -> flood(end));
        flood.setDaemon(true);
        flood.start();
        for (int i = 0; System.nanoTime() < end; i++) {
            long sent = System.nanoTime();
            assertEquals(200, Client.post(program.port, "q" + i, "all", DEADLINE_MILLIS, 0).status);
            long lateMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sent) - DEADLINE_MILLIS;
            assertEquals("milliseconds after the deadline", 0, Math.max(0, lateMillis));
        }
        flood.join();
    }
}
