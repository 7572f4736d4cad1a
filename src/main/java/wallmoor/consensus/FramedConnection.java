package wallmoor.consensus;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * One connection: frames of a length, a checksum and so many bytes, both ways. A frame that is not as it was sent ends
 * the connection, and the bytes kept for one grow with what comes and not with what is said. Used on the links' thread
 * alone, but for its name.
 */
final class FramedConnection {
    /**
     * The largest grant, thirty versions of 512 Ki characters, fits in ASCII; what does not fit is dropped and counted.
     */
    static final int MOST_FRAME = 16 << 20;
    /** What waits to be sent on one connection: more is dropped, as all that is sent is sent again. */
    private static final int MOST_WAITING = MOST_FRAME + (4 << 20);
    /** Before it has said who it is a connection may send so much. */
    private static final int MOST_HELLO = 4 << 10;
    private static final int HEAD = 2 * Integer.BYTES;
    private static final int PIECE = 16 << 10;

    final SocketChannel channel;
    /** The voter that was dialled, or null where the other end has dialled. */
    final String dialled;
    SelectionKey key;
    /** Who it says to be, once it has. */
    private volatile Packet.Handshake peer;
    private ByteBuffer in = ByteBuffer.allocate(PIECE);
    private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
    private int waiting;
    long readAt;
    long wroteAt;

    FramedConnection(SocketChannel channel, String dialled, long now) {
        this.channel = channel;
        this.dialled = dialled;
        readAt = now;
        wroteAt = now;
    }

    Packet.Handshake peer() {
        return peer;
    }

    void peer(Packet.Handshake said) {
        peer = said;
    }

    /** A payload as it goes over the wire. */
    static byte[] frame(byte[] payload) {
        var to = ByteBuffer.allocate(HEAD + payload.length);
        to.putInt(payload.length).putInt(sum(payload)).put(payload);
        return to.array();
    }

    private static int sum(byte[] payload) {
        var crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(payload.length).array());
        crc.update(payload);
        return (int) crc.getValue();
    }

    /** Whether the frame waits to be sent; not where too much does. */
    boolean offer(byte[] frame) {
        if (waiting + frame.length > MOST_WAITING) {
            return false;
        }
        waiting += frame.length;
        out.add(ByteBuffer.wrap(frame));
        return true;
    }

    /** Writes what goes; whether all has gone. */
    boolean write(long now) throws IOException {
        while (!out.isEmpty()) {
            ByteBuffer first = out.peek();
            int n = channel.write(first);
            if (n > 0) {
                wroteAt = now;
                waiting -= n;
            }
            if (first.hasRemaining()) {
                return false;
            }
            out.remove();
        }
        return true;
    }

    /** Reads what is there, and hands over each whole payload; an empty one only shows that the other end is there. */
    void read(long now, Consumer<byte[]> taken) throws IOException {
        int n;
        while ((n = channel.read(in)) > 0) {
            readAt = now;
            in.flip();
            int next = HEAD;
            while (in.remaining() >= HEAD) {
                int length = in.getInt(in.position());
                if (length < 0 || length > (peer == null ? MOST_HELLO : MOST_FRAME)) {
                    throw new IOException("a frame of " + length + " bytes");
                }
                next = HEAD + length;
                if (in.remaining() < next) {
                    break;
                }
                in.getInt();
                int sum = in.getInt();
                byte[] payload = new byte[length];
                in.get(payload);
                if (sum != sum(payload)) {
                    throw new IOException("a frame is not what its checksum says");
                }
                next = HEAD;
                if (length > 0) {
                    taken.accept(payload);
                }
            }
            room(next);
        }
        if (n < 0) {
            throw new IOException("the other end has closed");
        }
    }

    /** Keeps what is read of a frame of so many bytes, and makes room for as much again at most. */
    private void room(int frame) {
        if (in.remaining() == 0 && in.capacity() > PIECE) {
            in = ByteBuffer.allocate(PIECE);
        } else if (in.remaining() == in.capacity()) {
            ByteBuffer more = ByteBuffer.allocate(Math.min(2 * in.capacity(), Math.max(frame, PIECE)));
            in = more.put(in);
        } else {
            in.compact();
        }
    }

    /** Whether the other end was silent for too long. */
    boolean isSilent(long now, long most) {
        return now - readAt > most;
    }

    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // it is gone either way
        }
    }
}
