package wallmoor.net;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A discovery service that sends nothing by itself: each connection waits until the test writes to it. A test can
 * thereby order two concurrent events.
 */
final class ScriptedDiscovery implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 15_000;

    private final ServerSocket socket;
    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

    ScriptedDiscovery() throws IOException {
        socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        var accepting = new Thread(() -> {
            try {
                while (true) {
                    calls.add(new Call(socket.accept()));
                }
            } catch (IOException e) {
                // the socket is closed: the test has ended
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Returns the next connection; fails where none is opened within {@link #TIMEOUT_MILLIS}. */
    Call call() throws InterruptedException {
        Call call = call(TIMEOUT_MILLIS);
        if (call == null) {
            throw new AssertionError("no connection to discovery within " + TIMEOUT_MILLIS + " ms");
        }
        return call;
    }

    /** Returns the next connection, or null where none is opened within this time. */
    Call call(long millis) throws InterruptedException {
        return calls.poll(millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Call call = calls.poll(); call != null; call = calls.poll()) {
            call.close();
        }
    }

    /** One connection of a client, with its request. */
    static final class Call implements AutoCloseable {
        /** When the connection was accepted, in nanoseconds of {@link System#nanoTime}. */
        final long acceptedAt = System.nanoTime();
        private final Socket peer;

        Call(Socket peer) throws IOException {
            this.peer = peer;
            peer.setTcpNoDelay(true);
            peer.setSoTimeout(TIMEOUT_MILLIS);
        }

        /** Reads the next request and returns its target. */
        String target() throws IOException {
            return Client.head(peer.getInputStream()).split(" ")[1];
        }

        /** Writes this text without framing. */
        Call raw(String text) throws IOException {
            peer.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return this;
        }

        /** Writes a complete response with a Content-Length. */
        Call answer(int status, String body) throws IOException {
            return raw("HTTP/1.1 " + status + " Status\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
        }

        /** Writes the response head of a watch. */
        Call open() throws IOException {
            return raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        /** Writes this text as one chunk; no line end is appended. */
        Call chunk(String text) throws IOException {
            return raw(chunkOf(text));
        }

        static String chunkOf(String text) {
            return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
        }

        /** Writes this text as one chunk; does nothing where the client has closed the connection. */
        void tryChunk(String text) {
            try {
                chunk(text);
            } catch (IOException e) {
                // the client has closed the connection
            }
        }

        /** Writes the last chunk, which ends the watch in an orderly way. */
        void end() throws IOException {
            raw("0\r\n\r\n");
        }

        void reset() throws IOException {
            peer.setSoLinger(true, 0);
            peer.close();
        }

        /** Reads until the client has closed the connection. */
        void awaitClosed() throws IOException {
            try {
                peer.getInputStream().transferTo(OutputStream.nullOutputStream());
            } catch (java.net.SocketException e) {
                // the client closed it with unread bytes, which resets it
            }
        }

        @Override
        public void close() throws IOException {
            peer.close();
        }
    }
}
