package wallmoor.peers.udp;

import com.codahale.metrics.Counter;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
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
 * Carries tables that no datagram holds: one connection each, a length in four bytes and so many bytes, no answer. One
 * thread takes them one after another and one sends; each has two seconds, so that a member that stalls holds up nobody
 * for longer, and one that can't be reached loses only its own.
 */
final class TableTransfer implements AutoCloseable {
    /** For a whole table, connecting included. */
    private static final int MILLIS = 2_000;
    /** Tables that wait to be sent: more are dropped, as the next exchange tells the same. */
    private static final int WAITING = 16;
    private static final int BACKLOG = 64;
    /** Longest wait for a table to send before it is seen that this end is closed. */
    private static final long LOOK_MILLIS = 500;
    private static final int PIECE = 16 * 1024;

    private record OutgoingTable(InetSocketAddress to, byte[] bytes) {}

    private final SequentialAcceptor server;
    private final Consumer<byte[]> taken;
    private final BlockingQueue<OutgoingTable> waiting = new ArrayBlockingQueue<>(WAITING);
    private final Counter sent;
    private final Counter received;
    private final Counter failed;

    /** Listens where the datagrams come to; {@code taken} gets the bytes of each table, on one thread. */
    TableTransfer(InetSocketAddress listen, TransportCounters counters, Consumer<byte[]> taken) throws IOException {
        this.taken = taken;
        sent = counters.counter("tables_sent");
        received = counters.counter("tables_received");
        failed = counters.counter("tables_failed");
        server = new SequentialAcceptor(listen, BACKLOG);
    }

    void start() {
        server.start("peers-tables-in", this::take, failed::inc);
        Threads.start("peers-tables-out", this::send);
    }

    /** Sends it when its turn comes; false where too many wait. */
    boolean offer(InetSocketAddress to, byte[] bytes) {
        return waiting.offer(new OutgoingTable(to, bytes));
    }

    private void take(Socket from) throws IOException {
        byte[] table = read(from);
        received.inc();
        taken.accept(table);
    }

    private static byte[] read(Socket from) throws IOException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MILLIS);
        int length = ByteBuffer.wrap(read(from, Integer.BYTES, until)).getInt();
        if (length < 0 || length > GroupMessageCodec.MAX_TABLE_BYTES) {
            throw new IOException("a table of " + length + " bytes");
        }
        return read(from, length, until);
    }

    private static byte[] read(Socket from, int length, long until) throws IOException {
        var all = new ByteArrayOutputStream(Math.min(length, PIECE)); // grows with what comes, not with what is said
        byte[] piece = new byte[Math.min(length, PIECE)];
        while (all.size() < length) {
            long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
            if (left <= 0) {
                throw new SocketTimeoutException();
            }
            from.setSoTimeout((int) left);
            int n = from.getInputStream().read(piece, 0, Math.min(piece.length, length - all.size()));
            if (n < 0) {
                throw new IOException("cut short");
            }
            all.write(piece, 0, n);
        }
        return all.toByteArray();
    }

    private void send() {
        try {
            while (!server.isClosed()) {
                OutgoingTable next = waiting.poll(LOOK_MILLIS, TimeUnit.MILLISECONDS);
                if (next != null) {
                    send(next);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What the far end does not read in time is given up by a timer: a blocked write knows no timeout of its own. */
    private void send(OutgoingTable table) {
        var to = new Socket();
        Thread watch = Threads.start("peers-tables-watch", () -> {
            try {
                Thread.sleep(MILLIS);
                to.close();
            } catch (InterruptedException | IOException e) {
                Thread.currentThread().interrupt(); // sent in time, or closed already
            }
        });
        try (to) {
            to.connect(table.to(), MILLIS);
            to.setSoLinger(true, 0); // closing must not wait for what is not read either
            var out = new DataOutputStream(to.getOutputStream());
            out.writeInt(table.bytes().length);
            out.write(table.bytes());
            to.shutdownOutput();
            boolean read = to.getInputStream().read() < 0; // the far end closes once it has all of it
            (read ? sent : failed).inc();
        } catch (IOException e) {
            failed.inc();
        } finally {
            watch.interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
