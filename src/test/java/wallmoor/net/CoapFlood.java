package wallmoor.net;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;

/** A peer that sends CoAP requests of an unknown device under ever new names at full speed, until it is closed. */
final class CoapFlood implements AutoCloseable {
    /** Version 1, confirmable, a token of one byte. */
    private static final int HEADER = 0x41;
    private static final int PUT = 0x03;
    /** The option Uri-Path with seven bytes, as the first option. */
    private static final int URI_PATH_QUERIES = 0xB7;

    private final InetSocketAddress server;
    private final Thread sender = new Thread(this::sendRequests, "coap-flood");
    private final AtomicLong sentRequests = new AtomicLong();
    private volatile boolean isClosed;

    CoapFlood(int port) {
        server = new InetSocketAddress("127.0.0.1", port);
        sender.setDaemon(true);
        sender.start();
    }

    private void sendRequests() {
        try (var socket = new DatagramSocket()) {
            socket.connect(server);
            while (!isClosed) {
                byte[] request = request(sentRequests.getAndIncrement());
                socket.send(new DatagramPacket(request, request.length));
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

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

    /** Returns the number of requests sent until now. */
    long sentRequests() {
        return sentRequests.get();
    }

    @Override
    public void close() {
        isClosed = true;
    }
}
