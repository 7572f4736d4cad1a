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
import wallmoor.config.LaunchConfig;
import wallmoor.http.Threads;
import wallmoor.peers.GroupMembership;
import wallmoor.peers.GroupMessage;
import wallmoor.peers.GroupView;
import wallmoor.peers.MemberEvidence;
import wallmoor.peers.MembershipParameters;
import wallmoor.peers.MembershipProtocol;

/**
 * The group's I/O: one datagram socket, a thread that reads it and one that ticks the decider; what no datagram
 * holds goes by {@link TableTransfer}. One lock stands round the
 * decider; what it decides is sent and told after the lock is given back, so that no send and no subscriber holds it
 * up. The kernel's receive buffer is the only queue: what does not fit there is lost, as datagrams may be.
 */
public final class GroupTransport {
    private static final int RECEIVE_BUFFER = 256 * 1024;

    /** Where this member takes part. All of it is checked where it is read. */
    public record LocalMember(String installation, String name, InetSocketAddress listen, String address,
            List<String> seeds) {}

    private record OutgoingDatagram(String address, byte[] bytes) {}

    private record ViewChange(GroupView view, String why) {}

    private final DatagramSocket socket;
    private final TableTransfer tables;
    private final GroupMessageCodec wire;
    private final GroupMembership peers;
    private final long tickMillis;
    private final Consumer<String> log;
    private final List<BiConsumer<GroupView, String>> subscribers = new ArrayList<>();
    private final List<OutgoingDatagram> out = new ArrayList<>();
    private final List<ViewChange> changes = new ArrayList<>();
    /** Held while changes are handed on, so that subscribers get them in order. */
    private final Object telling = new Object();
    private final TransportCounters counters = new TransportCounters();
    private final Counter received = counters.counter("received");
    private final Counter sent = counters.counter("sent");
    private final Counter bytes = counters.counter("bytes");
    private final Map<GroupMessageCodec.DropReason, Counter> dropped = new EnumMap<>(
            GroupMessageCodec.DropReason.class);
    private volatile boolean closed;

    /** Binds the socket; {@link #start} begins to take part. */
    public GroupTransport(LocalMember place, MembershipParameters rules, long seed, Consumer<String> log)
            throws IOException {
        this.log = log;
        wire = new GroupMessageCodec(place.installation());
        for (GroupMessageCodec.DropReason why : GroupMessageCodec.DropReason.values()) {
            dropped.put(why, counters.counter(why.toString().toLowerCase(Locale.ROOT)));
        }
        socket = new DatagramSocket(place.listen());
        tables = new TableTransfer(place.listen(), counters,
                bytes -> take(bytes, bytes.length, GroupMessageCodec.MAX_TABLE_BYTES));
        socket.setReceiveBufferSize(RECEIVE_BUFFER);
        tickMillis = Math.max(1, rules.tickInterval() / 1000);
        long boot = System.currentTimeMillis() * 1000 + seed % 1000;
        peers = new GroupMembership(place.name(), place.address(), Math.abs(boot), place.seeds(), rules, seed,
                new TransportOutput());
        counted("probes", GroupMembership.MembershipCounts::probes);
        counted("unanswered", GroupMembership.MembershipCounts::unansweredProbes);
        counted("accusations", GroupMembership.MembershipCounts::suspicions);
        counted("refutations", GroupMembership.MembershipCounts::refutations);
        counted("removals", GroupMembership.MembershipCounts::removals);
        counted("stale", GroupMembership.MembershipCounts::staleMessages);
    }

    /** Tells of each change of view in order, with its evidence. To be called before {@link #start}. */
    public void subscribe(BiConsumer<GroupView, String> subscriber) {
        subscribers.add(subscriber);
    }

    /** Begins to take part. */
    public void start() {
        decide(() -> peers.onStart(nowMicros()));
        tables.start();
        Threads.start("peers-read", this::read);
        Threads.start("peers-tick", this::tick);
    }

    /** Leaves with notice and closes. */
    public void leave() {
        decide(() -> peers.leave(nowMicros()));
        closed = true;
        socket.close();
        try {
            tables.close();
        } catch (IOException e) {
            log.accept("peers can't close: " + e);
        }
    }

    /** The view as it is. */
    public GroupView view() {
        synchronized (peers) {
            return peers.view();
        }
    }

    /** Why a member is where it is; null where there is none of this name. */
    public MemberEvidence explain(String member) {
        synchronized (peers) {
            return peers.explain(nowMicros(), member);
        }
    }

    private void counted(String name, ToLongFunction<GroupMembership.MembershipCounts> count) {
        counters.gauge(name, () -> {
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
    public static long nowMicros() {
        return System.nanoTime() / 1000;
    }

    private void tick() {
        try {
            while (!closed) {
                Thread.sleep(tickMillis);
                decide(() -> peers.onTick(nowMicros()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void read() {
        byte[] buffer = new byte[2 * GroupMessageCodec.MAX_DATAGRAM_BYTES];
        while (!closed) {
            try {
                var packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                received.inc();
                take(buffer, packet.getLength(), GroupMessageCodec.MAX_DATAGRAM_BYTES);
            } catch (IOException e) {
                if (!closed) {
                    log.accept("peers can't read: " + e);
                }
            }
        }
    }

    private void take(byte[] bytes, int length, int most) {
        try {
            GroupMessage message = wire.decode(bytes, length, most);
            decide(() -> peers.onMessage(nowMicros(), message));
        } catch (GroupMessageCodec.DroppedMessageException e) {
            dropped.get(e.reason).inc();
        }
    }

    private void decide(Runnable event) {
        List<OutgoingDatagram> toSend;
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
            List<ViewChange> toTell;
            synchronized (peers) {
                toTell = List.copyOf(changes);
                changes.clear();
            }
            toTell.forEach(c -> subscribers.forEach(s -> s.accept(c.view(), c.why())));
        }
    }

    private void send(OutgoingDatagram o) {
        try {
            // looks no name up, whatever others told
            InetSocketAddress to = LaunchConfig.address("address", o.address());
            if (o.bytes().length > GroupMessageCodec.MAX_DATAGRAM_BYTES) {
                if (!tables.offer(to, o.bytes())) {
                    dropped.get(GroupMessageCodec.DropReason.UNSENT).inc();
                }
                return;
            }
            socket.send(new DatagramPacket(o.bytes(), o.bytes().length, to));
            sent.inc();
            bytes.inc(o.bytes().length);
        } catch (IOException | RuntimeException e) {
            // as good as lost on its way: what others said is no address, say
            dropped.get(GroupMessageCodec.DropReason.UNSENT).inc();
        }
    }

    private final class TransportOutput implements MembershipProtocol.Output {
        @Override
        public void send(String address, GroupMessage message) {
            try {
                out.add(new OutgoingDatagram(address, wire.encode(message)));
            } catch (IOException e) {
                dropped.get(GroupMessageCodec.DropReason.UNSENT).inc();
            }
        }

        @Override
        public void viewChanged(GroupView view, String why) {
            changes.add(new ViewChange(view, why));
        }
    }
}
