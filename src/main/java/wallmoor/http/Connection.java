package wallmoor.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.concurrent.TimeUnit;

/**
 * A client's connection. Between requests it is watched by the selector's thread and has none of its own; what comes in
 * is fed to it, and from a request's first byte to its answer a thread of the pool reads, works and answers.
 *
 * <p>The feed is the lock of its state. Reading from the channel, and ending the connection from here, are each one
 * step under that lock: a request that was read before the end is answered, and what is read after it is discarded. The
 * states, their events and the tests that force them stand in {@code docs/connections.md}.
 */
final class Connection {
    /** What a connection is at. */
    enum ConnectionState {
        /** Nothing has come yet. */
        NEW,
        /** Its first request has begun to come. */
        FIRST_REQUEST,
        /** A request is being read or is at work. */
        ACTIVE,
        /** Between requests, none of which was work: a health check mostly connects anew each time. */
        IDLE_UNUSED,
        /** Between requests. */
        IDLE,
        /**
         * The output is shut; what still comes is read and discarded until the client closes too, for a bounded time.
         */
        CLOSING,
        /** It is over. */
        CLOSED
    }

    /** After an error, what still comes is read and discarded until so long after connecting. */
    static final long ERROR_LINGER_MILLIS = 5_200;
    /** ... or after the last answer, or the end of an idle connection. */
    static final long LINGER_MILLIS = 500;
    private static final byte[] TOO_BUSY = HttpWriter.bytes(503, "Retry-After: 1\r\n",
            HttpExchange.plain("too much at work"),
            true, false);

    private final Server server;
    private final ConnectionOutput wire;
    private final IncomingBytes feed;
    private final HttpReader in;
    private final long openedAt = System.nanoTime();
    /** Changes under the lock of the feed. */
    private volatile ConnectionState state = ConnectionState.NEW;
    private volatile long since = openedAt;
    private volatile long writingSince;
    private volatile long closeAt;
    private boolean first = true;
    /** A request on it was work; of the thread that serves it. */
    private boolean worked;
    /** The request at work; guarded by the feed. */
    private HttpExchange current;

    Connection(Server server, ConnectionOutput wire) {
        this.server = server;
        this.wire = wire;
        feed = new IncomingBytes(wire::resume);
        in = new HttpReader(feed);
    }

    ConnectionState state() {
        return state;
    }

    long since() {
        return since;
    }

    // ---- what comes in: by the watching thread, which waits for nothing ------------------------------------

    /**
     * Reads what the channel has; false if nothing more is wanted until it asks. To read, and to know whether the
     * connection still takes requests, is one step: else it could be ended in between, with a request read and never
     * answered.
     */
    boolean readFrom(ReadableByteChannel channel, ByteBuffer scratch) throws IOException {
        synchronized (feed) {
            int length = channel.read(scratch.clear());
            if (length >= 0) {
                return length == 0 || received(scratch.flip());
            }
        }
        ended();
        return false;
    }

    /** Takes bytes that came; whether more are wanted. Where the connection is ending they are discarded. */
    boolean received(ByteBuffer bytes) {
        synchronized (feed) {
            if (state == ConnectionState.CLOSING || state == ConnectionState.CLOSED) {
                return true;
            }
            boolean more = feed.add(bytes);
            if (state == ConnectionState.NEW || idle(state)) {
                become(state == ConnectionState.NEW ? ConnectionState.FIRST_REQUEST : ConnectionState.ACTIVE);
                if (!server.begin(this)) {
                    turnAway();
                }
            }
            return more;
        }
    }

    /**
     * The client has closed: it has gone, whatever it sent before, and so has who waits for the request at work. One
     * that is still being read ends with its reader.
     */
    void ended() {
        HttpExchange left;
        boolean close;
        synchronized (feed) {
            feed.end();
            left = current;
            close = state == ConnectionState.NEW || idle(state) || state == ConnectionState.CLOSING;
        }
        if (close) {
            close();
        } else if (left != null) {
            left.clientGone();
        }
    }

    /** It takes bytes again. */
    void writable() {
        synchronized (wire) {
            wire.notifyAll();
        }
    }

    /** No thread is left to read what has begun: it was not begun upon, and its client may ask again. */
    private void turnAway() {
        if (refuse()) {
            halfClose(lingerAfterRequest());
        } else {
            close();
        }
    }

    /** Whoever has begun to ask is told to come again, if the connection takes that at once; whether it did. */
    private boolean refuse() {
        try {
            return wire.offer(TOO_BUSY);
        } catch (IOException e) {
            return false; // it has gone
        }
    }

    // ---- a request, by a thread of the pool ---------------------------------------------------------------

    /** Serves what has come, until it is idle or ends. An exception here ends this connection and no other. */
    void serve() {
        boolean handedBack = false;
        try {
            boolean keep = true;
            while (keep && !handedBack && in.await(0)) {
                keep = one();
                handedBack = keep && rest();
            }
        } catch (IOException e) {
            // the client has gone, or what it sent was cut off at the bound
        } catch (RuntimeException | OutOfMemoryError e) {
            server.connectionFailed(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (!handedBack) {
                halfClose(lingerAfterRequest());
            }
        }
    }

    /** A client that was told off may go on sending for as long as a first request may take. */
    private long lingerAfterRequest() {
        long sinceOpen = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - openedAt);
        return Math.max(LINGER_MILLIS, ERROR_LINGER_MILLIS - sinceOpen);
    }

