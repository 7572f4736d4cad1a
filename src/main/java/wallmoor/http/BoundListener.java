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
 * A listening socket of this process's own. The kernel completes handshakes by itself, so that a client may have
 * written its request to a connection that waits here: closing the socket would reset all of these. So they are taken
 * first.
 */
final class BoundListener implements ConnectionAcceptor {
    /** Connections that wait in the kernel while all threads are busy. */
    private static final int BACKLOG = 256;
    /** A gatherer that was killed comes back at its address; what is left of the old one may hold it for a moment. */
    private static final int BIND_TRIES = 20;
    private static final int BIND_PAUSE_MILLIS = 100;

    private final ServerSocketChannel channel;
    /** Made where something is to be accepted; what can be woken, unlike a blocked accept. */
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
        for (int tries = 1; channel.getLocalAddress() == null; tries++) {
            try {
                channel.bind(address, BACKLOG);
            } catch (BindException e) {
                if (tries == BIND_TRIES) {
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
            boolean last = stopped; // asked first: what waited at the stop is found by the accept after it
            SocketChannel client = channel.accept();
            if (client != null) {
                return client;
            }
            if (last) {
                channel.close(); // from now on connects are refused
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
        } else if (!stopped) { // a selector must not be woken once it is closed
            stopped = true;
            selector.wakeup();
        }
    }
}
