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
 * A connection that carries frames in both directions. A frame is a length, a CRC-32C checksum and the payload. A
 * corrupt frame ends the connection. The read buffer grows with the bytes received, not with the length that a frame
 * announces. Used only on the transport thread, except for {@link #peer}.
 */
final class FramedConnection {
    /** Receives the payloads of frames. */
    interface PayloadHandler {
        /** Handles a payload; an exception ends the connection. */
        void onPayload(byte[] payload) throws IOException;
    }

    /**
     * The largest grant, thirty versions of 512 Ki characters, fits in if it is ASCII; a larger packet is dropped and
     * counted.
     */
    static final int MAX_PAYLOAD_BYTES = 16 << 20;
    /** Limit of bytes queued on one connection. Frames beyond it are dropped, as every message is sent again. */
    private static final int MAX_UNSENT_BYTES = MAX_PAYLOAD_BYTES + (4 << 20);
    /** Limit of the payload of a frame received before the handshake. */
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

    /**
     * Creates a connection.
     *
     * @param dialledVoter the voter that was dialled; null for an accepted connection
     */
    FramedConnection(SocketChannel channel, String dialledVoter, long nowMillis) {
        this.channel = channel;
        this.dialledVoter = dialledVoter;
        lastReadMillis = nowMillis;
        lastWrittenMillis = nowMillis;
    }

    /** Registers the channel with the selector. */
    void register(Selector selector, int interestOps) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = channel.register(selector, interestOps, this);
    }

    SelectionKey key() {
        return key;
    }

    /** Returns the voter that was dialled, or null for an accepted connection. */
    String dialledVoter() {
        return dialledVoter;
    }

    /** Returns the handshake of the peer, or null before it was accepted. May be called by any thread. */
    Packet.Handshake peer() {
        return peer;
    }

    /** Stores the accepted handshake of the peer. */
    void accept(Packet.Handshake handshake) {
        peer = handshake;
    }

    boolean isPeer(String name) {
        return peer != null && peer.name().equals(name);
    }

    boolean isConnected() {
        return channel.isConnected();
    }

    /** Completes a pending connect and returns whether the connection is established. */
    boolean finishConnect() throws IOException {
        return channel.finishConnect();
    }

    /** Returns the frame of a payload. */
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

    /** Queues a frame, and returns false if the queue is full. */
    boolean offer(byte[] frame) {
        if (unsentBytes + frame.length > MAX_UNSENT_BYTES) {
            return false;
        }
        unsentBytes += frame.length;
        unsent.add(ByteBuffer.wrap(frame));
        return true;
    }

    /** Writes queued frames as far as the channel accepts them, and returns whether all were written. */
    boolean write(long nowMillis) throws IOException {
        while (!unsent.isEmpty()) {
            ByteBuffer first = unsent.peek();
            int bytesWritten = channel.write(first);
            if (bytesWritten > 0) {
                lastWrittenMillis = nowMillis;
                unsentBytes -= bytesWritten;
            }
            if (first.hasRemaining()) {
                return false;
            }
            unsent.remove();
        }
        return true;
    }

    /**
     * Reads the available bytes and passes each complete payload to the handler. An empty payload is a heartbeat and is
     * not passed on.
     */
    void read(long nowMillis, PayloadHandler handler) throws IOException {
        int bytesRead = channel.read(in);
        while (bytesRead > 0) {
            lastReadMillis = nowMillis;
            in.flip();
            int needed = takeFrames(handler);
            makeRoom(needed);
            bytesRead = channel.read(in);
        }
        if (bytesRead < 0) {
            throw new IOException("connection closed by the peer");
        }
    }

    /**
     * Passes on the payloads of complete frames, and returns the size in bytes of the next frame, or of a header if its
     * length is not known yet.
     */
    private int takeFrames(PayloadHandler handler) throws IOException {
        while (in.remaining() >= HEADER_BYTES) {
            int length = in.getInt(in.position());
            if (length < 0 || length > (peer == null ? MAX_HANDSHAKE_BYTES : MAX_PAYLOAD_BYTES)) {
                throw new PeerProtocolException("invalid frame length " + length + ", allowed are 0 to "
                        + (peer == null ? MAX_HANDSHAKE_BYTES : MAX_PAYLOAD_BYTES) + " bytes");
            }
            if (in.remaining() < HEADER_BYTES + length) {
                return HEADER_BYTES + length;
            }
            takeFrame(length, handler);
        }
        return HEADER_BYTES;
    }

    private void takeFrame(int length, PayloadHandler handler) throws IOException {
        in.getInt(); // skips the length
        int checksum = in.getInt();
        byte[] payload = new byte[length];
        in.get(payload);
        if (checksum != checksum(payload)) {
            throw new PeerProtocolException("frame checksum mismatch, payload of " + length + " bytes");
        }
        if (length > 0) {
            handler.onPayload(payload);
        }
    }

    /**
     * Compacts the buffer or resizes it. It grows to at most twice its size and no further than the pending frame
     * needs.
     */
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

    /** Returns whether nothing was received for more than {@code maxMillis}. */
    boolean isSilent(long nowMillis, long maxMillis) {
        return nowMillis - lastReadMillis > maxMillis;
    }

    /** Returns whether nothing was sent for at least {@code minMillis}. */
    boolean isIdle(long nowMillis, long minMillis) {
        return nowMillis - lastWrittenMillis >= minMillis;
    }

    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // the connection is unusable either way
        }
    }
}
