package wallmoor.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A relay for TCP connections between processes: for each ordered pair of processes it has a port of loopback, at which
 * the first reaches the second. Faults are set while it runs, for each direction of each pair. A single thread relays
 * all links; each direction has a bounded buffer, beyond which its sender waits as with a full window.
 */
public final class TcpRelay implements AutoCloseable {
    /** The buffer of a direction: about a TCP window, so that the sender on a stalled link soon blocks. */
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /** Open links; more are refused. A group of ten processes with three links for each ordered pair has 270. */
    private static final int MAX_LINKS = 512;
    private static final int PIECE_BYTES = 8 * 1024;
    private static final int TASK_TIMEOUT_SECONDS = 10;
    /** The interval at which buffered bytes are checked for being due. */
    private static final int TICK_MILLIS = 2;

    /**
     * A fault of the bytes from one process to another, whichever of them opened the link.
     *
     * @param cut         nothing is read or written; buffered bytes are written once the fault ends, as TCP would
     *                    retransmit. While either direction is cut, a new link is accepted but not connected to its
     *                    target
     * @param stalled     bytes are read, up to the bound, and not written
     * @param delayMillis the delay of each piece
     * @param quietEnds   a close or reset of the sender's end is not relayed: the receiver's end stays half open
     */
    public record Fault(boolean cut, boolean stalled, int delayMillis, boolean quietEnds) {
        public static final Fault NONE = new Fault(false, false, 0, false);
        public static final Fault CUT = new Fault(true, false, 0, false);
        public static final Fault STALLED = new Fault(false, true, 0, false);
        public static final Fault QUIET_ENDS = new Fault(false, false, 0, true);

        /** Returns a fault that only delays bytes. */
        public static Fault late(int millis) {
            return new Fault(false, false, millis, false);
        }
    }

    private record Pair(int from, int to) {}

    private record Piece(ByteBuffer bytes, long due) {}

    /** One direction of a link. */
    private final class Direction {
        final Pair pair;
        final Queue<Piece> buffered = new ArrayDeque<>();
        int bytes;
        /** Whether the sender has closed its end. */
        boolean ended;
        /** Whether the end was relayed to the receiver, or never will be. */
        boolean endRelayed;

        Direction(int from, int to) {
            pair = new Pair(from, to);
        }

        Fault fault() {
            return faults.getOrDefault(pair, Fault.NONE);
        }

        boolean canRead() {
            return !ended && bytes < MAX_BUFFERED_BYTES && !fault().cut();
        }

        boolean isBlocked() {
            return fault().cut() || fault().stalled();
        }
    }

    private final class Link {
        final Direction up;
        final Direction down;
        SocketChannel near;
        SocketChannel far;

        Link(Pair pair, SocketChannel near) {
            up = new Direction(pair.from, pair.to);
            down = new Direction(pair.to, pair.from);
            this.near = near;
        }
    }

    private final InetAddress loopback = InetAddress.getByName("127.0.0.1");
    private final List<Integer> ports;
    private final Selector selector = Selector.open();
    private final Map<Pair, ServerSocketChannel> near = new ConcurrentHashMap<>();
    private final Map<Pair, Fault> faults = new ConcurrentHashMap<>();
    private final Set<Pair> refused = ConcurrentHashMap.newKeySet();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final List<Link> links = new ArrayList<>();
    private final Thread thread;
    private volatile boolean closed;
    /** The number of bytes written to receivers. */
    public final AtomicLong relayedBytes = new AtomicLong();
    /** The number of links that were reset by a fault or refused. */
    public final AtomicLong resetCount = new AtomicLong();

