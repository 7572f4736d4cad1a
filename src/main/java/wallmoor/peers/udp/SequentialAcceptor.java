package wallmoor.peers.udp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import wallmoor.http.Threads;

/** Accepts connections one after another on one thread, and closes each once it has been handled. */
final class SequentialAcceptor implements AutoCloseable {
    /** Handles a connection, within a time of its own. */
    interface ConnectionHandler {
        void handle(Socket from) throws IOException;
    }

    private final ServerSocket server;

    /** Listens; what connects waits until {@link #start}, so many at most. */
    SequentialAcceptor(InetSocketAddress listen, int backlog) throws IOException {
        server = new ServerSocket();
        // a process that comes back at once finds its old connections waiting out their time
        server.setReuseAddress(true);
        server.bind(listen, backlog);
    }

    /** Begins to accept; {@code onFailure} runs for each that was not handled while this listens. */
    void start(String thread, ConnectionHandler handler, Runnable onFailure) {
        Threads.start(thread, () -> {
            while (!isClosed()) {
                acceptOne(handler, onFailure);
            }
        });
    }

    private void acceptOne(ConnectionHandler handler, Runnable onFailure) {
        try (Socket from = server.accept()) {
            handler.handle(from);
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
