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

/** One query and its response on the wire. What a response means is {@link DnsResponse}'s to say. */
final class DnsTransport {
    /** A response over UDP that fills it is as good as truncated; it must hold more than the size we offer. */
    private static final int MAX_UDP_BYTES = 4096;
    /** The length in front of a message over TCP (RFC 1035 section 4.2.2). */
    private static final int LENGTH_BYTES = 2;

    private DnsTransport() {}

    /**
     * Asks over UDP, from a port that the system draws for this query alone; the socket is connected, so that only what
     * comes from the server's own address and port is seen (RFC 5452 section 9). What answers another question, or
     * can't be read, is skipped.
     *
     * @return the response; null stands for one that came and was cut off
     * @throws SocketTimeoutException if none came in time; it tells what else did
     */
    static Message udp(InetSocketAddress server, Message query, long millis) throws IOException {
        long until = deadline(millis);
        int skipped = 0;
        try (var socket = new DatagramSocket()) {
            socket.connect(server);
            byte[] bytes = query.toWire();
            socket.send(new DatagramPacket(bytes, bytes.length));
            var packet = new DatagramPacket(new byte[MAX_UDP_BYTES], MAX_UDP_BYTES);
            while (receive(socket, packet, until)) {
                if (packet.getLength() == MAX_UDP_BYTES) {
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
                : "no answer in time, but " + skipped + " that can't be read or answer something else");
    }

    /** Receives a datagram; false where none came in time. */
    private static boolean receive(DatagramSocket socket, DatagramPacket packet, long until) throws IOException {
        long left = millisUntil(until);
        if (left <= 0) {
            return false;
        }
        socket.setSoTimeout((int) left);
        packet.setLength(MAX_UDP_BYTES);
        try {
            socket.receive(packet);
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    /** Asks over TCP (RFC 7766). */
    static Message tcp(InetSocketAddress server, Message query, long millis) throws IOException {
        long until = deadline(millis);
        try (var socket = new Socket(Proxy.NO_PROXY)) {
            socket.connect(server, (int) millis);
            socket.getOutputStream().write(framed(query.toWire()));
            var in = new DataInputStream(socket.getInputStream());
            byte[] head = readFully(socket, in, LENGTH_BYTES, until);
            byte[] body = readFully(socket, in, ((head[0] & 0xff) << 8) | (head[1] & 0xff), until);
            Message response = parse(body);
            if (response == null || !DnsResponse.answers(query, response)) {
                throw new IOException("an answer that can't be read, or to something else");
            }
            return response;
        }
    }

    private static byte[] framed(byte[] message) {
        byte[] framed = new byte[LENGTH_BYTES + message.length];
        framed[0] = (byte) (message.length >>> 8);
        framed[1] = (byte) message.length;
        System.arraycopy(message, 0, framed, LENGTH_BYTES, message.length);
        return framed;
    }

    /** A server that sends a byte now and then does not get more time for it. */
    private static byte[] readFully(Socket socket, DataInputStream in, int length, long until) throws IOException {
        byte[] bytes = new byte[length];
        for (int at = 0; at < length;) {
            long left = millisUntil(until);
            if (left <= 0) {
                throw new SocketTimeoutException("no whole answer in time");
            }
            socket.setSoTimeout((int) left);
            int n = in.read(bytes, at, length - at);
            if (n < 0) {
                throw new EOFException("half an answer");
            }
            at += n;
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
            return null; // pointers that loop, lengths that lie
        }
    }
}
