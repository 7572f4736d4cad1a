package wallmoor.peers.udp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import wallmoor.http.Threads;

/** Takes connections one after another on one thread, and closes each once it has been dealt with. */
final class SequentialAcceptor implements AutoCloseable {
    /** Deals with a connection, within a time of its own. */
    interface ConnectionHandler {
        void take(Socket from) throws IOException;
    }

    private final ServerSocket server;

    /** Listens; what connects waits until {@link #start}, so many at most. */
    SequentialAcceptor(InetSocketAddress listen, int backlog) throws IOException {
        server = new ServerSocket();
        // a process that comes back at once finds its old connections waiting out their time
        server.setReuseAddress(true);
        server.bind(listen, backlog);
    }

    /** Begins to take; {@code failed} is told of each that was not dealt with while this listens. */
    void start(String thread, ConnectionHandler taker, Runnable failed) {
        Threads.start(thread, () -> {
            while (!isClosed()) {
                try (Socket from = server.accept()) {
                    taker.take(from);
                } catch (IOException e) {
                    if (!isClosed()) {
                        failed.run();
                    }
                }
            }
        });
    }

    boolean isClosed() {
        return server.isClosed();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
