package wallmoor.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.concurrent.TimeUnit;

/**
 * A client's connection. The selector's thread alone watches it and collects the bytes received, until a request is
 * complete. From then to its answer, a thread of the pool parses the request, handles it and writes the answer. A
 * client that is slow to send a request, or never sends the rest, therefore has neither a thread nor a share of the
 * limit on requests.
 *
 * <p>The {@link IncomingBytes} object is the lock of the state. Reading from the channel and closing the connection
 * from this side are each a single step under that lock: a request read before the close is answered, and bytes read
 * after it are discarded. {@code docs/connections.md} lists the states, their events and the tests of the transitions.
 */
final class Connection {
    /** After an error, received bytes are discarded until this time after connecting. */
    static final long ERROR_LINGER_MILLIS = 5_200;
    /** After the last answer, or when an idle connection is closed, received bytes are discarded for this time. */
    static final long LINGER_MILLIS = 500;
    /** The time for reading a request of which all bytes have been received. */
    private static final int COMPLETE_REQUEST_READ_MILLIS = 1_000;

    private final Server server;
    private final ConnectionOutput output;
    private final ConnectionWriter writer;
    private final IncomingBytes incoming;
    private final HttpReader reader;
    private final long openedAt = System.nanoTime();
    /** Modified only while holding the lock on {@link #incoming}. */
    private volatile ConnectionState state = ConnectionState.NEW;
    private volatile long stateSince = openedAt;
    private volatile long lingerUntil;
    /** The bytes held by {@link #incoming} as last reported to the server; modified only while holding its lock. */
    private volatile int bufferedBytes;
    /** The length of the complete request that waits for a thread or is being handled; guarded by {@link #incoming}. */
    private int requestBytes;
    /** Guarded by {@link #incoming}. */
    private final RequestScanner scanner = new RequestScanner();
    /** Whether a request on this connection was client work; accessed only by the thread that serves it. */
    private boolean hadClientWork;
    /** The request being handled; guarded by {@link #incoming}. */
    private HttpExchange currentExchange;

    Connection(Server server, ConnectionOutput output) {
        this.server = server;
        this.output = output;
        writer = new ConnectionWriter(output);
        incoming = new IncomingBytes(IncomingBytes.MAX_REQUEST_BYTES, output::resume);
        reader = new HttpReader(incoming);
    }

    /** Returns the writer of answers. If the client reads nothing for too long, {@link #closeExpired} closes. */
    ConnectionWriter writer() {
        return writer;
    }

    ConnectionState state() {
        return state;
    }

    /** Returns whether a request has been received completely and its answer not yet written. */
    boolean isHandling() {
        synchronized (incoming) {
            return currentExchange != null || state == ConnectionState.ACTIVE;
        }
    }

    long stateSince() {
        return stateSince;
    }

    /** Returns the memory held by bytes that have been received and not read. */
    int bufferedBytes() {
        return bufferedBytes;
    }

    /** Returns the length of the complete request that waits for a thread or is being handled. */
    int requestBytes() {
        synchronized (incoming) {
            return requestBytes;
        }
    }

    // ---- received bytes: on the selector thread, which never blocks ----------------------------------------

    /**
     * Reads the available bytes of the channel. Reading them and checking that the connection still accepts requests
     * are a single step: otherwise the connection could be closed in between, and a request that was read would never
     * be answered.
     *
     * @return false if the channel should not be read until {@link ConnectionOutput#resume}
     */
    boolean readFrom(ReadableByteChannel channel, ByteBuffer readBuffer) throws IOException {
        synchronized (incoming) {
            int length = channel.read(readBuffer.clear());
            if (length >= 0) {
                return length == 0 || onReceived(readBuffer.flip());
            }
        }
        onInputEnd();
        return false;
    }

    /**
     * Handles received bytes; they are discarded if the connection is closing or closed.
     *
     * @return false if the channel should not be read until {@link ConnectionOutput#resume}
     */
    boolean onReceived(ByteBuffer bytes) {
        synchronized (incoming) {
            boolean readMore = addReceived(bytes);
            reportBufferedBytes();
            return readMore && !(state.isIncomplete() && server.pausesReading(this));
        }
    }

    /** Adds received bytes. The caller holds the lock on {@link #incoming}. */
    private boolean addReceived(ByteBuffer bytes) {
        if (state == ConnectionState.CLOSING || state == ConnectionState.CLOSED) {
            return true;
        }
        boolean readMore = incoming.add(bytes);
        if (state == ConnectionState.NEW || state.isIdle()) {
            transitionTo(
                    state == ConnectionState.NEW ? ConnectionState.FIRST_REQUEST : ConnectionState.LATER_REQUEST);
        }
        if (state.isIncomplete()) {
            onRequestBytes(readMore);
        }
        return readMore || state == ConnectionState.CLOSING;
    }

