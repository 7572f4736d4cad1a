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
import wallmoor.peers.GroupMembership;
import wallmoor.peers.GroupMessage;
import wallmoor.peers.GroupView;
import wallmoor.peers.MemberEvidence;
import wallmoor.peers.MembershipCounts;
import wallmoor.peers.MembershipParameters;
import wallmoor.peers.MembershipProtocol;
import wallmoor.threads.Threads;

/**
 * Runs the membership protocol over the network. It has one datagram socket, a thread that reads from it and a thread
 * that ticks the protocol; messages that are too large for a datagram go through {@link TableTransfer}. One lock guards
 * the protocol. Messages and changes of the view are passed on after the lock is released, so that sending and
 * subscribers don't block the protocol. Received datagrams are queued only in the kernel's receive buffer, and lost if
 * it is full.
 */
public final class GroupTransport {
    private static final Logger LOG = LoggerFactory.getLogger(GroupTransport.class);
    private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * The configuration of this member, which is validated when it is read.
     *
     * @param installation name of the group; messages from other installations are dropped
     * @param listen       address that the sockets are bound to
     * @param address      host and port that other members reach this one at
     * @param seeds        addresses of members to contact first
     */
    public record LocalMember(String installation, String name, InetSocketAddress listen, String address,
            List<String> seeds) {}

    private record ViewChange(GroupView view, String cause) {}

    private final DatagramSocket socket;
    private final TableTransfer tables;
    private final GroupMessageCodec codec;
    /** Also the lock that guards itself, {@link #outgoing} and {@link #changes}. */
    private final GroupMembership membership;
    private final long tickMillis;
    private final List<BiConsumer<GroupView, String>> subscribers = new ArrayList<>();
    private final List<OutgoingMessage> outgoing = new ArrayList<>();
    private final List<ViewChange> changes = new ArrayList<>();
    /** Locked while subscribers are notified, so that they receive the changes in order. */
    private final Object notificationLock = new Object();
    private final TransportCounters counters = new TransportCounters();
    private final Counter received = counters.counter("received");
    private final Counter sent = counters.counter("sent");
    private final Counter sentBytes = counters.counter("bytes");
    private final Map<DropReason, Counter> dropped = new EnumMap<>(DropReason.class);
    private volatile boolean isClosed;

    /**
     * Binds the sockets; {@link #start} starts the protocol.
     *
     * @param seed seed of the protocol's random source
     * @throws IOException if the address can't be bound
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

    /**
     * Adds a subscriber that receives the changes of the view in order, each with its cause as text for the log. To be
     * called before {@link #start}.
     */
    public void subscribe(BiConsumer<GroupView, String> subscriber) {
        subscribers.add(subscriber);
    }

    /** Starts the protocol and the threads. */
    public void start() {
        handle(() -> membership.onStart(nowMicros()));
        tables.start();
        Threads.startEssential("peers-read", this::readDatagrams);
        Threads.startEssential("peers-tick", this::tick);
    }

    /** Announces that this member leaves and closes the sockets. */
    public void leave() {
        handle(() -> membership.leave(nowMicros()));
        isClosed = true;
        socket.close();
        try {
            tables.close();
        } catch (IOException e) {
            LOG.warn("group table listener close failed: error=\"{}\"", e.toString());
        }
    }

    /** Returns the current view. */
    public GroupView view() {
        synchronized (membership) {
            return membership.view();
        }
    }

    /** Returns the evidence for a member's state, or null if no member of this name is known. */
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

    /** Returns the counters since the start by name: messages received and sent, drops by reason, protocol events. */
    public Map<String, Long> counters() {
        return counters.snapshot();
    }

    /** Returns the microseconds of a monotonic clock, which a change of the wall clock does not affect. */
    public static long nowMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    private void tick() {
        try {
            while (!isClosed) {
                Thread.sleep(tickMillis);
                handle(() -> membership.onTick(nowMicros()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readDatagrams() {
        byte[] buffer = new byte[2 * GroupMessageCodec.MAX_DATAGRAM_BYTES];
        while (!isClosed) {
            try {
                var packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                received.inc();
                receive(buffer, packet.getLength(), GroupMessageCodec.MAX_DATAGRAM_BYTES);
            } catch (IOException e) {
                if (!isClosed) {
                    LOG.warn("group datagram receive failed: error=\"{}\"", e.toString());
                }
            }
        }
    }

    private void receive(byte[] bytes, int length, int maxBytes) {
        try {
            GroupMessage message = codec.decode(bytes, length, maxBytes);
            handle(() -> membership.onMessage(nowMicros(), message));
        } catch (DroppedMessageException e) {
            dropped.get(e.reason()).inc();
        }
    }

    /** Runs one event of the protocol under its lock, then sends the resulting messages and notifies subscribers. */
    private void handle(Runnable event) {
        List<OutgoingMessage> toSend;
        synchronized (membership) {
            try {
                event.run();
            } catch (RuntimeException e) { // a fault in one event must not end the thread, which handles all others
                LOG.warn("group event failed: error=\"{}\"", e.toString());
            }
            toSend = List.copyOf(outgoing);
            outgoing.clear();
        }
        toSend.forEach(this::send);
        notifySubscribers();
    }

    private void notifySubscribers() {
        synchronized (notificationLock) {
            List<ViewChange> toNotify;
            synchronized (membership) {
                toNotify = List.copyOf(changes);
                changes.clear();
            }
            toNotify.forEach(change -> subscribers.forEach(s -> s.accept(change.view(), change.cause())));
        }
    }

    private void send(OutgoingMessage message) {
        try {
            // Rejects host names, so that an address from another member can't cause a DNS lookup.
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
            // Treated like a message lost in the network; the address from another member may be invalid, for example.
            dropped.get(DropReason.UNSENT).inc();
        }
    }

    /** An encoded message that is sent after the lock is released. */
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

    /** Collects the outputs of an event until the lock is released. */
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
        public void viewChanged(GroupView view, String cause) {
            changes.add(new ViewChange(view, cause));
        }
    }
}
