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
import java.util.function.ToLongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.LaunchConfig;
import wallmoor.http.Threads;
import wallmoor.peers.GroupMembership;
import wallmoor.peers.GroupMessage;
import wallmoor.peers.GroupView;
import wallmoor.peers.MemberEvidence;
import wallmoor.peers.MembershipCounts;
import wallmoor.peers.MembershipParameters;
import wallmoor.peers.MembershipProtocol;

/**
 * The group's I/O: one datagram socket, a thread that reads it and one that ticks the protocol; what no datagram
 * holds goes by {@link TableTransfer}. One lock stands round the protocol; its messages and changes of view go out
 * after the lock is given back, so that no send and no subscriber holds it up. The kernel's receive buffer is the
 * only queue: what does not fit there is lost, as datagrams may be.
 */
public final class GroupTransport {
    private static final Logger LOG = LoggerFactory.getLogger(GroupTransport.class);
    private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Where this member takes part. All of it is checked where it is read. */
    public record LocalMember(String installation, String name, InetSocketAddress listen, String address,
            List<String> seeds) {}

    private record ViewChange(GroupView view, String why) {}

    private final DatagramSocket socket;
    private final TableTransfer tables;
    private final GroupMessageCodec codec;
    /** Guards itself and all that its events give. */
    private final GroupMembership membership;
    private final long tickMillis;
    private final List<BiConsumer<GroupView, String>> subscribers = new ArrayList<>();
    private final List<OutgoingMessage> outgoing = new ArrayList<>();
    private final List<ViewChange> changes = new ArrayList<>();
    /** Held while changes are handed on, so that subscribers get them in order. */
    private final Object notifying = new Object();
    private final TransportCounters counters = new TransportCounters();
    private final Counter received = counters.counter("received");
    private final Counter sent = counters.counter("sent");
    private final Counter sentBytes = counters.counter("bytes");
    private final Map<DropReason, Counter> dropped = new EnumMap<>(DropReason.class);
    private volatile boolean closed;

    /**
     * Binds the socket; {@link #start} begins to take part.
     *
     * @throws IOException where the address can't be bound
     */
    public GroupTransport(LocalMember local, MembershipParameters parameters, long seed) throws IOException {
        codec = new GroupMessageCodec(local.installation());
        for (DropReason reason : DropReason.values()) {
            dropped.put(reason, counters.counter(reason.toString().toLowerCase(Locale.ROOT)));
        }
        socket = new DatagramSocket(local.listen());
        tables = new TableTransfer(local.listen(), counters,
                table -> receive(table, table.length, GroupMessageCodec.MAX_TABLE_BYTES));
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        tickMillis = Math.max(1, parameters.tickInterval() / MICROS_PER_MILLI);
        long bootId = System.currentTimeMillis() * MICROS_PER_MILLI + seed % MICROS_PER_MILLI;
        membership = new GroupMembership(local.name(), local.address(), Math.abs(bootId), local.seeds(), parameters,
                seed, new ProtocolOutput());
        gauge("probes", MembershipCounts::probes);
        gauge("unanswered", MembershipCounts::unansweredProbes);
        gauge("accusations", MembershipCounts::suspicions);
        gauge("refutations", MembershipCounts::refutations);
        gauge("removals", MembershipCounts::removals);
        gauge("stale", MembershipCounts::staleMessages);
    }

    /** Notifies of each change of view in order, with its evidence. To be called before {@link #start}. */
    public void subscribe(BiConsumer<GroupView, String> subscriber) {
        subscribers.add(subscriber);
    }

    /** Begins to take part. */
    public void start() {
        handle(() -> membership.onStart(nowMicros()));
        tables.start();
        Threads.start("peers-read", this::readDatagrams);
        Threads.start("peers-tick", this::tick);
    }

    /** Leaves with notice and closes. */
    public void leave() {
        handle(() -> membership.leave(nowMicros()));
        closed = true;
        socket.close();
        try {
            tables.close();
        } catch (IOException e) {
            LOG.warn("peers can't close: {}", e.toString());
        }
    }