    /** Tells the server how much memory the received bytes hold. The caller holds the lock on {@link #incoming}. */
    private void reportBufferedBytes() {
        int held = incoming.capacity();
        server.onBufferedBytes(held - bufferedBytes);
        bufferedBytes = held;
    }

    /** Serves the request if it is complete now. */
    private void onRequestBytes(boolean hasSpace) {
        if (isRequestComplete()) {
            transitionTo(ConnectionState.ACTIVE);
            if (!server.startServing(this)) {
                offerAndClose(ConnectionResponses.BUSY);
            }
        } else if (!hasSpace) {
            offerAndClose(ConnectionResponses.TOO_LARGE);
        }
    }

    /** Returns whether the next request can be read to its end, or to the fault that ends it. */
    private boolean isRequestComplete() {
        RequestScanner.Result result = incoming.scan(scanner);
        requestBytes = scanner.length();
        if (result == RequestScanner.Result.COMPLETE) {
            scanner.reset();
        }
        return result != RequestScanner.Result.INCOMPLETE;
    }

    /**
     * Handles the end of the input: the client has disconnected, whatever it sent before, and nobody waits for the
     * request being handled. An incomplete request ends here.
     */
    void onInputEnd() {
        HttpExchange interrupted;
        boolean close;
        synchronized (incoming) {
            incoming.end();
            interrupted = currentExchange;
            close = state == ConnectionState.NEW || state.isIdle() || state.isIncomplete()
                    || state == ConnectionState.CLOSING;
        }
        if (close) {
            close();
        } else if (interrupted != null) {
            interrupted.onClientDisconnect();
        }
    }

    /** Offers a response to a request that is not served, and closes the connection gracefully. */
    private void offerAndClose(byte[] response) {
        if (offer(response)) {
            halfClose(lingerAfterRequest());
        } else {
            close();
        }
    }

    /** Offers a response. Returns whether it could be written without blocking. */
    private boolean offer(byte[] response) {
        try {
            return output.offer(response);
        } catch (IOException e) {
            return false; // the client has disconnected
        }
    }

    // ---- requests: on a thread of the pool ----------------------------------------------------------------

    /**
     * Serves the requests that are complete, until one is not or the connection ends. An exception closes this
     * connection only.
     */
    void serve() {
        boolean released = false;
        try {
            boolean keepAlive = true;
            while (keepAlive && !released && reader.await(COMPLETE_REQUEST_READ_MILLIS)) {
                keepAlive = serveOne();
                released = keepAlive && releaseUnlessRequestIsComplete();
            }
        } catch (IOException e) {
            // the client has disconnected, or its bytes beyond the limit were discarded
        } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
            server.connectionFailed(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (!released) {
                halfClose(lingerAfterRequest());
            }
        }
    }

