package wallmoor.peers.udp;

import com.codahale.metrics.Counter;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import wallmoor.threads.Threads;

/**
 * Transfers tables that are too large for a datagram, each over a connection of its own: the length in four bytes and
 * the encoded message, without a response. One thread receives and one sends, both one table at a time. Each transfer
 * is limited to two seconds, so that a member that stalls delays others by no more than that, and a member that can't
 * be reached loses only its own tables.
 */
final class TableTransfer implements AutoCloseable {
    /** Limit for receiving a table, for connecting, and for sending a table including connecting. */
    private static final int TIMEOUT_MILLIS = 2_000;
    /** Tables that may wait to be sent. Further ones are dropped, as the next exchange sends the same content. */
    private static final int MAX_QUEUED_TABLES = 16;
    private static final int BACKLOG = 64;
    /** Longest wait for a table to send, after which the sending thread checks whether this is closed. */
    private static final long POLL_MILLIS = 500;
    private static final int CHUNK_BYTES = 16 * 1024;

    private final SequentialAcceptor acceptor;
    private final Consumer<byte[]> receiver;
    private final BlockingQueue<OutgoingTable> queue = new ArrayBlockingQueue<>(MAX_QUEUED_TABLES);
    private final Counter sent;
    private final Counter received;
    private final Counter failed;

    /**
     * Binds the server socket; {@link #start} begins to receive and send.
     *
     * @param listen   address of the server socket, the same as that of the datagrams
     * @param receiver called with the bytes of each table, always on the same thread
     */
    TableTransfer(InetSocketAddress listen, TransportCounters counters, Consumer<byte[]> receiver) throws IOException {
        this.receiver = receiver;
        sent = counters.counter("tables_sent");
        received = counters.counter("tables_received");
        failed = counters.counter("tables_failed");
        acceptor = new SequentialAcceptor(listen, BACKLOG);
    }

    void start() {
        acceptor.start("peers-tables-in", this::receive, failed::inc);
        Threads.startEssential("peers-tables-out", this::sendQueued);
    }

    /** Queues a table for sending; returns false if the queue is full. */
    boolean offer(InetSocketAddress address, byte[] table) {
        return queue.offer(new OutgoingTable(address, table));
    }

    private void receive(Socket connection) throws IOException {
        byte[] table = readTable(connection);
        received.inc();
        receiver.accept(table);
    }

    private static byte[] readTable(Socket connection) throws IOException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        int length = ByteBuffer.wrap(read(connection, Integer.BYTES, deadline)).getInt();
        if (length < 0 || length > GroupMessageCodec.MAX_TABLE_BYTES) {
            throw new IOException(
                    "table length " + length + " is not between 0 and " + GroupMessageCodec.MAX_TABLE_BYTES + " bytes");
        }
        return read(connection, length, deadline);
    }

    /**
     * Reads {@code length} bytes. The memory grows with the bytes received, not with the length that the sender claims.
     *
     * @param deadline time by {@link System#nanoTime} by which all bytes must have arrived
     */
    private static byte[] read(Socket connection, int length, long deadline) throws IOException {
        var buffer = new ByteArrayOutputStream(Math.min(length, CHUNK_BYTES));
        byte[] chunk = new byte[Math.min(length, CHUNK_BYTES)];
        while (buffer.size() < length) {
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            if (remainingMillis <= 0) {
                throw new SocketTimeoutException("only " + buffer.size() + " of " + length
                        + " bytes of a table received within " + TIMEOUT_MILLIS + " ms");
            }
            connection.setSoTimeout((int) remainingMillis);
            int count = connection.getInputStream().read(chunk, 0, Math.min(chunk.length, length - buffer.size()));
            if (count < 0) {
                throw new EOFException(
                        "connection closed after " + buffer.size() + " of " + length + " bytes of a table");
            }
            buffer.write(chunk, 0, count);
        }
        return buffer.toByteArray();
    }

    private void sendQueued() {
        try {
            while (!acceptor.isClosed()) {
                OutgoingTable next = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (next != null) {
                    send(next);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(OutgoingTable table) {
        var socket = new Socket();
        Thread watchdog = Threads.start("peers-tables-watch", () -> closeAfterTimeout(socket));
        try (socket) {
            socket.connect(table.address, TIMEOUT_MILLIS);
            socket.setSoLinger(true, 0); // closing must not wait for unread bytes
            var out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(table.bytes.length);
            out.write(table.bytes);
            socket.shutdownOutput();
            boolean isRead = socket.getInputStream().read() < 0; // the receiver closes after it has read the table
            (isRead ? sent : failed).inc();
        } catch (IOException e) {
            failed.inc();
        } finally {
            watchdog.interrupt();
        }
    }

    /** Closes the socket after the timeout, unless interrupted. A blocked write has no timeout of its own. */
    private static void closeAfterTimeout(Socket socket) {
        try {
            Thread.sleep(TIMEOUT_MILLIS);
            socket.close();
        } catch (InterruptedException | IOException e) {
            Thread.currentThread().interrupt(); // the table was sent in time, or the socket is closed
        }
    }

    @Override
    public void close() throws IOException {
        acceptor.close();
    }

    /** An encoded table in the queue. */
    private static final class OutgoingTable {
        private final InetSocketAddress address;
        private final byte[] bytes;

        OutgoingTable(InetSocketAddress address, byte[] bytes) {
            this.address = address;
            this.bytes = bytes;
        }
    }
}
