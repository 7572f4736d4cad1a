package wallmoor.http;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A listening socket that this process has bound. The kernel completes handshakes by itself, so a client may already
 * have written its request to a connection in the accept queue, and closing the socket would reset it. After a stop the
 * queue is therefore emptied before the socket is closed.
 */
final class BoundListener implements ConnectionAcceptor {
    /** The maximum number of connections in the accept queue. */
    private static final int MAX_QUEUED_CONNECTIONS = 256;
    /** A restarted gatherer binds the same address, which its killed predecessor may still occupy for a moment. */
    private static final int MAX_BIND_ATTEMPTS = 20;
    private static final int BIND_PAUSE_MILLIS = 100;

    private final ServerSocketChannel channel;
    /** Unlike a blocked accept, a select can be woken up. Null if there is no address to listen on. */
    private final Selector selector;
    private volatile boolean stopped;

    private BoundListener(ServerSocketChannel channel, Selector selector) {
        this.channel = channel;
        this.selector = selector;
    }

    static BoundListener bind(InetSocketAddress address) throws IOException {
        var channel = ServerSocketChannel.open();
        if (address == null) {
            return new BoundListener(channel, null);
        }
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        for (int attempts = 1; channel.getLocalAddress() == null; attempts++) {
            try {
                channel.bind(address, MAX_QUEUED_CONNECTIONS);
            } catch (BindException e) {
                if (attempts == MAX_BIND_ATTEMPTS) {
                    throw e;
                }
                pause();
            }
        }
        channel.configureBlocking(false);
        var selector = Selector.open();
        channel.register(selector, SelectionKey.OP_ACCEPT);
        return new BoundListener(channel, selector);
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(BIND_PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    @Override
    public SocketChannel accept() throws IOException {
        while (true) {
            boolean wasStopped = stopped; // read first, so that the accept below finds what was queued at the stop
            SocketChannel client = channel.accept();
            if (client != null) {
                return client;
            }
            if (wasStopped) {
                channel.close(); // from now on the kernel refuses connects
                selector.close();
                throw new ClosedChannelException();
            }
            selector.select();
            selector.selectedKeys().clear();
        }
    }

    @Override
    public synchronized void stop() throws IOException {
        if (selector == null) {
            channel.close();
        } else if (!stopped) { // a closed selector must not be woken up
            stopped = true;
            selector.wakeup();
        }
    }
}
