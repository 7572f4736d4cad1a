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
import java.util.concurrent.TimeUnit;
import org.xbill.DNS.Message;

/** One query and its answer on the wire. What an answer means is {@link DnsResponse}'s to say. */
final class DnsTransport {
    /** An answer over UDP that fills it is as good as truncated; more than the size we offer must be room. */
    private static final int MOST_UDP = 4096;

    private DnsTransport() {}

    /**
     * Asks over UDP, from a port that the system draws for this query alone; the socket is connected, so that only what
     * comes from the server's own address and port is seen (RFC 5452 section 9). What answers another question, or
     * can't be read, is passed over.
     *
     * @return the answer; null stands for one that came and was cut off
     * @throws SocketTimeoutException if none came in time; it tells what else did
     */
    static Message udp(InetSocketAddress server, Message query, long millis) throws IOException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        int strange = 0;
        try (var socket = new DatagramSocket()) {
            socket.connect(server);
            byte[] bytes = query.toWire();
            socket.send(new DatagramPacket(bytes, bytes.length));
            var packet = new DatagramPacket(new byte[MOST_UDP], MOST_UDP);
            while (true) {
                long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
                if (left <= 0) {
                    throw silence(strange);
                }
                socket.setSoTimeout((int) left);
                packet.setLength(MOST_UDP);
                try {
                    socket.receive(packet);
                } catch (SocketTimeoutException e) {
                    throw silence(strange);
                }
                if (packet.getLength() == MOST_UDP) {
                    return null;
                }
                Message answer = read(java.util.Arrays.copyOf(packet.getData(), packet.getLength()));
                if (answer != null && DnsResponse.answers(query, answer)) {
                    return answer;
                }
                strange++;
            }
        }
    }

    private static SocketTimeoutException silence(int strange) {
        return new SocketTimeoutException(strange == 0 ? "no answer in time"
                : "no answer in time, but " + strange + " that can't be read or answer something else");
    }

    /** Asks over TCP (RFC 7766). */
    static Message tcp(InetSocketAddress server, Message query, long millis) throws IOException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        try (var socket = new Socket(Proxy.NO_PROXY)) {
            socket.connect(server, (int) millis);
            byte[] bytes = query.toWire();
            byte[] framed = new byte[2 + bytes.length];
            framed[0] = (byte) (bytes.length >>> 8);
            framed[1] = (byte) bytes.length;
            System.arraycopy(bytes, 0, framed, 2, bytes.length);
            socket.getOutputStream().write(framed);
            var in = new DataInputStream(socket.getInputStream());
            byte[] head = fully(socket, in, 2, until);
            byte[] body = fully(socket, in, (head[0] & 0xff) << 8 | head[1] & 0xff, until);
            Message answer = read(body);
            if (answer == null || !DnsResponse.answers(query, answer)) {
                throw new IOException("an answer that can't be read, or to something else");
            }
            return answer;
        }
    }

    /** A server that sends a byte now and then does not get more time for it. */
    private static byte[] fully(Socket socket, DataInputStream in, int length, long until) throws IOException {
        byte[] all = new byte[length];
        for (int at = 0; at < length;) {
            long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
            if (left <= 0) {
                throw new SocketTimeoutException("no whole answer in time");
            }
            socket.setSoTimeout((int) left);
            int n = in.read(all, at, length - at);
            if (n < 0) {
                throw new EOFException("half an answer");
            }
            at += n;
        }
        return all;
    }

    private static Message read(byte[] bytes) {
        try {
            return new Message(bytes);
        } catch (IOException | RuntimeException e) {
            return null; // pointers that loop, lengths that lie
        }
    }
}
