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

/** A worker on a loopback port whose every action is triggered by the test. */
final class ManualWorker implements AutoCloseable {
    private static final int MAX_WAIT_MILLIS = 15_000;

    private final ServerSocket listener;

    ManualWorker() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        listener.setSoTimeout(MAX_WAIT_MILLIS);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Accepts the next connection. */
    Peer accept() throws IOException {
        Socket socket = listener.accept();
        socket.setSoTimeout(MAX_WAIT_MILLIS);
        socket.setTcpNoDelay(true);
        return new Peer(socket);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    /** The worker's side of a connection. */
    static final class Peer implements AutoCloseable {
        final Socket socket;
        private final DataInputStream in;

        Peer(Socket socket) throws IOException {
            this.socket = socket;
            in = new DataInputStream(socket.getInputStream());
        }

        /** Reads the next frame without its length; "end" if the connection has ended. */
        String frame() throws IOException {
            try {
                byte[] frame = new byte[in.readInt()];
                in.readFully(frame);
                return new String(frame, StandardCharsets.ISO_8859_1);
            } catch (EOFException | SocketException e) {
                return "end";
            }
        }

        /** Answers a part with this result. */
        Peer answer(String part, String result) throws IOException {
            return frame("A" + part + " " + result + " 7 -\nv" + part);
        }

        /** Writes a complete frame. */
        Peer frame(String text) throws IOException {
            var bytes = new java.io.ByteArrayOutputStream();
            new DataOutputStream(bytes).writeInt(text.length());
            bytes.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
            return bytes(bytes.toByteArray());
        }

        /** Writes raw bytes. */
        Peer bytes(byte... bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            return this;
        }

        /** Resets the connection. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Closes the output direction only. */
        void shutdownOutput() throws IOException {
            socket.shutdownOutput();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
