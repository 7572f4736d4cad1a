package wallmoor.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;

/** Where a server's connections come from. */
public interface ConnectionAcceptor {
    /**
     * Waits for the next connection.
     *
     * @throws java.nio.channels.ClosedChannelException once {@link #stop} was called and no connection is left that
     *     this process has to take
     */
    SocketChannel accept() throws IOException;

    /** Takes no more connections, but for those that wait already and that nobody else could take. */
    void stop() throws IOException;

    /** A socket of this process's own, at this address; at none where it is null: then nothing can be accepted. */
    static ConnectionAcceptor at(InetSocketAddress address) throws IOException {
        return BoundListener.bind(address);
    }
}
