package wallmoor.dns;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.xbill.DNS.Message;

/** Sends one query and receives its response, over UDP or TCP. {@link DnsResponse} interprets the response. */
final class DnsTransport {
    /**
     * The size of the receive buffer, larger than the payload size offered by EDNS. A response that fills it counts as
     * truncated.
     */
    private static final int UDP_BUFFER_BYTES = 4096;
    /** The size of the length field in front of each message over TCP (RFC 1035 section 4.2.2). */
    private static final int LENGTH_BYTES = 2;

    private DnsTransport() {}

    /**
     * Sends a query over UDP from a socket of its own, with a port drawn by the system. The socket is connected, so
     * that it receives only datagrams from the server's address and port (RFC 5452 section 9). Skips datagrams that
     * can't be read or answer another question.
     *
     * @return the response, or null if it was truncated by the receive buffer
     * @throws SocketTimeoutException if no response came in time; the message tells how many datagrams were skipped
     */
    static Message udp(InetSocketAddress server, Message query, long millis) throws IOException {
        long deadline = deadline(millis);
        int skipped = 0;
        try (var socket = new DatagramSocket()) {
            socket.connect(server);
            byte[] bytes = query.toWire();
            socket.send(new DatagramPacket(bytes, bytes.length));
            var packet = new DatagramPacket(new byte[UDP_BUFFER_BYTES], UDP_BUFFER_BYTES);
            while (receive(socket, packet, deadline)) {
                if (packet.getLength() == UDP_BUFFER_BYTES) {
                    return null;
                }
                Message response = parse(Arrays.copyOf(packet.getData(), packet.getLength()));
                if (response != null && DnsResponse.answers(query, response)) {
                    return response;
                }
                skipped++;
            }
        }
        throw new SocketTimeoutException(skipped == 0 ? "no answer in time"
                : "no answer in time; skipped " + skipped + " datagrams that can't be read or answer another question");
    }

    /** Receives a datagram; returns false if none came in time. */
    private static boolean receive(DatagramSocket socket, DatagramPacket packet, long deadline) throws IOException {
        long remaining = millisUntil(deadline);
        if (remaining <= 0) {
            return false;
        }
        socket.setSoTimeout((int) remaining);
        packet.setLength(UDP_BUFFER_BYTES);
        try {
            socket.receive(packet);
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    /** Sends a query over TCP and returns the response (RFC 7766). */
    static Message tcp(InetSocketAddress server, Message query, long millis) throws IOException {
        long deadline = deadline(millis);
        try (var socket = new Socket(Proxy.NO_PROXY)) {
            socket.connect(server, (int) millis);
            socket.getOutputStream().write(framed(query.toWire()));
            var in = new DataInputStream(socket.getInputStream());
            byte[] head = readFully(socket, in, LENGTH_BYTES, deadline);
            byte[] body = readFully(socket, in, ((head[0] & 0xff) << 8) | (head[1] & 0xff), deadline);
            Message response = parse(body);
            if (response == null || !DnsResponse.answers(query, response)) {
                throw new IOException("the response can't be read or answers another question");
            }
            return response;
        }
    }

    /** Puts the length field in front of a message. */
    private static byte[] framed(byte[] message) {
        byte[] framed = new byte[LENGTH_BYTES + message.length];
        framed[0] = (byte) (message.length >>> 8);
        framed[1] = (byte) message.length;
        System.arraycopy(message, 0, framed, LENGTH_BYTES, message.length);
        return framed;
    }

    /** Reads so many bytes. The deadline is for all of them, so that a server can't extend it byte by byte. */
    private static byte[] readFully(Socket socket, DataInputStream in, int length, long deadline) throws IOException {
        byte[] bytes = new byte[length];
        for (int offset = 0; offset < length;) {
            long remaining = millisUntil(deadline);
            if (remaining <= 0) {
                throw new SocketTimeoutException(
                        "answer incomplete at the timeout: " + offset + " of " + length + " bytes");
            }
            socket.setSoTimeout((int) remaining);
            int count = in.read(bytes, offset, length - offset);
            if (count < 0) {
                throw new EOFException("the server closed the connection after " + offset + " of " + length + " bytes");
            }
            offset += count;
        }
        return bytes;
    }

    private static long deadline(long millis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static long millisUntil(long deadline) {
        return TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
    }

    private static Message parse(byte[] bytes) {
        try {
            return new Message(bytes);
        } catch (IOException | RuntimeException e) {
            return null; // compression pointers that loop, wrong lengths
        }
    }
}
