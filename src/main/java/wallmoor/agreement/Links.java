package wallmoor.agreement;

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
import wallmoor.versions.DamagedException;

/**
 * The connections of one process, on one thread: it listens where it is a voter, and dials the voters that something is
 * to be sent to. What can't be sent now is dropped and counted: all that is sent is sent again. A connection shows both
 * ways that it is there, and is given up where nothing comes, so that a half-open one does not last.
 */
final class Links implements AutoCloseable {
    /** What is told of them, on the links' thread; it must not wait. */
    interface Heard {
        void packet(Link from, Packet packet);

        void gone(Link link);
    }

    private static final long BEAT_MILLIS = 400;
    /** Five beats may be lost: less would end connections for a long pause of the collector. */
    private static final long SILENT_MILLIS = 2_400;
    private static final long LEAST_WAIT_MILLIS = 100;
    private static final long MOST_WAIT_MILLIS = 1_000;
    private static final int MOST_LINKS = 2_000;
    /** Frames and bytes that other threads have handed over and that are not on a connection yet. */
    private static final int MOST_HANDED = 4_096;
    private static final long MOST_HANDED_BYTES = 2L * Link.MOST_FRAME;
    private static final int BACKLOG = 128;
    private static final byte[] BEAT = Link.frame(new byte[0]);

    /** A voter that is dialled. */
    private static final class Dial {
        Link link;
        long waitMillis = LEAST_WAIT_MILLIS;
        long notBefore;
    }

    private final Packet.Hello self;
    private final Map<String, InetSocketAddress> voters;
    private final Heard heard;
    private final Consumer<String> warn;
    private final Selector selector;
    private final ServerSocketChannel server;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private final Map<String, Dial> dials = new TreeMap<>();
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
    Links(Packet.Hello self, InetSocketAddress listen, Map<String, InetSocketAddress> voters, Heard heard,
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
            Dial dial = dials.computeIfAbsent(voter, v -> new Dial());
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
    void send(Link link, Packet packet) {
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
    boolean reaches(String voter) {
        return reachable.contains(voter);
    }

    /** For the operators. */
    String counters() {
        return "links " + links.size() + " dropped " + dropped + " malformed " + malformed + " refused " + refused;
    }

    private static byte[] frame(Packet packet) {
        byte[] payload = Packet.write(packet);
        return payload.length > Link.MOST_FRAME ? null : Link.frame(payload);
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
                        serve((Link) key.attachment());
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
        links.forEach(Link::close);
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
            begin(new Link(channel, null, millis()), SelectionKey.OP_READ);
        } catch (IOException e) {
            channel.close();
        }
    }

    private void begin(Link link, int interest) throws IOException {
        link.channel.configureBlocking(false);
        link.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        link.key = link.channel.register(selector, interest, link);
        links.add(link);
        link.offer(Link.frame(Packet.write(self)));
        if (link.channel.isConnected()) {
            write(link);
        }
    }

    private void dial(String voter, Dial dial) {
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
            dial.link = new Link(channel, voter, now);
            begin(dial.link, at ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
        } catch (IOException e) {
            dial.link = null;
            if (channel != null) {
                new Link(channel, voter, now).close();
            }
        }
    }

    private void serve(Link link) {
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

    private void write(Link link) {
        try {
            if (link.channel.isConnected()) {
                boolean all = link.write(millis());
                link.key.interestOps(all ? SelectionKey.OP_READ : SelectionKey.OP_READ | SelectionKey.OP_WRITE);
            }
        } catch (IOException | RuntimeException e) {
            end(link);
        }
    }

    private void take(Link link, byte[] payload) {
        Packet packet;
        try {
            packet = Packet.read(payload);
        } catch (DamagedException e) {
            malformed.incrementAndGet();
            throw new IllegalStateException(e);
        }
        if (link.hello() == null) {
            if (!(packet instanceof Packet.Hello hello) || !greet(link, hello)) {
                refused.incrementAndGet();
                throw new IllegalStateException("it is not one of the group");
            }
            return;
        }
        heard.packet(link, packet);
    }

    /**
     * Whether it may go on: of the same group, who it was dialled as, and of a voter no older process than the last.
     */
    private boolean greet(Link link, Packet.Hello hello) {
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
            if (hello.life() < last) {
                warn.accept(
                        "a process of " + hello.name() + " is older than one that was heard already, and is not heard: "
                                + "where it is not, its clock went back after it lost what it kept; set it");
                return false;
            }
            if (hello.life() > last) {
                lives.put(hello.name(), hello.life());
                links.stream().filter(l -> l.hello() != null && l.hello().name().equals(hello.name()))
                        .forEach(this::end);
            }
        }
        link.hello(hello);
        if (link.dialled != null) {
            reachable.add(link.dialled);
            dials.get(link.dialled).waitMillis = LEAST_WAIT_MILLIS;
        }
        return true;
    }

    private void beat(Link link) {
        long now = millis();
        if (link.silent(now, SILENT_MILLIS)) {
            end(link);
        } else if (now - link.wroteAt >= BEAT_MILLIS && link.channel.isConnected()) {
            link.offer(BEAT);
            write(link);
        }
    }

    private void end(Link link) {
        link.close();
        if (links.remove(link)) {
            Dial dial = link.dialled == null ? null : dials.get(link.dialled);
            if (dial != null && dial.link == link) {
                dial.link = null;
                reachable.remove(link.dialled);
            }
            heard.gone(link);
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