    /** How long the request at hand may take to come in. */
    private int requestTimeout() {
        long sinceOpen = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - openedAt);
        int left = first ? (int) Math.max(100, server.timeouts().firstRequest() - sinceOpen)
                : server.timeouts().request();
        first = false;
        return left;
    }

    private boolean one() throws IOException, InterruptedException {
        HttpMessage request;
        try {
            request = in.request(requestTimeout());
        } catch (HttpProtocolException e) {
            new HttpExchange(server, this, null).answer(e.status(), "", HttpExchange.plain(e.getMessage()));
            return false;
        }
        var exchange = new HttpExchange(server, this, request);
        boolean gone;
        synchronized (feed) {
            if (!become(ConnectionState.ACTIVE)) {
                return false; // evicted, with nothing done for it
            }
            current = exchange;
            gone = feed.ended();
            feed.readOn(true);
        }
        try {
            if (gone) {
                exchange.clientGone();
            }
            return exchange.handle(request);
        } finally {
            worked |= exchange.wasWork();
            synchronized (feed) {
                current = null;
                feed.readOn(false);
            }
        }
    }

    /** Is idle from now on and gives up its thread; false where more has come or it has ended. */
    private boolean rest() {
        synchronized (feed) {
            if (feed.waiting() > 0 || in.buffered() || feed.ended() || feed.truncated()) {
                become(ConnectionState.ACTIVE);
                return false;
            }
            return become(worked ? ConnectionState.IDLE : ConnectionState.IDLE_UNUSED);
        }
    }

    private static boolean idle(ConnectionState state) {
        return state == ConnectionState.IDLE || state == ConnectionState.IDLE_UNUSED;
    }

    /** Writes an answer; one that takes nothing of it for long is closed by {@link #tidy}. */
    void write(byte[] answer) throws IOException {
        writingSince = System.nanoTime();
        try {
            wire.write(answer);
        } finally {
            writingSince = 0;
        }
    }

    /** Waits until it may take bytes again, for at most so long. */
    void awaitWritable(long millis) throws IOException {
        try {
            synchronized (wire) {
                wire.wait(millis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("told to stop writing");
        }
    }

    // ---- its end ------------------------------------------------------------------------------------------

    /** Closes what has had its time. */
    void tidy(long now, long writeMillis, long idleMillis) {
        long writing = writingSince;
        if (writing != 0 && now - writing > TimeUnit.MILLISECONDS.toNanos(writeMillis)) {
            close();
        }
        if (state == ConnectionState.CLOSING && now - closeAt >= 0) {
            close();
        }
        halfCloseIf(ConnectionState.NEW, server.timeouts().silent());
        halfCloseIdle(idleMillis);
    }

    /** Ends it gracefully if it has been idle for so long. */
    void halfCloseIdle(long millis) {
        halfCloseIf(ConnectionState.IDLE, millis);
        halfCloseIf(ConnectionState.IDLE_UNUSED, millis);
    }

    /** Ends it gracefully if it has been in this state for so long. */
    void halfCloseIf(ConnectionState in, long millis) {
        if (state != in) {
            return;
        }
        synchronized (feed) {
            if (hasBeen(in, millis)) {
                halfClose(LINGER_MILLIS);
            }
        }
    }

    /**
     * Ends it from this side: the client is told that nothing more comes, and what it still sends is read and
     * discarded. To close over bytes not yet read would reset the connection, and could take the last answer with it.
     *
     * @param lingerMillis for how long the client may go on sending
     */
    private void halfClose(long lingerMillis) {
        boolean clientEnded;
        synchronized (feed) {
            clientEnded = feed.ended();
            if (!clientEnded && become(ConnectionState.CLOSING)) {
                closeAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lingerMillis);
                try {
                    wire.shutdownOutput();
                } catch (IOException e) {
                    clientEnded = true; // it has gone already
                }
                feed.clear();
            }
        }
        if (clientEnded) {
            close();
        }
    }

    /** Closes it at once if it has been in this state for so long: its descriptor is wanted. */
    boolean closeIf(ConnectionState in, long millis) {
        boolean close;
        synchronized (feed) {
            close = hasBeen(in, millis);
            if (close) {
                if (in == ConnectionState.FIRST_REQUEST) {
                    refuse(); // its request may have come whole this moment
                }
                close();
            }
        }
        return close;
    }

    private boolean hasBeen(ConnectionState in, long millis) {
        return state == in && System.nanoTime() - since >= TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Ends it at once. */
    void close() {
        synchronized (feed) {
            state = ConnectionState.CLOSED;
            try {
                wire.close();
            } catch (IOException e) {
                // it is closed as far as it can be
            }
            feed.end();
        }
        server.forget(this);
    }

    /** Goes on to another state, unless it is ending or over. Guarded by the feed. */
    private boolean become(ConnectionState next) {
        if (state == ConnectionState.CLOSING || state == ConnectionState.CLOSED) {
            return false;
        }
        since = System.nanoTime();
        state = next;
        return true;
    }
}
