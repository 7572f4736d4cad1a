package wallmoor.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;

/** The source of a server's connections. */
public interface ConnectionAcceptor {
    /**
     * Waits for the next connection.
     *
     * @throws java.nio.channels.ClosedChannelException after {@link #stop}, once no connection is left that only
     *     this process can accept
     */
    SocketChannel accept() throws IOException;

    /** Stops accepting connections, except for queued ones that no other process could accept. */
    void stop() throws IOException;

    /**
     * Binds a listening socket of this process.
     *
     * @param address the address to listen on; if null, no connection can be accepted
     */
    static ConnectionAcceptor at(InetSocketAddress address) throws IOException {
        return BoundListener.bind(address);
    }
}
