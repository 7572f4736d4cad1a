package wallmoor.http;

import java.io.Closeable;
import java.io.IOException;

/** What a server's connection writes to; what comes in is fed to it from elsewhere. */
interface ConnectionOutput extends Closeable {
    /** Writes all of this; waits while the peer takes nothing. */
    void write(byte[] bytes) throws IOException;

    /** Writes what it takes at once; whether that was all. */
    boolean offer(byte[] bytes) throws IOException;

    /** Tells the peer that nothing more comes. */
    void shutdownOutput() throws IOException;

    /** Asks for what comes in again after {@link Connection#received} wanted no more. */
    void resume();
}
