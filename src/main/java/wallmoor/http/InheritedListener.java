package wallmoor.http;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A listening socket that the platform owns and passes to each process as file descriptor 0. This class never closes
 * it: all processes with the descriptor share the queue of connections, and closing Java's channel for it would discard
 * standard output and error. To stop, a process only ceases to accept; a selector is used as it can be woken up.
 */
public final class InheritedListener implements ConnectionAcceptor {
    private final ServerSocketChannel channel;
    private final Selector selector;
    private volatile boolean stopped;

    private InheritedListener(ServerSocketChannel channel) throws IOException {
        this.channel = channel;
        selector = Selector.open();
        channel.configureBlocking(false); // two processes may wake up for one connection
        channel.register(selector, SelectionKey.OP_ACCEPT);
    }

    /** Returns the inherited listener, or null if descriptor 0 is not a listening TCP socket. */
    public static InheritedListener take() throws IOException {
        Channel inherited = System.inheritedChannel();
        return inherited instanceof ServerSocketChannel listening ? of(listening) : null;
    }

    /** Creates a listener for a socket that the caller closes. */
    public static InheritedListener of(ServerSocketChannel listening) throws IOException {
        return new InheritedListener(listening);
    }

    @Override
    public SocketChannel accept() throws IOException {
        while (!stopped) {
            selector.select();
            selector.selectedKeys().clear();
            SocketChannel client = stopped ? null : channel.accept();
            if (client != null) {
                return client;
            }
        }
        throw new ClosedChannelException();
    }

    @Override
    public void stop() {
        stopped = true;
        selector.wakeup();
    }
}
