package wallmoor.consensus;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import wallmoor.http.Threads;
import wallmoor.rules.CorruptDataException;

/**
 * The connections of one process, on one thread: it listens where it is a voter, and dials the voters that something is
 * to be sent to. What can't be sent now is dropped and counted: all that is sent is sent again. A connection shows both
 * ways that it is there, and is given up where nothing comes, so that a half-open one does not last.
 */
final class TcpTransport implements AutoCloseable {
    /** What is told of them, on the links' thread; it must not wait. */
    interface PacketListener {
        void onPacket(FramedConnection from, Packet packet);

        void onDisconnect(FramedConnection link);
    }

    private static final long BEAT_MILLIS = 400;
    /** Five beats may be lost: less would end connections for a long pause of the collector. */
    private static final long SILENT_MILLIS = 2_400;
    private static final long LEAST_WAIT_MILLIS = 100;
    private static final long MOST_WAIT_MILLIS = 1_000;
    private static final int MOST_LINKS = 2_000;
    /** Frames and bytes that other threads have handed over and that are not on a connection yet. */
    private static final int MOST_HANDED = 4_096;
    private static final long MOST_HANDED_BYTES = 2L * FramedConnection.MOST_FRAME;
    private static final int BACKLOG = 128;
    private static final byte[] BEAT = FramedConnection.frame(new byte[0]);

    /** A voter that is dialled. */
    private static final class OutboundConnection {
        FramedConnection link;
        long waitMillis = LEAST_WAIT_MILLIS;
        long notBefore;
    }

    private final Packet.Handshake self;
    private final Map<String, InetSocketAddress> voters;
    private final PacketListener heard;
    private final Consumer<String> warn;
    private final Selector selector;
    private final ServerSocketChannel server;
    private final Set<FramedConnection> links = ConcurrentHashMap.newKeySet();
    private final Map<String, OutboundConnection> dials = new TreeMap<>();
    private final Map<String, Long> lives = new HashMap<>();
    private final Queue<Runnable> handed = new ConcurrentLinkedQueue<>();
    private final AtomicInteger handedCount = new AtomicInteger();
    private final AtomicLong handedBytes = new AtomicLong();
    private final Set<String> reachable = ConcurrentHashMap.newKeySet();
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong malformed = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private volatile boolean closed;

    /** Listens where {@code listen} is not null; {@link #start} begins to take and to dial. */
    TcpTransport(Packet.Handshake self, InetSocketAddress listen, Map<String, InetSocketAddress> voters,
            PacketListener heard,
            Consumer<String> warn) throws IOException {
        this.self = self;
        this.voters = voters;
        this.heard = heard;
        this.warn = warn;
        selector = Selector.open();
        server = listen == null ? null : ServerSocketChannel.open();
        if (server != null) {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(listen, BACKLOG);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
        }
    }

    void start() {
        Threads.start("rules-links", this::run);
    }

    /** Sends to a voter, over a connection that is dialled where there is none. Any thread. */
    void send(String voter, Packet packet) {
        byte[] frame = frame(packet);
        hand(frame, () -> {
            OutboundConnection dial = dials.computeIfAbsent(voter, v -> new OutboundConnection());
            if (dial.link == null || dial.link.key == null) {
                dial(voter, dial);
            }
            if (dial.link == null || !dial.link.offer(frame)) {
                dropped.incrementAndGet();
            } else {
                write(dial.link);
            }
        });
    }

    /** Sends over a connection that something came from. Any thread. */
    void send(FramedConnection link, Packet packet) {
        byte[] frame = frame(packet);
        hand(frame, () -> {
            if (!links.contains(link) || !link.offer(frame)) {
                dropped.incrementAndGet();
            } else {
                write(link);
            }
        });
    }

    /** Whether there is a connection to a voter over which something came of late. Any thread. */
    boolean isReachable(String voter) {
        return reachable.contains(voter);
    }

    /** For the operators. */
    String counters() {
        return "links " + links.size() + " dropped " + dropped + " malformed " + malformed + " refused " + refused;
    }

    private static byte[] frame(Packet packet) {
        byte[] payload = Packet.encode(packet);
        return payload.length > FramedConnection.MOST_FRAME ? null : FramedConnection.frame(payload);
    }

    private void hand(byte[] frame, Runnable task) {
        if (frame == null || handedCount.get() >= MOST_HANDED || handedBytes.get() > MOST_HANDED_BYTES) {
            dropped.incrementAndGet();
            return;
        }
        handedCount.incrementAndGet();
        handedBytes.addAndGet(frame.length);
        handed.add(() -> {
            handedCount.decrementAndGet();
            handedBytes.addAndGet(-frame.length);
            task.run();
        });
        selector.wakeup();
    }

    private static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void run() {
        long beatAt = millis();
        while (!closed) {
            try {
                selector.select(BEAT_MILLIS / 4);
                for (Iterator<SelectionKey> keys = selector.selectedKeys().iterator(); keys.hasNext();) {
                    SelectionKey key = keys.next();
                    keys.remove();
                    if (key.isValid() && key.isAcceptable()) {
                        accept();
                    } else if (key.isValid()) {
                        serve((FramedConnection) key.attachment());
                    }
                }
                for (Runnable task = handed.poll(); task != null; task = handed.poll()) {
                    task.run();
                }
                if (millis() - beatAt >= BEAT_MILLIS / 2) {
                    beatAt = millis();
                    links.forEach(this::beat);
                }
            } catch (IOException e) {
                warn.accept("the links' selector: " + e);
            }
        }
        links.forEach(FramedConnection::close);
        try {
            selector.close();
        } catch (IOException e) {
            // it is closed either way
        }
    }

