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
 * The network for connections between processes: for each ordered pair a port of loopback, at which the one reaches the
 * other. Faults are set while it runs, for each way of each pair apart. One thread does it all; what a way holds is
 * bounded, and beyond that its sender waits as it would with a full window.
 */
public final class TcpRelay implements AutoCloseable {
    /** Bytes held on a way: about a window, so that a sender can't take a stalled link for one that is read. */
    private static final int MOST_HELD = 64 * 1024;
    /** Links at once; more are refused. A group of ten with three links for each pair has 270. */
    private static final int MOST_LINKS = 512;
    private static final int PIECE = 8 * 1024;
    private static final int CONTROL_SECONDS = 10;
    /** What is late goes on within this. */
    private static final int TICK_MILLIS = 2;

    /**
     * What befalls bytes from one process to another, whichever of them opened the link.
     *
     * @param cut         nothing is taken or passed on; what is held goes on once it is over, as TCP sends again. While
     *                    either way is cut no link comes about: it is accepted, and reaches nobody
     * @param stalled     bytes are taken, up to the bound, and not passed on
     * @param delayMillis each piece is held back for so long
     * @param quietEnds   that the sender closed, was reset or died is not told: the other's end stays half open
     */
    public record Fault(boolean cut, boolean stalled, int delayMillis, boolean quietEnds) {
        public static final Fault NONE = new Fault(false, false, 0, false);
        public static final Fault CUT = new Fault(true, false, 0, false);
        public static final Fault STALLED = new Fault(false, true, 0, false);
        public static final Fault QUIET_ENDS = new Fault(false, false, 0, true);

        /** Only late. */
        public static Fault late(int millis) {
            return new Fault(false, false, millis, false);
        }
    }

    private record Pair(int from, int to) {}

    private record Piece(ByteBuffer bytes, long due) {}

    /** One way of a link. */
    private final class Way {
        final Pair pair;
        final Queue<Piece> held = new ArrayDeque<>();
        int bytes;
        boolean ended;
        boolean told;

        Way(int from, int to) {
            pair = new Pair(from, to);
        }

        Fault fault() {
            return faults.getOrDefault(pair, Fault.NONE);
        }

        boolean wantsRead() {
            return !ended && bytes < MOST_HELD && !fault().cut();
        }

        boolean isHeldUp() {
            return fault().cut() || fault().stalled();
        }
    }

    private final class Link {
        final Way up;
        final Way down;
        SocketChannel near;
        SocketChannel far;

        Link(Pair pair, SocketChannel near) {
            up = new Way(pair.from, pair.to);
            down = new Way(pair.to, pair.from);
            this.near = near;
        }
    }

    private final InetAddress loopback = InetAddress.getByName("127.0.0.1");
    private final List<Integer> ports;
    private final Selector selector = Selector.open();
    private final Map<Pair, ServerSocketChannel> near = new ConcurrentHashMap<>();
    private final Map<Pair, Fault> faults = new ConcurrentHashMap<>();
    private final Set<Pair> refused = ConcurrentHashMap.newKeySet();
    private final Queue<Runnable> asked = new ConcurrentLinkedQueue<>();
    private final List<Link> links = new ArrayList<>();
    private final Thread thread;
    private volatile boolean closed;
    /** Bytes passed on, and links that were reset by a fault or refused. */
    public final AtomicLong passed = new AtomicLong();
    public final AtomicLong lost = new AtomicLong();

