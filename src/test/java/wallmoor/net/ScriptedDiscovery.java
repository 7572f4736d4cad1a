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
 * A discovery that does nothing by itself: each call waits until the test says what comes next on it. So a test holds
 * one side of a crossing for as long as the other needs.
 */
final class ScriptedDiscovery implements AutoCloseable {
    private static final int PATIENCE_MILLIS = 15_000;

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
                // the test is over
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    /** The next call, which must come. */
    Call call() throws InterruptedException {
        Call call = call(PATIENCE_MILLIS);
        if (call == null) {
            throw new AssertionError("no call came");
        }
        return call;
    }

    /** The next call, or null where none comes in time. */
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

    /** One connection. */
    static final class Call implements AutoCloseable {
        final long at = System.nanoTime();
        private final Socket peer;

        Call(Socket peer) throws IOException {
            this.peer = peer;
            peer.setTcpNoDelay(true);
            peer.setSoTimeout(PATIENCE_MILLIS);
        }

        /** The target of the next request on it. */
        String target() throws IOException {
            return Client.head(peer.getInputStream()).split(" ")[1];
        }

        /** Bytes as they are. */
        Call raw(String text) throws IOException {
            peer.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return this;
        }

        /** A whole answer with a length. */
        Call answer(int status, String body) throws IOException {
            return raw("HTTP/1.1 " + status + " Status\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
        }

        /** The head of a watch. */
        Call open() throws IOException {
            return raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        /** A chunk of a watch, without a line end of its own. */
        Call chunk(String text) throws IOException {
            return raw(chunkOf(text));
        }

        static String chunkOf(String text) {
            return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
        }

        /** The same, where whoever watched may have left. */
        void chunkInVain(String text) {
            try {
                chunk(text);
            } catch (IOException e) {
                // it has left
            }
        }

        /** The watch ends as it should. */
        void end() throws IOException {
            raw("0\r\n\r\n");
        }

        void reset() throws IOException {
            peer.setSoLinger(true, 0);
            peer.close();
        }

        /** Waits until whoever called has closed it. */
        void awaitLeft() throws IOException {
            try {
                peer.getInputStream().transferTo(OutputStream.nullOutputStream());
            } catch (java.net.SocketException e) {
                // left with something unread
            }
        }

        @Override
        public void close() throws IOException {
            peer.close();
        }
    }
}
