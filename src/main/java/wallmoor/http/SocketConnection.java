package wallmoor.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;

/** A connection that is no channel, such as one in memory: a thread of its own reads it. */
final class SocketConnection implements ConnectionOutput {
    private static final int AT_ONCE = 2 * 1024;

    private final Socket socket;

    SocketConnection(Socket socket) {
        this.socket = socket;
    }

    /** Feeds the connection until its other end closes. It is trusted not to send more than is read. */
    void read(Connection to) {
        byte[] bytes = new byte[AT_ONCE];
        try {
            InputStream in = socket.getInputStream();
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                to.received(ByteBuffer.wrap(bytes, 0, n));
            }
            to.ended();
        } catch (IOException e) {
            to.ended();
        }
    }

    @Override
    public void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    @Override
    public boolean offer(byte[] bytes) throws IOException {
        write(bytes);
        return true;
    }

    @Override
    public void shutdownOutput() throws IOException {
        socket.shutdownOutput();
    }

    @Override
    public void resume() {
        // it never stops reading
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
