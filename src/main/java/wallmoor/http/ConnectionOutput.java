package wallmoor.http;

import java.io.Closeable;
import java.io.IOException;

/** The output side of a connection to a server's client. */
interface ConnectionOutput extends Closeable {
    /** Writes all bytes; blocks while the peer reads nothing. */
    void write(byte[] bytes) throws IOException;

    /** Writes as many bytes as possible without blocking. Returns whether all were written. */
    boolean offer(byte[] bytes) throws IOException;

    /** Closes the output direction only. */
    void shutdownOutput() throws IOException;

    /** Resumes reading after {@link Connection#onReceived} has returned false. */
    void resume();
}
