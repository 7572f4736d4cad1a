package wallmoor.ogc;

import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;
import wallmoor.core.Gatherer;
import wallmoor.core.SendPermission;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.HttpReader;
import wallmoor.http.HttpWriter;

/**
 * The connection of one attempt, which sends its requests one after another. It records whether a request was sent and
 * whether the attempt was cancelled. Requests and {@link #cancel} run on different threads.
 */
final class FetchConnection {
    private final Attempt attempt;
    private final Gatherer gatherer;
    private final int connectMillis;
    private PooledConnection connection;
    /** The outcome with which the gatherer cancelled the attempt, or null. */
    private AttemptOutcome cancelOutcome;
    private boolean sent;
    /** Whether the next request needs a new connection. */
    private boolean needsReconnect;

    FetchConnection(Attempt attempt, Gatherer gatherer, int connectMillis) {
        this.attempt = attempt;
        this.gatherer = gatherer;
        this.connectMillis = connectMillis;
    }

    /** Cancels the attempt and closes its connection, which notifies the feature server. */
    synchronized void cancel(AttemptOutcome outcome) {
        cancelOutcome = outcome;
        if (connection != null) {
            connection.close();
        }
    }

    /** Sets the connection. Returns whether the attempt may go on: false if it has been cancelled. */
    private synchronized boolean use(PooledConnection newConnection) {
        connection = newConnection;
        return cancelOutcome == null;
    }

    /** Returns the outcome of an attempt without a value: the cancel's outcome if it was cancelled, else this one. */
    synchronized AttemptOutcome outcomeUnlessCancelled(AttemptOutcome outcome) {
        if (cancelOutcome == null) {
            return outcome;
        }
        return sent ? cancelOutcome : AttemptOutcome.NOT_SENT;
    }

    /** Returns whether the server may have received a byte of the attempt. */
    boolean hasSent() {
        return sent;
    }

    /**
     * Takes an idle connection, or opens one.
     *
     * @param idle an idle connection, or null to open a new one
     * @return whether the attempt may go on: false if it has been cancelled
     */
    boolean open(PooledConnection idle) throws IOException {
        return idle != null ? use(idle) : connect();
    }

    private boolean connect() throws IOException {
        String hostAndPort = attempt.worker().address(); // read once, as an endpoint update may change it
        InetSocketAddress address = LaunchConfig.address("address", hostAndPort);
        var socket = new Socket();
        if (!use(new PooledConnection(socket, null, hostAndPort, 0))) {
            return false;
        }
        socket.setTcpNoDelay(true);
        socket.connect(address, (int) Math.max(1, Math.min(connectMillis, remainingMillis())));
        return use(new PooledConnection(socket, new HttpReader(socket), hostAndPort, 0));
    }

    private long remainingMillis() {
        return attempt.remainingMillis(gatherer.now());
    }

    /** Makes the next request use a new connection, because the rest of a response was not read. */
    void reconnectBeforeNextRequest() {
        needsReconnect = true;
    }

    /**
     * Sends a request and reads its response: status 200, or also 404 if the request is for one feature.
     *
     * @throws IOException               if the connection failed or the attempt was cancelled
     * @throws HttpProtocolException     if the response is malformed, too long (413) or has another status (502)
     * @throws ServerRejectedException   if the server rejected the first request
     * @throws SendNotPermittedException if the request may no longer be sent
     */
    HttpMessage get(String target)
            throws IOException, HttpProtocolException, ServerRejectedException, SendNotPermittedException {
        boolean first = !sent;
        if (needsReconnect) { // the server closes the connection after each page, or a response was not read completely
            reconnect();
        }
        OutputStream out = connection.socket().getOutputStream();
        requirePermission(first);
        HttpWriter.get(out, attempt.worker().address(), target, "Accept: application/geo+json, application/json\r\n");
        int timeoutMillis = (int) Math.max(1, remainingMillis());
        if (!connection.in().await(timeoutMillis)) {
            throw new EOFException("feature server closed the connection before a response");
        }
        HttpMessage response = connection.in().answer(timeoutMillis, true);
        requireStatus(response.status(), first, target);
        needsReconnect = !response.keepAlive();
        return response;
    }

    private void reconnect() throws IOException {
        connection.close();
        needsReconnect = false;
        if (!connect()) {
            throw new AttemptCancelledException();
        }
    }

    private synchronized void requirePermission(boolean first)
            throws AttemptCancelledException, SendNotPermittedException {
        if (cancelOutcome != null) {
            throw new AttemptCancelledException();
        }
        SendPermission permission = attempt.checkPermission(gatherer.now(), connection.address());
        if (!(first ? permission.granted() : permission.mayContinue())) {
            throw new SendNotPermittedException(permission);
        }
        sent = true; // the server may run the request from its first byte on
    }

    private static void requireStatus(int status, boolean first, String target)
            throws ServerRejectedException, HttpProtocolException {
        if (first && (status == 429 || status == 503)) {
            throw new ServerRejectedException(status);
        }
        if (status != 200 && !(status == 404 && target.matches("[^?]*/items/[^/]+"))) {
            throw new HttpProtocolException(502, "unexpected status " + status + " of " + target);
        }
    }

    /** Returns whether another attempt may use the connection after this one was served. */
    boolean isReusable() {
        return !needsReconnect;
    }

    /** Returns the connection for the pool, marked idle from now on and without its large buffer. */
    PooledConnection release() {
        connection.in().shrinkEmptyBuffer();
        return new PooledConnection(connection.socket(), connection.in(), connection.address(), System.nanoTime());
    }

    /** Closes the connection, if there is one. */
    void close() {
        if (connection != null) {
            connection.close();
        }
    }
}
