package wallmoor.ogc;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import wallmoor.http.HttpReader;

/**
 * A connection to a feature server, in use by an attempt or idle in the pool.
 *
 * @param socket    the connection's socket
 * @param in        the reader of responses; null until the socket is connected
 * @param address   the server's HOST:PORT, as the endpoint list had it at the connect
 * @param idleSince when it became idle, by {@link System#nanoTime}
 */
record PooledConnection(Socket socket, HttpReader in, String address, long idleSince) {
    /** After more idle time than this, the server may be about to close the connection. */
    private static final long MAX_IDLE_NANOS = 3_000_000_000L;

    /** Returns whether the connection was idle for too long, so that the server may be about to close it. */
    boolean isExpired() {
        return System.nanoTime() - idleSince > MAX_IDLE_NANOS;
    }

    /** Returns whether the connection has not expired and the server has not closed it. */
    boolean isUsable() {
        try {
            if (!isExpired()) {
                in.await(1);
            }
            return false; // expired, closed by the server, or with bytes that no request asked for
        } catch (SocketTimeoutException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // nothing more can be done to close it
        }
    }
}