    private void accept() throws IOException {
        SocketChannel channel = server.accept();
        if (channel == null) {
            return;
        }
        if (links.size() >= MOST_LINKS) {
            refused.incrementAndGet();
            channel.close();
            return;
        }
        try {
            begin(new FramedConnection(channel, null, millis()), SelectionKey.OP_READ);
        } catch (IOException e) {
            channel.close();
        }
    }

    private void begin(FramedConnection link, int interest) throws IOException {
        link.channel.configureBlocking(false);
        link.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        link.key = link.channel.register(selector, interest, link);
        links.add(link);
        link.offer(FramedConnection.frame(Packet.encode(self)));
        if (link.channel.isConnected()) {
            write(link);
        }
    }

    private void dial(String voter, OutboundConnection dial) {
        long now = millis();
        InetSocketAddress to = voters.get(voter);
        if (to == null || now < dial.notBefore) {
            return;
        }
        dial.notBefore = now + dial.waitMillis;
        dial.waitMillis = Math.min(2 * dial.waitMillis, MOST_WAIT_MILLIS);
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            boolean at = channel.connect(to);
            dial.link = new FramedConnection(channel, voter, now);
            begin(dial.link, at ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
        } catch (IOException e) {
            dial.link = null;
            if (channel != null) {
                new FramedConnection(channel, voter, now).close();
            }
        }
    }

    private void serve(FramedConnection link) {
        try {
            if (link.key.isConnectable() && link.channel.finishConnect()) {
                link.key.interestOps(SelectionKey.OP_READ);
                write(link);
            }
            if (link.key.isValid() && link.key.isReadable()) {
                link.read(millis(), payload -> take(link, payload));
            }
            if (link.key.isValid() && link.key.isWritable()) {
                write(link);
            }
        } catch (IOException | RuntimeException e) {
            end(link);
        }
    }

    private void write(FramedConnection link) {
        try {
            if (link.channel.isConnected()) {
                boolean all = link.write(millis());
                link.key.interestOps(all ? SelectionKey.OP_READ : SelectionKey.OP_READ | SelectionKey.OP_WRITE);
            }
        } catch (IOException | RuntimeException e) {
            end(link);
        }
    }

    private void take(FramedConnection link, byte[] payload) {
        Packet packet;
        try {
            packet = Packet.decode(payload);
        } catch (CorruptDataException e) {
            malformed.incrementAndGet();
            throw new IllegalStateException(e);
        }
        if (link.peer() == null) {
            if (!(packet instanceof Packet.Handshake hello) || !greet(link, hello)) {
                refused.incrementAndGet();
                throw new IllegalStateException("it is not one of the group");
            }
            return;
        }
        heard.onPacket(link, packet);
    }

    /**
     * Whether it may go on: of the same group, who it was dialled as, and of a voter no older process than the last.
     */
    private boolean greet(FramedConnection link, Packet.Handshake hello) {
        if (!hello.group().equals(self.group())) {
            warn.accept(hello.name() + " has other voters or another term: " + hello.group() + "; here " + self.group()
                    + ": set rules.voters and rules.term the same everywhere");
            return false;
        }
        if (link.dialled != null && !link.dialled.equals(hello.name())) {
            warn.accept("at " + link.dialled + "'s address answers " + hello.name() + ": correct rules.voters");
            return false;
        }
        if (voters.containsKey(hello.name())) {
            long last = lives.getOrDefault(hello.name(), Long.MIN_VALUE);
            if (hello.incarnation() < last) {
                warn.accept(
                        "a process of " + hello.name() + " is older than one that was heard already, and is not heard: "
                                + "where it is not, its clock went back after it lost what it kept; set it");
                return false;
            }
            if (hello.incarnation() > last) {
                lives.put(hello.name(), hello.incarnation());
                links.stream().filter(l -> l.peer() != null && l.peer().name().equals(hello.name()))
                        .forEach(this::end);
            }
        }
        link.peer(hello);
        if (link.dialled != null) {
            reachable.add(link.dialled);
            dials.get(link.dialled).waitMillis = LEAST_WAIT_MILLIS;
        }
        return true;
    }

    private void beat(FramedConnection link) {
        long now = millis();
        if (link.isSilent(now, SILENT_MILLIS)) {
            end(link);
        } else if (now - link.wroteAt >= BEAT_MILLIS && link.channel.isConnected()) {
            link.offer(BEAT);
            write(link);
        }
    }

    private void end(FramedConnection link) {
        link.close();
        if (links.remove(link)) {
            OutboundConnection dial = link.dialled == null ? null : dials.get(link.dialled);
            if (dial != null && dial.link == link) {
                dial.link = null;
                reachable.remove(link.dialled);
            }
            heard.onDisconnect(link);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        if (server != null) {
            server.close();
        }
    }
}
