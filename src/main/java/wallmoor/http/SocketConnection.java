package wallmoor.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;

/** A connection over a socket without a channel, such as an in-memory one, which a separate thread reads. */
final class SocketConnection implements ConnectionOutput {
    private static final int READ_BUFFER_BYTES = 2 * 1024;

    private final Socket socket;

    SocketConnection(Socket socket) {
        this.socket = socket;
    }

    /** Passes received bytes to a connection until the peer closes. The peer is trusted not to send too much. */
    void read(Connection connection) {
        byte[] bytes = new byte[READ_BUFFER_BYTES];
        try {
            InputStream in = socket.getInputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                connection.onReceived(ByteBuffer.wrap(bytes, 0, count));
            }
            connection.onInputEnd();
        } catch (IOException e) {
            connection.onInputEnd();
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
        // reading never pauses
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
