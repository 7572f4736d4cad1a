package wallmoor.consensus;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.zip.CRC32C;

/**
 * One connection: frames of a length, a CRC-32C and so many bytes, both ways. A frame that is not as it was sent ends
 * the connection, and the bytes buffered for one grow with what comes and not with what its length says. Used on the
 * transport's thread alone, but for {@link #peer}.
 */
final class FramedConnection {
    /** Takes the payloads of frames. */
    interface PayloadHandler {
        /** A frame came; a fault ends the connection. */
        void onPayload(byte[] payload) throws IOException;
    }

    /**
     * The largest grant, thirty versions of 512 Ki characters, fits in ASCII; what does not fit is dropped and counted.
     */
    static final int MAX_PAYLOAD_BYTES = 16 << 20;
    /** What waits to be sent on one connection: more is dropped, as all that is sent is sent again. */
    private static final int MAX_UNSENT_BYTES = MAX_PAYLOAD_BYTES + (4 << 20);
    /** Of a frame before the handshake. */
    private static final int MAX_HANDSHAKE_BYTES = 4 << 10;
    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private static final int READ_BUFFER_BYTES = 16 << 10;

    private final SocketChannel channel;
    private final String dialledVoter;
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private volatile Packet.Handshake peer;
    private SelectionKey key;
    private ByteBuffer in = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private int unsentBytes;
    private long lastReadMillis;
    private long lastWrittenMillis;

    /** {@code dialledVoter} is null where the other end has dialled. */
    FramedConnection(SocketChannel channel, String dialledVoter, long nowMillis) {
        this.channel = channel;
        this.dialledVoter = dialledVoter;
        lastReadMillis = nowMillis;
        lastWrittenMillis = nowMillis;
    }

    /** Has the selector watch it. */
    void register(Selector selector, int interestOps) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = channel.register(selector, interestOps, this);
    }

    SelectionKey key() {
        return key;
    }

    /** The voting member that was dialled, or null where the other end has dialled. */
    String dialledVoter() {
        return dialledVoter;
    }

    /** Who the other end says to be, or null where it has not yet. Any thread. */
    Packet.Handshake peer() {
        return peer;
    }

    /** The other end's handshake came, and was accepted. */
    void accept(Packet.Handshake handshake) {
        peer = handshake;
    }

    boolean isPeer(String name) {
        return peer != null && peer.name().equals(name);
    }

    boolean isConnected() {
        return channel.isConnected();
    }

    /** Whether the connection is there now. */
    boolean finishConnect() throws IOException {
        return channel.finishConnect();
    }

    /** A payload as it goes over the wire. */
    static byte[] frame(byte[] payload) {
        var to = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        to.putInt(payload.length).putInt(checksum(payload)).put(payload);
        return to.array();
    }

    private static int checksum(byte[] payload) {
        var crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(payload.length).array());
        crc.update(payload);
        return (int) crc.getValue();
    }

    /** Whether the frame waits to be sent; not where too much does. */
    boolean offer(byte[] frame) {
        if (unsentBytes + frame.length > MAX_UNSENT_BYTES) {
            return false;
        }
        unsentBytes += frame.length;
        unsent.add(ByteBuffer.wrap(frame));
        return true;
    }

    /** Writes what goes; whether all has gone. */
    boolean write(long nowMillis) throws IOException {
        while (!unsent.isEmpty()) {
            ByteBuffer first = unsent.peek();
            int n = channel.write(first);
            if (n > 0) {
                lastWrittenMillis = nowMillis;
                unsentBytes -= n;
            }
            if (first.hasRemaining()) {
                return false;
            }
            unsent.remove();
        }
        return true;
    }

    /** Reads what is there, and hands over each complete payload; an empty one is a heartbeat. */
    void read(long nowMillis, PayloadHandler handler) throws IOException {
        int n = channel.read(in);
        while (n > 0) {
            lastReadMillis = nowMillis;
            in.flip();
            int needed = takeFrames(handler);
            makeRoom(needed);
            n = channel.read(in);
        }
        if (n < 0) {
            throw new IOException("the other end has closed");
        }
    }

    /** Hands over the complete frames; gives how many bytes the next one has, as far as that is known. */
    private int takeFrames(PayloadHandler handler) throws IOException {
        while (in.remaining() >= HEADER_BYTES) {
            int length = in.getInt(in.position());
            if (length < 0 || length > (peer == null ? MAX_HANDSHAKE_BYTES : MAX_PAYLOAD_BYTES)) {
                throw new PeerProtocolException("a frame of " + length + " bytes");
            }
            if (in.remaining() < HEADER_BYTES + length) {
                return HEADER_BYTES + length;
            }
            takeFrame(length, handler);
        }
        return HEADER_BYTES;
    }

    private void takeFrame(int length, PayloadHandler handler) throws IOException {
        in.getInt(); // the length
        int checksum = in.getInt();
        byte[] payload = new byte[length];
        in.get(payload);
        if (checksum != checksum(payload)) {
            throw new PeerProtocolException("a frame is not what its checksum says");
        }
        if (length > 0) {
            handler.onPayload(payload);
        }
    }

    /** Keeps what is read of a frame of so many bytes, and makes room for as much again at most. */
    private void makeRoom(int frameBytes) {
        if (in.remaining() == 0 && in.capacity() > READ_BUFFER_BYTES) {
            in = ByteBuffer.allocate(READ_BUFFER_BYTES);
        } else if (in.remaining() == in.capacity()) {
            int size = Math.min(2 * in.capacity(), Math.max(frameBytes, READ_BUFFER_BYTES));
            in = ByteBuffer.allocate(size).put(in);
        } else {
            in.compact();
        }
    }

    /** Whether the other end was silent for longer. */
    boolean isSilent(long nowMillis, long maxMillis) {
        return nowMillis - lastReadMillis > maxMillis;
    }

    /** Whether nothing was sent for so long. */
    boolean isIdle(long nowMillis, long minMillis) {
        return nowMillis - lastWrittenMillis >= minMillis;
    }

    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // it is gone either way
        }
    }
}
