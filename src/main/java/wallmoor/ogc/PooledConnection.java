package wallmoor.ogc;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import wallmoor.http.HttpReader;

/**
 * A connection to a feature server, in use by an attempt or idle in the pool.
 *
 * @param socket    its socket
 * @param in        reads answers from it; null until it is connected
 * @param address   the server's, as the endpoint list had it when it was connected
 * @param idleSince when it was given back, by {@link System#nanoTime}
 */
record PooledConnection(Socket socket, HttpReader in, String address, long idleSince) {
    /** Idle for longer, and its server may be about to close it. */
    private static final long MAX_IDLE_NANOS = 3_000_000_000L;

    /** Whether its server may be about to close it. */
    boolean isOld() {
        return System.nanoTime() - idleSince > MAX_IDLE_NANOS;
    }

    /** Whether it is young enough and the server has not closed it meanwhile. */
    boolean usable() {
        try {
            if (!isOld()) {
                in.await(1);
            }
            return false; // too old, at its end, or with bytes that nobody asked for
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
            // it is closed as far as it can be
        }
    }
}
