package wallmoor.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/**
 * One thread that watches all connections of a server and hands on what comes in. So one that says nothing costs
 * neither a thread nor a wake-up: a gatherer that is stopped and let go on again, as its share of a core is used up,
 * wakes each thread it has, and with hundreds of threads at rest that took more of its share than its queries.
 */
final class ConnectionSelector {
    /** Read at once: most requests whole, and no more than a connection may have unread. */
    private static final int SCRATCH = IncomingBytes.MOST;
    /** Of an answer written at once: the JDK keeps as much beside each thread that writes. */
    private static final int PIECE = 8 * 1024;
    /** Between two looks at whether a peer that takes nothing has been given up. */
    private static final long LOOK_MILLIS = 100;

    private final Selector selector;
    private final Consumer<String> log;
    private final Queue<Runnable> wishes = new ConcurrentLinkedQueue<>();
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(SCRATCH);

    ConnectionSelector(String name, Consumer<String> log) throws IOException {
        this.log = log;
        selector = Selector.open();
        Threads.start(name + "-rest", this::run);
    }

    /** What a server writes to over this channel; nothing is read of it before {@link Over#begin}. */
    Over over(SocketChannel channel) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
        return new Over(channel);
    }

    private void wish(Runnable what) {
        wishes.add(what);
        selector.wakeup();
    }

    private void run() {
        while (true) {
            try {
                selector.select();
                for (Runnable wish = wishes.poll(); wish != null; wish = wishes.poll()) {
                    wish.run();
                }
                selector.selectedKeys().forEach(this::ready);
                selector.selectedKeys().clear();
            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                log.accept("watching connections: " + e);
            }
        }
    }

    private void ready(SelectionKey key) {
        var connection = (Connection) key.attachment();
        try {
            if (key.isWritable()) {
                key.interestOpsAnd(~SelectionKey.OP_WRITE);
                connection.writable();
            }
            if (key.isReadable()) {
                read(key, connection);
            }
        } catch (CancelledKeyException e) {
            connection.ended(); // it was closed here
        } catch (RuntimeException | OutOfMemoryError e) { // ends this connection and no other
            log.accept("connection ended: " + e);
            key.cancel();
            connection.close();
        }
    }

    /** Nothing here waits, whatever the peer does: all other connections would wait with it. */
    private void read(SelectionKey key, Connection connection) {
        try {
            if (!connection.readFrom((SocketChannel) key.channel(), scratch)) {
                key.interestOpsAnd(~SelectionKey.OP_READ); // an end stays readable
            }
        } catch (IOException e) {
            key.cancel();
            connection.ended();
        }
    }

    /** A channel that is written to without blocking, by one thread that waits while it takes nothing. */
    final class Over implements ConnectionOutput {
        private final SocketChannel channel;
        private volatile SelectionKey key;
        private Connection connection;

        private Over(SocketChannel channel) {
            this.channel = channel;
        }

        /** What comes in goes to this connection from here on. */
        void begin(Connection to) {
            connection = to;
            wish(() -> {
                try {
                    key = channel.register(selector, SelectionKey.OP_READ, to);
                } catch (ClosedChannelException e) {
                    to.ended();
                }
            });
        }

        @Override
        public boolean offer(byte[] bytes) throws IOException {
            return channel.write(ByteBuffer.wrap(bytes)) == bytes.length;
        }

        @Override
        public void write(byte[] bytes) throws IOException {
            ByteBuffer all = ByteBuffer.wrap(bytes);
            while (all.position() < bytes.length) {
                all.limit(Math.min(bytes.length, all.position() + PIECE));
                if (channel.write(all) == 0) {
                    want(SelectionKey.OP_WRITE);
                    connection.awaitWritable(LOOK_MILLIS);
                }
            }
        }

        @Override
        public void shutdownOutput() throws IOException {
            channel.shutdownOutput();
        }

        @Override
        public void resume() {
            want(SelectionKey.OP_READ);
        }

        private void want(int what) {
            wish(() -> {
                if (key != null && key.isValid()) {
                    key.interestOpsOr(what);
                }
            });
        }

        @Override
        public void close() throws IOException {
            channel.close();
            selector.wakeup(); // its descriptor is given back by the watching thread
        }
    }
}
