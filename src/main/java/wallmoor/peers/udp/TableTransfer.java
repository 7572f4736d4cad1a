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
import wallmoor.http.Threads;

/**
 * Transfers tables that no datagram holds: one connection each, a length in four bytes and so many bytes, no answer.
 * One thread takes them one after another and one sends; each has two seconds, so that a member that stalls holds up
 * nobody for longer, and one that can't be reached loses only its own.
 */
final class TableTransfer implements AutoCloseable {
    /** For a complete table, connecting included. */
    private static final int TIMEOUT_MILLIS = 2_000;
    /** Tables that wait to be sent: more are dropped, as the next exchange tells the same. */
    private static final int MAX_WAITING = 16;
    private static final int BACKLOG = 64;
    /** Longest wait for a table to send before it is seen that this end is closed. */
    private static final long POLL_MILLIS = 500;
    private static final int CHUNK_BYTES = 16 * 1024;

    private final SequentialAcceptor acceptor;
    private final Consumer<byte[]> receiver;
    private final BlockingQueue<OutgoingTable> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
    private final Counter sent;
    private final Counter received;
    private final Counter failed;

    /** Listens where the datagrams come to; {@code receiver} gets the bytes of each table, on one thread. */
    TableTransfer(InetSocketAddress listen, TransportCounters counters, Consumer<byte[]> receiver) throws IOException {
        this.receiver = receiver;
        sent = counters.counter("tables_sent");
        received = counters.counter("tables_received");
        failed = counters.counter("tables_failed");
        acceptor = new SequentialAcceptor(listen, BACKLOG);
    }

    void start() {
        acceptor.start("peers-tables-in", this::receive, failed::inc);
        Threads.start("peers-tables-out", this::sendWaiting);
    }

    /** Sends it when its turn comes; false where too many wait. */
    boolean offer(InetSocketAddress to, byte[] table) {
        return waiting.offer(new OutgoingTable(to, table));
    }

    private void receive(Socket from) throws IOException {
        byte[] table = readTable(from);
        received.inc();
        receiver.accept(table);
    }

    private static byte[] readTable(Socket from) throws IOException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        int length = ByteBuffer.wrap(read(from, Integer.BYTES, deadline)).getInt();
        if (length < 0 || length > GroupMessageCodec.MAX_TABLE_BYTES) {
            throw new IOException("a table of " + length + " bytes");
        }
        return read(from, length, deadline);
    }

    /** Reads so many bytes; the memory it takes grows with what comes, not with what is announced. */
    private static byte[] read(Socket from, int length, long deadline) throws IOException {
        var all = new ByteArrayOutputStream(Math.min(length, CHUNK_BYTES));
        byte[] chunk = new byte[Math.min(length, CHUNK_BYTES)];
        while (all.size() < length) {
            long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            if (left <= 0) {
                throw new SocketTimeoutException("a table came too slowly");
            }
            from.setSoTimeout((int) left);
            int count = from.getInputStream().read(chunk, 0, Math.min(chunk.length, length - all.size()));
            if (count < 0) {
                throw new EOFException("a table was cut short");
            }
            all.write(chunk, 0, count);
        }
        return all.toByteArray();
    }

    private void sendWaiting() {
        try {
            while (!acceptor.isClosed()) {
                OutgoingTable next = waiting.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (next != null) {
                    send(next);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(OutgoingTable table) {
        var to = new Socket();
        Thread watchdog = Threads.start("peers-tables-watch", () -> closeLater(to));
        try (to) {
            to.connect(table.to, TIMEOUT_MILLIS);
            to.setSoLinger(true, 0); // closing must not wait for what is not read either
            var out = new DataOutputStream(to.getOutputStream());
            out.writeInt(table.bytes.length);
            out.write(table.bytes);
            to.shutdownOutput();
            boolean isRead = to.getInputStream().read() < 0; // the far end closes once it has all of it
            (isRead ? sent : failed).inc();
        } catch (IOException e) {
            failed.inc();
        } finally {
            watchdog.interrupt();
        }
    }

    /** Gives up what the far end does not read in time: a blocked write knows no timeout of its own. */
    private static void closeLater(Socket socket) {
        try {
            Thread.sleep(TIMEOUT_MILLIS);
            socket.close();
        } catch (InterruptedException | IOException e) {
            Thread.currentThread().interrupt(); // sent in time, or closed already
        }
    }

    @Override
    public void close() throws IOException {
        acceptor.close();
    }

    /** A table that waits to be sent. */
    private static final class OutgoingTable {
        private final InetSocketAddress to;
        private final byte[] bytes;

        OutgoingTable(InetSocketAddress to, byte[] bytes) {
            this.to = to;
            this.bytes = bytes;
        }
    }
}