    /**
     * Returns for how many milliseconds received bytes are discarded after a request: after an error, a client may
     * still be sending its first request.
     */
    private long lingerAfterRequest() {
        long sinceOpenMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - openedAt);
        return Math.max(LINGER_MILLIS, ERROR_LINGER_MILLIS - sinceOpenMillis);
    }

    private boolean serveOne() throws IOException, InterruptedException {
        HttpMessage request;
        try {
            request = reader.request(COMPLETE_REQUEST_READ_MILLIS);
        } catch (HttpProtocolException e) {
            new HttpExchange(server, this, null).answer(e.status(), "", HttpExchange.plainText(e.getMessage()));
            return false;
        }
        var exchange = new HttpExchange(server, this, request);
        boolean disconnected;
        synchronized (incoming) {
            if (!transitionTo(ConnectionState.ACTIVE)) {
                return false; // evicted before the request was started
            }
            currentExchange = exchange;
            reportBufferedBytes(); // the reader has a copy
            disconnected = incoming.ended();
            incoming.readBeyondLimit(true);
        }
        try {
            if (disconnected) {
                exchange.onClientDisconnect();
            }
            return exchange.handle(request);
        } finally {
            hadClientWork |= exchange.wasClientWork();
            synchronized (incoming) {
                currentExchange = null;
                incoming.readBeyondLimit(false);
            }
        }
    }

    /**
     * Returns the connection to the selector's thread, unless another complete request has been received or the
     * connection has ended.
     *
     * @return whether this thread is released
     */
    private boolean releaseUnlessRequestIsComplete() {
        synchronized (incoming) {
            if (isRequestComplete() || incoming.ended() || incoming.truncated()) {
                transitionTo(ConnectionState.ACTIVE);
                return false;
            }
            if (incoming.unreadBytes() > 0) {
                return transitionTo(ConnectionState.LATER_REQUEST);
            }
            reader.shrinkEmptyBuffer();
            reportBufferedBytes();
            return transitionTo(hadClientWork ? ConnectionState.IDLE : ConnectionState.IDLE_UNUSED);
        }
    }

    // ---- closing ------------------------------------------------------------------------------------------

    /**
     * Closes the connection if one of its timeouts has expired.
     *
     * @param now         the current time, by {@link System#nanoTime}
     * @param writeMillis the maximum duration of a write
     * @param idleMillis  the idle timeout
     */
    void closeExpired(long now, long writeMillis, long idleMillis) {
        if (writer.hasBeenWriting(now, writeMillis)) {
            close();
        }
        if (state == ConnectionState.CLOSING && now - lingerUntil >= 0) {
            close();
        }
        halfCloseIf(ConnectionState.NEW, server.timeouts().silent());
        halfCloseIdle(idleMillis);
        timeOutIncompleteRequest(now);
    }

    /** Answers 408 if the request being received has not become complete in time. */
    private void timeOutIncompleteRequest(long now) {
        if (!state.isIncomplete()) {
            return;
        }
        synchronized (incoming) {
            boolean isFirst = state == ConnectionState.FIRST_REQUEST;
            long ageNanos = now - (isFirst ? openedAt : stateSince);
            long timeoutMillis = isFirst ? server.timeouts().firstRequest() : server.timeouts().request();
            if (state.isIncomplete() && ageNanos >= TimeUnit.MILLISECONDS.toNanos(timeoutMillis)) {
                offerAndClose(ConnectionResponses.TIMEOUT);
            }
        }
    }

    /** Closes the connection gracefully if it has been idle for this time. */
    void halfCloseIdle(long millis) {
        halfCloseIf(ConnectionState.IDLE, millis);
        halfCloseIf(ConnectionState.IDLE_UNUSED, millis);
    }

    /** Closes the connection gracefully if it has been in this state for this time. */
    void halfCloseIf(ConnectionState expected, long millis) {
        if (state != expected) {
            return;
        }
        synchronized (incoming) {
            if (hasBeenIn(expected, millis)) {
                halfClose(LINGER_MILLIS);
            }
        }
    }

    /**
     * Closes the output; bytes that the client still sends are read and discarded. Closing the socket with unread bytes
     * would reset the connection, and the client could lose the last answer.
     *
     * @param lingerMillis the time for which the client may continue to send
     */
    private void halfClose(long lingerMillis) {
        boolean clientEnded;
        synchronized (incoming) {
            clientEnded = incoming.ended();
            if (!clientEnded && transitionTo(ConnectionState.CLOSING)) {
                lingerUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lingerMillis);
                try {
                    output.shutdownOutput();
                } catch (IOException e) {
                    clientEnded = true; // the client has already disconnected
                }
                incoming.clear();
                reportBufferedBytes();
            }
        }
        if (clientEnded) {
            close();
        }
    }

    /**
     * Evicts the connection if it has been in this state for this time: closes it at once, to free its file descriptor.
     *
     * @return whether the connection was closed
     */
    boolean closeIf(ConnectionState expected, long millis) {
        boolean close;
        synchronized (incoming) {
            close = hasBeenIn(expected, millis);
            if (close) {
                if (expected.isIncomplete()) {
                    offer(ConnectionResponses.BUSY); // its request may have become complete just now
                }
                close();
            }
        }
        return close;
    }

    /** Refuses the request being received, to free its memory, if it has been incomplete for this time. */
    void refuseIncompleteRequest(long millis) {
        synchronized (incoming) {
            if (state.isIncomplete() && hasBeenIn(state, millis)) {
                offerAndClose(ConnectionResponses.BUSY);
            }
        }
    }

    /** Resumes reading after {@link Server#pausesReading}. */
    void resumeReading() {
        output.resume();
    }

    private boolean hasBeenIn(ConnectionState expected, long millis) {
        return state == expected && System.nanoTime() - stateSince >= TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Closes the connection at once. */
    void close() {
        synchronized (incoming) {
            setState(ConnectionState.CLOSED);
            try {
                output.close();
            } catch (IOException e) {
                // nothing more can be done to close it
            }
            incoming.end();
            if (currentExchange == null) {
                incoming.clear();
            }
            reportBufferedBytes();
        }
        server.remove(this);
    }

    /**
     * Changes the state, unless the connection is closing or closed. The caller holds the lock on {@link #incoming}.
     *
     * @return whether the state was changed
     */
    private boolean transitionTo(ConnectionState next) {
        if (state == ConnectionState.CLOSING || state == ConnectionState.CLOSED) {
            return false;
        }
        stateSince = System.nanoTime();
        setState(next);
        return true;
    }

    private void setState(ConnectionState next) {
        server.onStateChange(state, next);
        state = next;
    }
}
