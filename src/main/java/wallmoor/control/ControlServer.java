package wallmoor.control;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import wallmoor.threads.Threads;

/**
 * The listener of a control port. It owns the socket and the threads, reads one request from each connection, lets the
 * handler respond, and closes the connection. A client that sends no complete request in time gets no response, and
 * nothing is logged.
 */
public final class ControlServer implements AutoCloseable {
    /** Limit of connections that wait to be accepted. */
    private static final int BACKLOG = 16;
    private static final int READ_BUFFER_BYTES = 4096;

    private final ServerSocket server = new ServerSocket();
    private final String threadName;
    private final RequestLimits limits;
    private final Executor executor;

    private ControlServer(InetSocketAddress address, String threadName, RequestLimits limits, Executor executor)
            throws IOException {
        this.threadName = threadName;
        this.limits = limits;
        this.executor = executor;
        // allows a quick restart while old connections are in TIME_WAIT
        server.setReuseAddress(true);
        server.bind(address, BACKLOG);
    }

    /** Listens; {@link #start} begins to respond to one request at a time, on the listening thread. */
    public static ControlServer sequential(InetSocketAddress address, String threadName, RequestLimits limits)
            throws IOException {
        return new ControlServer(address, threadName, limits, Runnable::run);
    }

    /**
     * Listens; {@link #start} begins to respond on a thread pool.
     *
     * @param maxConcurrent limit of requests handled at the same time; further connections are closed without a
     *   response
     */
    public static ControlServer concurrent(InetSocketAddress address, String threadName, RequestLimits limits,
            String workerName, int maxConcurrent) throws IOException {
        return new ControlServer(address, threadName, limits, Threads.pool(workerName, maxConcurrent));
    }

    /** Begins to respond. */
    public void start(ControlHandler handler) {
        Threads.startEssential(threadName, () -> {
            while (!server.isClosed()) {
                accept(handler);
            }
        });
    }

    private void accept(ControlHandler handler) {
        try {
            Socket requester = server.accept();
            try {
                executor.execute(() -> serve(requester, handler));
            } catch (RejectedExecutionException e) {
                requester.close(); // the maximum of concurrent requests is reached
            }
        } catch (IOException e) {
            // the requester has disconnected, or this server was closed
        }
    }

    private void serve(Socket requester, ControlHandler handler) {
        try (requester) {
            requester.setSoTimeout(limits.timeoutMillis());
            handler.handle(readRequest(requester), requester.getOutputStream());
        } catch (IOException e) {
            // the requester has disconnected, or sent no request in time
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private byte[] readRequest(Socket requester) throws IOException {
        var request = new ByteArrayOutputStream();
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limits.timeoutMillis());
        while (true) {
            int bytesRead = requester.getInputStream().read(buffer);
            if (bytesRead < 0 || request.size() + bytesRead > limits.maxBytes() || System.nanoTime() > deadline) {
                throw new IOException("no complete request of at most " + limits.maxBytes() + " bytes within "
                        + limits.timeoutMillis() + " ms");
            }
            request.write(buffer, 0, bytesRead);
            if (buffer[bytesRead - 1] == '\n') {
                return request.toByteArray();
            }
        }
    }

    /** Stops listening and interrupts the pool threads. */
    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            // best effort: the socket is unusable either way
        }
        if (executor instanceof ExecutorService workers) {
            workers.shutdownNow();
        }
    }
}
