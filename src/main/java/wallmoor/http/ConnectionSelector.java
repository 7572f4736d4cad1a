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
import wallmoor.threads.Threads;

/**
 * One thread that watches all connections of a server and passes on the bytes received. An idle connection therefore
 * needs neither a thread nor a wake-up. When the CPU quota of a gatherer is used up, it is suspended, and on resumption
 * each of its threads wakes up; with a thread for each of hundreds of idle connections that took more CPU time than the
 * queries.
 */
final class ConnectionSelector {
    /** Enough for most requests, and not more than a connection may have unread. */
    private static final int READ_BUFFER_BYTES = IncomingBytes.MAX_UNREAD_BYTES;
    /** The maximum size of a single write: the JDK retains a buffer of that size for each thread that writes. */
    private static final int MAX_WRITE_BYTES = 8 * 1024;
    /** The interval at which a blocked write checks whether its connection was closed. */
    private static final long WRITE_CHECK_INTERVAL_MILLIS = 100;

    private final Selector selector;
    private final Consumer<String> log;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

    ConnectionSelector(String name, Consumer<String> log) throws IOException {
        this.log = log;
        selector = Selector.open();
        Threads.startEssential(name + "-rest", this::run);
    }

    /** Returns the output over a channel; the channel is not read before {@link ChannelOutput#startReading}. */
    ChannelOutput output(SocketChannel channel) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
        return new ChannelOutput(channel);
    }

    private void runOnSelector(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    private void run() {
        while (true) {
            try {
                selector.select();
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                selector.selectedKeys().forEach(this::handleReady);
                selector.selectedKeys().clear();
            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                log.accept("connection selector failed: error=" + e);
            }
        }
    }

    private void handleReady(SelectionKey key) {
        var connection = (Connection) key.attachment();
        try {
            if (key.isWritable()) {
                key.interestOpsAnd(~SelectionKey.OP_WRITE);
                connection.writer().onWritable();
            }
            if (key.isReadable()) {
                read(key, connection);
            }
        } catch (CancelledKeyException e) {
            connection.onInputEnd(); // this side has closed it
        } catch (RuntimeException | OutOfMemoryError e) { // closes this connection only
            log.accept("connection closed after an error: error=" + e);
            key.cancel();
            connection.close();
        }
    }

    /** Reads without blocking, since a blocked read would delay all other connections. */
    private void read(SelectionKey key, Connection connection) {
        try {
            if (!connection.readFrom((SocketChannel) key.channel(), readBuffer)) {
                key.interestOpsAnd(~SelectionKey.OP_READ); // a closed channel would stay readable
            }
        } catch (IOException e) {
            key.cancel();
            connection.onInputEnd();
        }
    }

    /** The output over a non-blocking channel; the writing thread waits while the channel accepts no bytes. */
    final class ChannelOutput implements ConnectionOutput {
        private final SocketChannel channel;
        private volatile SelectionKey key;
        private Connection connection;

        private ChannelOutput(SocketChannel channel) {
            this.channel = channel;
        }

        /** Starts to pass the received bytes to a connection. */
        void startReading(Connection to) {
            connection = to;
            runOnSelector(() -> {
                try {
                    key = channel.register(selector, SelectionKey.OP_READ, to);
                } catch (ClosedChannelException e) {
                    to.onInputEnd();
                }
            });
        }

        @Override
        public boolean offer(byte[] bytes) throws IOException {
            return channel.write(ByteBuffer.wrap(bytes)) == bytes.length;
        }

        @Override
        public void write(byte[] bytes) throws IOException {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            while (remaining.position() < bytes.length) {
                remaining.limit(Math.min(bytes.length, remaining.position() + MAX_WRITE_BYTES));
                if (channel.write(remaining) == 0) {
                    addInterest(SelectionKey.OP_WRITE);
                    connection.writer().awaitWritable(WRITE_CHECK_INTERVAL_MILLIS);
                }
            }
        }

        @Override
        public void shutdownOutput() throws IOException {
            channel.shutdownOutput();
        }

        @Override
        public void resume() {
            addInterest(SelectionKey.OP_READ);
        }

        private void addInterest(int operations) {
            runOnSelector(() -> {
                if (key != null && key.isValid()) {
                    key.interestOpsOr(operations);
                }
            });
        }

        @Override
        public void close() throws IOException {
            channel.close();
            selector.wakeup(); // the selector thread releases the file descriptor
        }
    }
}
