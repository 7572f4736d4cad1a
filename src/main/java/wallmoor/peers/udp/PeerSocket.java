package wallmoor.peers.udp;

import com.codahale.metrics.Counter;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import wallmoor.config.Launch;
import wallmoor.http.Threads;
import wallmoor.peers.Decider;
import wallmoor.peers.Evidence;
import wallmoor.peers.Message;
import wallmoor.peers.Peers;
import wallmoor.peers.Rules;
import wallmoor.peers.View;

/**
 * The group's I/O: one datagram socket, a thread that reads it and one that ticks the decider; what no datagram
 * holds goes by {@link Tables}. One lock stands round the
 * decider; what it decides is sent and told after the lock is given back, so that no send and no subscriber holds it
 * up. The kernel's receive buffer is the only queue: what does not fit there is lost, as datagrams may be.
 */
public final class PeerSocket {
    private static final int RECEIVE_BUFFER = 256 * 1024;

    /** Where this member takes part. All of it is checked where it is read. */
    public record Place(String installation, String name, InetSocketAddress listen, String address,
            List<String> seeds) {}

    private record Out(String address, byte[] bytes) {}

    private record Change(View view, String why) {}

    private final DatagramSocket socket;
    private final Tables tables;
    private final Wire wire;
    private final Peers peers;
    private final long tickMillis;
    private final Consumer<String> log;
    private final List<BiConsumer<View, String>> subscribers = new ArrayList<>();
    private final List<Out> out = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    /** Held while changes are handed on, so that subscribers get them in order. */
    private final Object telling = new Object();
    private final Counters counters = new Counters();
    private final Counter received = counters.counter("received");
    private final Counter sent = counters.counter("sent");
    private final Counter bytes = counters.counter("bytes");
    private final Map<Wire.Why, Counter> dropped = new EnumMap<>(Wire.Why.class);
    private volatile boolean closed;

    /** Binds the socket; {@link #start} begins to take part. */
    public PeerSocket(Place place, Rules rules, long seed, Consumer<String> log) throws IOException {
        this.log = log;
        wire = new Wire(place.installation());
        for (Wire.Why why : Wire.Why.values()) {
            dropped.put(why, counters.counter(why.toString().toLowerCase(Locale.ROOT)));
        }
        socket = new DatagramSocket(place.listen());
        tables = new Tables(place.listen(), counters, bytes -> take(bytes, bytes.length, Wire.MOST_TABLE));
        socket.setReceiveBufferSize(RECEIVE_BUFFER);
        tickMillis = Math.max(1, rules.tick() / 1000);
        long boot = System.currentTimeMillis() * 1000 + seed % 1000;
        peers = new Peers(place.name(), place.address(), Math.abs(boot), place.seeds(), rules, seed, new Decided());
        counted("probes", Peers.Counts::probes);
        counted("unanswered", Peers.Counts::probesFailed);
        counted("accusations", Peers.Counts::accusations);
        counted("refutations", Peers.Counts::refutations);
        counted("removals", Peers.Counts::removals);
        counted("stale", Peers.Counts::stale);
    }

    /** Tells of each change of view in order, with its evidence. To be called before {@link #start}. */
    public void subscribe(BiConsumer<View, String> subscriber) {
        subscribers.add(subscriber);
    }

    /** Begins to take part. */
    public void start() {
        decide(() -> peers.onStart(now()));
        tables.start();
        Threads.start("peers-read", this::read);
        Threads.start("peers-tick", this::tick);
    }

    /** Leaves with notice and closes. */
    public void leave() {
        decide(() -> peers.leave(now()));
        closed = true;
        socket.close();
        try {
            tables.close();
        } catch (IOException e) {
            log.accept("peers can't close: " + e);
        }
    }

    /** The view as it is. */
    public View view() {
        synchronized (peers) {
            return peers.view();
        }
    }

    /** Why a member is where it is; null where there is none of this name. */
    public Evidence explain(String member) {
        synchronized (peers) {
            return peers.explain(now(), member);
        }
    }

    private void counted(String name, ToLongFunction<Peers.Counts> count) {
        counters.counted(name, () -> {
            synchronized (peers) {
                return count.applyAsLong(peers.counts());
            }
        });
    }

    /** What came and went since the start, and what was dropped and why, by name. */
    public Map<String, Long> counters() {
        return counters.all();
    }

    /** Microseconds that only go forward: a wall clock that is set moves nothing here. */
    public static long now() {
        return System.nanoTime() / 1000;
    }

    private void tick() {
        try {
            while (!closed) {
                Thread.sleep(tickMillis);
                decide(() -> peers.onTick(now()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void read() {
        byte[] buffer = new byte[2 * Wire.MOST_BYTES];
        while (!closed) {
            try {
                var packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                received.inc();
                take(buffer, packet.getLength(), Wire.MOST_BYTES);
            } catch (IOException e) {
                if (!closed) {
                    log.accept("peers can't read: " + e);
                }
            }
        }
    }

    private void take(byte[] bytes, int length, int most) {
        try {
            Message message = wire.read(bytes, length, most);
            decide(() -> peers.onMessage(now(), message));
        } catch (Wire.Dropped e) {
            dropped.get(e.why).inc();
        }
    }

    private void decide(Runnable event) {
        List<Out> toSend;
        synchronized (peers) {
            try {
                event.run();
            } catch (RuntimeException e) {
                log.accept("peers failed: " + e);
            }
            toSend = List.copyOf(out);
            out.clear();
        }
        toSend.forEach(this::send);
        tell();
    }

    private void tell() {
        synchronized (telling) {
            List<Change> toTell;
            synchronized (peers) {
                toTell = List.copyOf(changes);
                changes.clear();
            }
            toTell.forEach(c -> subscribers.forEach(s -> s.accept(c.view(), c.why())));
        }
    }

    private void send(Out o) {
        try {
            InetSocketAddress to = Launch.address("address", o.address()); // looks no name up, whatever others told
            if (o.bytes().length > Wire.MOST_BYTES) {
                if (!tables.offer(to, o.bytes())) {
                    dropped.get(Wire.Why.UNSENT).inc();
                }
                return;
            }
            socket.send(new DatagramPacket(o.bytes(), o.bytes().length, to));
            sent.inc();
            bytes.inc(o.bytes().length);
        } catch (IOException | RuntimeException e) {
            dropped.get(Wire.Why.UNSENT).inc(); // as good as lost on its way: what others said is no address, say
        }
    }

    private final class Decided implements Decider.Actions {
        @Override
        public void send(String address, Message message) {
            try {
                out.add(new Out(address, wire.write(message)));
            } catch (IOException e) {
                dropped.get(Wire.Why.UNSENT).inc();
            }
        }

        @Override
        public void changed(View view, String why) {
            changes.add(new Change(view, why));
        }
    }
}
