package wallmoor.peers.udp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import wallmoor.threads.Threads;

/** Accepts and handles connections one after another on a single thread, and closes each after it has been handled. */
final class SequentialAcceptor implements AutoCloseable {
    /** Handles a connection; it must enforce a timeout itself, as further connections wait meanwhile. */
    interface ConnectionHandler {
        void handle(Socket connection) throws IOException;
    }

    private final ServerSocket server;

    /**
     * Binds the server socket; {@link #start} begins to accept.
     *
     * @param backlog maximum number of connections that wait to be accepted
     */
    SequentialAcceptor(InetSocketAddress listen, int backlog) throws IOException {
        server = new ServerSocket();
        // After a quick restart, connections of the previous process may still be in the state TIME_WAIT.
        server.setReuseAddress(true);
        server.bind(listen, backlog);
    }

    /**
     * Starts the accepting thread.
     *
     * @param onFailure runs after each connection that could not be accepted or handled, unless this is closed
     */
    void start(String threadName, ConnectionHandler handler, Runnable onFailure) {
        Threads.startEssential(threadName, () -> {
            while (!isClosed()) {
                acceptOne(handler, onFailure);
            }
        });
    }

    private void acceptOne(ConnectionHandler handler, Runnable onFailure) {
        try (Socket connection = server.accept()) {
            handler.handle(connection);
        } catch (IOException e) {
            if (!isClosed()) {
                onFailure.run();
            }
        }
    }

    boolean isClosed() {
        return server.isClosed();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
