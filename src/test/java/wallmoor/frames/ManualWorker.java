package wallmoor.frames;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** A worker on a loopback port that does nothing by itself: the test makes its every move. */
final class ManualWorker implements AutoCloseable {
    private static final int LONGEST_WAIT_MILLIS = 15_000;

    private final ServerSocket listening;

    ManualWorker() throws IOException {
        listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        listening.setSoTimeout(LONGEST_WAIT_MILLIS);
    }

    String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    /** The next connection that was made. */
    Peer accept() throws IOException {
        Socket socket = listening.accept();
        socket.setSoTimeout(LONGEST_WAIT_MILLIS);
        socket.setTcpNoDelay(true);
        return new Peer(socket);
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }

    /** The worker's end of a connection. */
    static final class Peer implements AutoCloseable {
        final Socket socket;
        private final DataInputStream in;

        Peer(Socket socket) throws IOException {
            this.socket = socket;
            in = new DataInputStream(socket.getInputStream());
        }

        /** The next frame from its letter on, or "end" where the connection has ended. */
        String frame() throws IOException {
            try {
                byte[] frame = new byte[in.readInt()];
                in.readFully(frame);
                return new String(frame, StandardCharsets.ISO_8859_1);
            } catch (EOFException | SocketException e) {
                return "end";
            }
        }

        /** Answers a part. */
        Peer answer(String part, String end) throws IOException {
            return frame("A" + part + " " + end + " 7 -\nv" + part);
        }

        /** Writes a whole frame. */
        Peer frame(String text) throws IOException {
            var bytes = new java.io.ByteArrayOutputStream();
            new DataOutputStream(bytes).writeInt(text.length());
            bytes.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
            return bytes(bytes.toByteArray());
        }

        /** Writes what is no whole frame. */
        Peer bytes(byte... bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            return this;
        }

        /** Resets the connection. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Says that nothing more comes from here. */
        void finish() throws IOException {
            socket.shutdownOutput();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
