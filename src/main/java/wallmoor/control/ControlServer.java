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
import wallmoor.http.Threads;

/**
 * The listener of a control port. It owns the socket and the threads, reads one request from each connection, has the
 * handler answer it, and closes the connection. Whoever connects and does not go on gets no answer, and nobody is told.
 */
public final class ControlServer implements AutoCloseable {
    /** Connections that wait to be accepted. */
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
        // a process that comes back at once finds its old connections waiting out their time
        server.setReuseAddress(true);
        server.bind(address, BACKLOG);
    }

    /** Listens; {@link #start} begins to answer, one request after another on the thread that listens. */
    public static ControlServer sequential(InetSocketAddress address, String threadName, RequestLimits limits)
            throws IOException {
        return new ControlServer(address, threadName, limits, Runnable::run);
    }

    /**
     * Listens; {@link #start} begins to answer on threads of this server's own.
     *
     * @param maxConcurrent requests that are answered at once; one more is closed unanswered
     */
    public static ControlServer concurrent(InetSocketAddress address, String threadName, RequestLimits limits,
            String workerName, int maxConcurrent) throws IOException {
        return new ControlServer(address, threadName, limits, Threads.pool(workerName, maxConcurrent));
    }

    /** Begins to answer. */
    public void start(ControlHandler handler) {
        Threads.start(threadName, () -> {
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
                requester.close(); // as many as may be are being answered
            }
        } catch (IOException e) {
            // the requester has gone, or this server was closed
        }
    }

    private void serve(Socket requester, ControlHandler handler) {
        try (requester) {
            requester.setSoTimeout(limits.timeoutMillis());
            handler.handle(readRequest(requester), requester.getOutputStream());
        } catch (IOException e) {
            // the requester has gone, or sent no request in time
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private byte[] readRequest(Socket requester) throws IOException {
        var request = new ByteArrayOutputStream();
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limits.timeoutMillis());
        while (true) {
            int n = requester.getInputStream().read(buffer);
            if (n < 0 || request.size() + n > limits.maxBytes() || System.nanoTime() > deadline) {
                throw new IOException("no request");
            }
            request.write(buffer, 0, n);
            if (buffer[n - 1] == '\n') {
                return request.toByteArray();
            }
        }
    }

    /** Listens no more; threads that answer are interrupted. */
    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            // it listens no more either way
        }
        if (executor instanceof ExecutorService workers) {
            workers.shutdownNow();
        }
    }
}