    /** The view as it is. */
    public GroupView view() {
        synchronized (membership) {
            return membership.view();
        }
    }

    /** Why a member is in its state; null where there is none of this name. */
    public MemberEvidence explain(String member) {
        synchronized (membership) {
            return membership.explain(nowMicros(), member);
        }
    }

    private void gauge(String name, ToLongFunction<MembershipCounts> count) {
        counters.gauge(name, () -> {
            synchronized (membership) {
                return count.applyAsLong(membership.counts());
            }
        });
    }

    /** What came and went since the start, and what was dropped and why, by name. */
    public Map<String, Long> counters() {
        return counters.all();
    }

    /** Microseconds that only go forward: a wall clock that is set moves nothing here. */
    public static long nowMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    private void tick() {
        try {
            while (!closed) {
                Thread.sleep(tickMillis);
                handle(() -> membership.onTick(nowMicros()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readDatagrams() {
        byte[] buffer = new byte[2 * GroupMessageCodec.MAX_DATAGRAM_BYTES];
        while (!closed) {
            try {
                var packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                received.inc();
                receive(buffer, packet.getLength(), GroupMessageCodec.MAX_DATAGRAM_BYTES);
            } catch (IOException e) {
                if (!closed) {
                    LOG.warn("peers can't read: {}", e.toString());
                }
            }
        }
    }

    private void receive(byte[] bytes, int length, int most) {
        try {
            GroupMessage message = codec.decode(bytes, length, most);
            handle(() -> membership.onMessage(nowMicros(), message));
        } catch (DroppedMessageException e) {
            dropped.get(e.reason()).inc();
        }
    }

    /** Runs one event of the protocol under its lock, then sends and tells what came of it. */
    private void handle(Runnable event) {
        List<OutgoingMessage> toSend;
        synchronized (membership) {
            try {
                event.run();
            } catch (RuntimeException e) { // one message must not end the thread that all others come by
                LOG.warn("peers failed: {}", e.toString());
            }
            toSend = List.copyOf(outgoing);
            outgoing.clear();
        }
        toSend.forEach(this::send);
        notifySubscribers();
    }

    private void notifySubscribers() {
        synchronized (notifying) {
            List<ViewChange> toTell;
            synchronized (membership) {
                toTell = List.copyOf(changes);
                changes.clear();
            }
            toTell.forEach(change -> subscribers.forEach(s -> s.accept(change.view(), change.why())));
        }
    }

    private void send(OutgoingMessage message) {
        try {
            // looks no name up, whatever others told
            InetSocketAddress to = LaunchConfig.address("address", message.address());
            byte[] bytes = message.bytes();
            if (bytes.length > GroupMessageCodec.MAX_DATAGRAM_BYTES) {
                if (!tables.offer(to, bytes)) {
                    dropped.get(DropReason.UNSENT).inc();
                }
                return;
            }
            socket.send(new DatagramPacket(bytes, bytes.length, to));
            sent.inc();
            sentBytes.inc(bytes.length);
        } catch (IOException | RuntimeException e) {
            dropped.get(DropReason.UNSENT).inc(); // as good as lost on its way: what others told is no address, say
        }
    }

    /** A message that waits for the lock to be given back. */
    private static final class OutgoingMessage {
        private final String address;
        private final byte[] bytes;

        OutgoingMessage(String address, byte[] bytes) {
            this.address = address;
            this.bytes = bytes;
        }

        String address() {
            return address;
        }

        byte[] bytes() {
            return bytes;
        }
    }

    /** Keeps what an event gives until the lock is given back. */
    private final class ProtocolOutput implements MembershipProtocol.Output {
        @Override
        public void send(String address, GroupMessage message) {
            try {
                outgoing.add(new OutgoingMessage(address, codec.encode(message)));
            } catch (IOException e) {
                dropped.get(DropReason.UNSENT).inc();
            }
        }

        @Override
        public void viewChanged(GroupView view, String why) {
            changes.add(new ViewChange(view, why));
        }
    }
}