    /** A relay between processes that listen, or will, at these ports; a process is named by its place among them. */
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
        thread = new Thread(this::work, "tcp-relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** The port at which one process reaches another. */
    public int port(int from, int to) {
        return near.get(new Pair(from, to)).socket().getLocalPort();
    }

    /** The address at which one process reaches another. */
    public String address(int from, int to) {
        return "127.0.0.1:" + port(from, to);
    }

    /** Sets what befalls bytes from one to another from now on, on links that are open as well. */
    public void fault(int from, int to, Fault fault) {
        faults.put(new Pair(from, to), fault);
        selector.wakeup();
    }

    /** Whether new links that the one opens to the other are reset at once; those that are open stay. */
    public void refuse(int from, int to, boolean on) {
        if (on) {
            refused.add(new Pair(from, to));
        } else {
            refused.remove(new Pair(from, to));
        }
    }

    /** Ends all faults; what was held goes on. Links that were lost stay lost. */
    public void heal() {
        refused.clear();
        faults.clear();
        selector.wakeup();
    }

    /** Resets all links between two processes, whoever opened them; returns their number. */
    public int resetLinks(int one, int other) {
        return onLinks(one, other, link -> {
            drop(link);
            lost.incrementAndGet();
        });
    }

    /**
     * Resets the end of {@code told} of all its links with another, which hears nothing of it; returns their number.
     */
    public int resetOneEnd(int told, int untold) {
        return onLinks(told, untold, link -> {
            boolean opener = link.up.pair.from == told;
            reset(opener ? link.near : link.far);
            link.near = opener ? null : link.near;
            link.far = opener ? link.far : null;
            (opener ? link.up : link.down).ended = true;
            (opener ? link.up : link.down).told = true; // never to be told
            lost.incrementAndGet();
        });
    }

    /** Links that are open now. */
    public int links() {
        return call(links::size);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(TimeUnit.SECONDS.toMillis(CONTROL_SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- on the relay's thread ----------------------------------------------------------------------------

    private int onLinks(int one, int other, java.util.function.Consumer<Link> act) {
        return call(() -> {
            List<Link> between = links.stream().filter(l -> (l.near != null && l.far != null)
                    && (l.up.pair.equals(new Pair(one, other)) || l.up.pair.equals(new Pair(other, one)))).toList();
            between.forEach(act);
            return between.size();
        });
    }

    private <T> T call(java.util.function.Supplier<T> work) {
        var done = new CompletableFuture<T>();
        asked.add(() -> done.complete(work.get()));
        selector.wakeup();
        return done.orTimeout(CONTROL_SECONDS, TimeUnit.SECONDS).join();
    }

    private void work() {
        try {
            while (!closed) {
                boolean late = links.stream().anyMatch(l -> !l.up.held.isEmpty() || !l.down.held.isEmpty());
                if (late) {
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
                for (Runnable work = asked.poll(); work != null; work = asked.poll()) {
                    work.run();
                }
                List.copyOf(links).forEach(this::step);
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e); // of the selector itself: a test must see it
        } finally {
            List.copyOf(links).forEach(this::drop);
            near.values().forEach(TcpRelay::reset);
            reset(selector);
        }
    }

    private void accept(ServerSocketChannel server, Pair pair) throws IOException {
        SocketChannel opener = server.accept();
        if (opener == null) {
            return;
        }
        if (refused.contains(pair) || links.size() >= MOST_LINKS) {
            reset(opener);
            lost.incrementAndGet();
            return;
        }
        opener.configureBlocking(false);
        opener.setOption(StandardSocketOptions.TCP_NODELAY, true);
        opener.register(selector, 0);
        links.add(new Link(pair, opener));
    }

    private void step(Link link) {
        try {
            if (link.far == null && !link.down.ended) {
                if (link.up.fault().cut() || link.down.fault().cut()) {
                    return; // no handshake gets through
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
        } catch (IOException e) { // nobody listens there
            drop(link);
            return;
        }
        pass(link, link.up, true);
        pass(link, link.down, false);
        if ((link.up.ended && link.up.told && link.down.ended && link.down.told)
                || (link.near == null && link.far == null)) {
            drop(link);
            return;
        }
        watch(link.near, link.up, link.down);
        watch(link.far, link.down, link.up);
    }

    /** Reads of its sender and writes to its receiver what may go on. */
    private void pass(Link link, Way way, boolean up) {
        long now = System.nanoTime();
        try {
            SocketChannel from = up ? link.near : link.far;
            while (from != null && way.wantsRead()) {
                ByteBuffer piece = ByteBuffer.allocate(PIECE);
                int read = from.read(piece);
                if (read <= 0) {
                    way.ended = read < 0;
                    break;
                }
                way.bytes += read;
                way.held.add(new Piece(piece.flip(), now + TimeUnit.MILLISECONDS.toNanos(way.fault().delayMillis())));
            }
        } catch (IOException e) {
            ended(link, way, up);
        }
        try {
            SocketChannel to = up ? link.far : link.near;
            while (to != null && !way.isHeldUp() && !way.held.isEmpty() && way.held.peek().due - now <= 0) {
                ByteBuffer piece = way.held.peek().bytes;
                int wrote = to.write(piece);
                way.bytes -= wrote;
                passed.addAndGet(wrote);
                if (piece.hasRemaining()) {
                    break;
                }
                way.held.remove();
            }
            if (way.ended && !way.told && way.held.isEmpty() && !way.isHeldUp() && !way.fault().quietEnds()) {
                way.told = true;
                if (to != null) {
                    to.shutdownOutput();
                }
            }
        } catch (IOException e) {
            ended(link, up ? link.down : link.up, !up);
        }
    }

    /** An end was reset, or its process died: the other is reset too, or hears nothing. */
    private void ended(Link link, Way way, boolean up) {
        if (!way.fault().quietEnds()) {
            drop(link);
            return;
        }
        way.ended = true;
        way.told = true;
        reset(up ? link.near : link.far);
        link.near = up ? null : link.near;
        link.far = up ? link.far : null;
    }

    private void watch(SocketChannel end, Way out, Way in) {
        SelectionKey key = end == null ? null : end.keyFor(selector);
        if (key != null && key.isValid()) {
            boolean full = !in.held.isEmpty() && !in.isHeldUp() && in.held.peek().due - System.nanoTime() <= 0;
            key.interestOps((out.wantsRead() ? SelectionKey.OP_READ : 0) | (full ? SelectionKey.OP_WRITE : 0));
        }
    }

    private void drop(Link link) {
        links.remove(link);
        reset(link.near);
        reset(link.far);
        link.near = null;
        link.far = null;
    }

    private static void reset(AutoCloseable what) {
        try {
            if (what instanceof SocketChannel end && end.isOpen()) {
                end.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
            if (what != null) {
                what.close();
            }
        } catch (Exception e) {
            // it was gone already
        }
    }
}
