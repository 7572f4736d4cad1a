package wallmoor.http;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A listening socket that the platform holds and passes to each process as descriptor 0. It is never closed here: the
 * queue of connections belongs to all processes that have it, and closing Java's channel of it would send standard
 * output and error to nowhere. So whoever stops accepting only ceases to ask; a selector is what can be woken for that.
 */
public final class InheritedListener implements ConnectionAcceptor {
    private final ServerSocketChannel channel;
    private final Selector selector;
    private volatile boolean stopped;

    private InheritedListener(ServerSocketChannel channel) throws IOException {
        this.channel = channel;
        selector = Selector.open();
        channel.configureBlocking(false); // two processes are woken for one connection, and one of them gets none
        channel.register(selector, SelectionKey.OP_ACCEPT);
    }

    /** Takes the socket over; null where descriptor 0 is no listening TCP socket. */
    public static InheritedListener take() throws IOException {
        Channel held = System.inheritedChannel();
        return held instanceof ServerSocketChannel listening ? of(listening) : null;
    }

    /** The same of a socket that somebody else closes. */
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