    /** Starts a relay between processes that listen at these ports, now or later; a process is named by its index. */
    public TcpRelay(List<Integer> ports) throws IOException {
        this.ports = List.copyOf(ports);
        for (int from = 0; from < ports.size(); from++) {
            for (int to = 0; to < ports.size(); to++) {
                if (from != to) {
                    var server = ServerSocketChannel.open().bind(new InetSocketAddress(loopback, 0), 64);
                    server.configureBlocking(false);
                    server.register(selector, SelectionKey.OP_ACCEPT, new Pair(from, to));
                    near.put(new Pair(from, to), server);
                }
            }
        }
        thread = new Thread(this::run, "tcp-relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the port at which one process reaches another. */
    public int port(int from, int to) {
        return near.get(new Pair(from, to)).socket().getLocalPort();
    }

    /** Returns the address at which one process reaches another. */
    public String address(int from, int to) {
        return "127.0.0.1:" + port(from, to);
    }

    /** Sets the fault of the bytes from one process to another, on open and new links. */
    public void fault(int from, int to, Fault fault) {
        faults.put(new Pair(from, to), fault);
        selector.wakeup();
    }

    /** Sets whether new links from one process to another are reset at once; open links stay. */
    public void refuse(int from, int to, boolean on) {
        if (on) {
            refused.add(new Pair(from, to));
        } else {
            refused.remove(new Pair(from, to));
        }
    }

    /** Ends all faults; buffered bytes are then written. Links that were reset stay closed. */
    public void heal() {
        refused.clear();
        faults.clear();
        selector.wakeup();
    }

    /** Resets all links between two processes, whichever opened them; returns their number. */
    public int resetLinks(int one, int other) {
        return onLinks(one, other, link -> {
            closeLink(link);
            resetCount.incrementAndGet();
        });
    }

    /**
     * Resets one process' ends of all its links with another, whose ends stay half open; returns the number of links.
     *
     * @param process the process whose ends are reset
     * @param other   the process whose ends stay open
     */
    public int resetOneEnd(int process, int other) {
        return onLinks(process, other, link -> {
            boolean opener = link.up.pair.from == process;
            reset(opener ? link.near : link.far);
            link.near = opener ? null : link.near;
            link.far = opener ? link.far : null;
            (opener ? link.up : link.down).ended = true;
            (opener ? link.up : link.down).endRelayed = true; // is never relayed
            resetCount.incrementAndGet();
        });
    }

    /** Returns the number of open links, half-open ones included. */
    public int links() {
        return callOnRelayThread(links::size);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(TimeUnit.SECONDS.toMillis(TASK_TIMEOUT_SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- on the relay's thread ----------------------------------------------------------------------------

    private int onLinks(int one, int other, java.util.function.Consumer<Link> action) {
        return callOnRelayThread(() -> {
            List<Link> between = links.stream().filter(l -> (l.near != null && l.far != null)
                    && (l.up.pair.equals(new Pair(one, other)) || l.up.pair.equals(new Pair(other, one)))).toList();
            between.forEach(action);
            return between.size();
        });
    }

    private <T> T callOnRelayThread(java.util.function.Supplier<T> work) {
        var done = new CompletableFuture<T>();
        tasks.add(() -> done.complete(work.get()));
        selector.wakeup();
        return done.orTimeout(TASK_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    private void run() {
        try {
            while (!closed) {
                boolean isBuffering = links.stream()
                        .anyMatch(l -> !l.up.buffered.isEmpty() || !l.down.buffered.isEmpty());
                if (isBuffering) {
                    selector.select(TICK_MILLIS);
                } else {
                    selector.select();
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid() && key.isAcceptable()) {
                        accept((ServerSocketChannel) key.channel(), (Pair) key.attachment());
                    }
                }
                selector.selectedKeys().clear();
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                List.copyOf(links).forEach(this::advance);
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e); // the selector failed: the relay can't go on
        } finally {
            List.copyOf(links).forEach(this::closeLink);
            near.values().forEach(TcpRelay::reset);
            reset(selector);
        }
    }

    private void accept(ServerSocketChannel server, Pair pair) throws IOException {
        SocketChannel opener = server.accept();
        if (opener == null) {
            return;
        }
        if (refused.contains(pair) || links.size() >= MAX_LINKS) {
            reset(opener);
            resetCount.incrementAndGet();
            return;
        }
        opener.configureBlocking(false);
        opener.setOption(StandardSocketOptions.TCP_NODELAY, true);
        opener.register(selector, 0);
        links.add(new Link(pair, opener));
    }

    private void advance(Link link) {
        try {
            if (link.far == null && !link.down.ended) {
                if (link.up.fault().cut() || link.down.fault().cut()) {
                    return; // no connection is established
                }
                link.far = SocketChannel.open();
                link.far.configureBlocking(false);
                link.far.setOption(StandardSocketOptions.TCP_NODELAY, true);
                link.far.register(selector, SelectionKey.OP_CONNECT);
                link.far.connect(new InetSocketAddress(loopback, ports.get(link.up.pair.to)));
            }
            if (link.far != null && !link.far.isConnected() && !link.far.finishConnect()) {
                return;
            }
        } catch (IOException e) { // the target does not listen
            closeLink(link);
            return;
        }
        relay(link, link.up, true);
        relay(link, link.down, false);
        if ((link.up.ended && link.up.endRelayed && link.down.ended && link.down.endRelayed)
                || (link.near == null && link.far == null)) {
            closeLink(link);
            return;
        }
        setInterest(link.near, link.up, link.down);
        setInterest(link.far, link.down, link.up);
    }

    /** Reads from the sender and writes to the receiver what the fault of this direction allows. */
    private void relay(Link link, Direction direction, boolean up) {
        long now = System.nanoTime();
        try {
            SocketChannel from = up ? link.near : link.far;
            while (from != null && direction.canRead()) {
                ByteBuffer piece = ByteBuffer.allocate(PIECE_BYTES);
                int read = from.read(piece);
                if (read <= 0) {
                    direction.ended = read < 0;
                    break;
                }
                direction.bytes += read;
                direction.buffered.add(new Piece(piece.flip(),
                        now + TimeUnit.MILLISECONDS.toNanos(direction.fault().delayMillis())));
            }
        } catch (IOException e) {
            handleReset(link, direction, up);
        }
        try {
            SocketChannel to = up ? link.far : link.near;
            while (to != null && !direction.isBlocked() && !direction.buffered.isEmpty()
                    && direction.buffered.peek().due - now <= 0) {
                ByteBuffer piece = direction.buffered.peek().bytes;
                int written = to.write(piece);
                direction.bytes -= written;
                relayedBytes.addAndGet(written);
                if (piece.hasRemaining()) {
                    break;
                }
                direction.buffered.remove();
            }
            if (direction.ended && !direction.endRelayed && direction.buffered.isEmpty() && !direction.isBlocked()
                    && !direction.fault().quietEnds()) {
                direction.endRelayed = true;
                if (to != null) {
                    to.shutdownOutput();
                }
            }
        } catch (IOException e) {
            handleReset(link, up ? link.down : link.up, !up);
        }
    }

    /** Handles an end that was reset or whose process died: resets the other end, or leaves it half open. */
    private void handleReset(Link link, Direction direction, boolean up) {
        if (!direction.fault().quietEnds()) {
            closeLink(link);
            return;
        }
        direction.ended = true;
        direction.endRelayed = true;
        reset(up ? link.near : link.far);
        link.near = up ? null : link.near;
        link.far = up ? link.far : null;
    }

    private void setInterest(SocketChannel end, Direction out, Direction in) {
        SelectionKey key = end == null ? null : end.keyFor(selector);
        if (key != null && key.isValid()) {
            boolean hasDueBytes = !in.buffered.isEmpty() && !in.isBlocked()
                    && in.buffered.peek().due - System.nanoTime() <= 0;
            key.interestOps((out.canRead() ? SelectionKey.OP_READ : 0) | (hasDueBytes ? SelectionKey.OP_WRITE : 0));
        }
    }

    private void closeLink(Link link) {
        links.remove(link);
        reset(link.near);
        reset(link.far);
        link.near = null;
        link.far = null;
    }

    private static void reset(AutoCloseable resource) {
        try {
            if (resource instanceof SocketChannel end && end.isOpen()) {
                end.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
            if (resource != null) {
                resource.close();
            }
        } catch (Exception e) {
            // it is closed already
        }
    }
}
