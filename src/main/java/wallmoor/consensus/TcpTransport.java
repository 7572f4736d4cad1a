package wallmoor.consensus;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.rules.CorruptDataException;
import wallmoor.threads.Threads;

/**
 * The connections of one process, on one thread. It listens if the process is a voting member, and dials the members
 * that have something to receive. Packets that can't be sent immediately are dropped and counted, as every message is
 * sent again. Both ends send heartbeats, and a silent connection is closed, so that half-open connections do not last.
 */
final class TcpTransport implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(TcpTransport.class);
    private static final long HEARTBEAT_MILLIS = 400;
    private static final long SELECT_MILLIS = HEARTBEAT_MILLIS / 4;
    private static final long HEARTBEAT_CHECK_MILLIS = HEARTBEAT_MILLIS / 2;
    /** Tolerates five lost heartbeats. A lower limit would close connections during a long garbage collection pause. */
    private static final long MAX_SILENCE_MILLIS = 2_400;
    private static final int MAX_CONNECTIONS = 2_000;
    /** Limit of connections that wait to be accepted. */
    private static final int BACKLOG = 128;
    private static final byte[] HEARTBEAT = FramedConnection.frame(new byte[0]);

    private final Map<String, InetSocketAddress> voters;
    private final byte[] handshakeFrame;
    private final HandshakeVerifier verifier;
    private final Selector selector = Selector.open();
    /** Null if this process does not vote. */
    private final ServerSocketChannel server;
    private final Set<FramedConnection> connections = ConcurrentHashMap.newKeySet();
    private final Map<String, OutboundConnection> outbound = new TreeMap<>();
    private final SendQueue sendQueue = new SendQueue();
    private final Set<String> reachable = ConcurrentHashMap.newKeySet();
    private final ConnectionCounters counters = new ConnectionCounters();
    private PacketListener listener;
    private volatile boolean closed;

    /**
     * Opens the listening socket; {@link #start} begins to accept and to dial.
     *
     * @param handshake the handshake of this process
     * @param listen    the address to listen on; null if this process does not vote
     * @param voters    the addresses of the voting members
     */
    TcpTransport(Packet.Handshake handshake, InetSocketAddress listen, Map<String, InetSocketAddress> voters)
            throws IOException {
        this.voters = voters;
        handshakeFrame = FramedConnection.frame(PacketCodec.encode(handshake));
        verifier = new HandshakeVerifier(handshake.group(), voters.keySet());
        server = listen == null ? null : ServerSocketChannel.open();
        if (server != null) {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(listen, BACKLOG);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
        }
    }

    /** Begins to accept and to dial. */
    void start(PacketListener packetListener) {
        listener = packetListener;
        Threads.startEssential("rules-links", this::run);
    }

    // ---- any thread ---------------------------------------------------------------------------------------

    /** Sends to a voting member; dials it if there is no connection. */
    void send(String voter, Packet packet) {
        byte[] frame = frame(packet);
        enqueue(frame, () -> {
            OutboundConnection target = outbound.computeIfAbsent(voter, v -> new OutboundConnection());
            if (target.connection() == null) {
                dial(voter, target);
            }
            sendFrame(target.connection(), frame);
        });
    }

    /** Sends over a connection that a packet was received on. */
    void send(FramedConnection connection, Packet packet) {
        byte[] frame = frame(packet);
        enqueue(frame, () -> sendFrame(connections.contains(connection) ? connection : null, frame));
    }

    /** Returns whether there is a connection to a voting member whose handshake was accepted. */
    boolean isReachable(String voter) {
        return reachable.contains(voter);
    }

    /** Returns the counters as text for operators. */
    String counters() {
        return counters.describe(connections.size());
    }

    /** Returns the frame of a packet, or null if the packet is too large. */
    private static byte[] frame(Packet packet) {
        byte[] payload = PacketCodec.encode(packet);
        return payload.length > FramedConnection.MAX_PAYLOAD_BYTES ? null : FramedConnection.frame(payload);
    }

    private void enqueue(byte[] frame, Runnable send) {
        if (frame == null || !sendQueue.offer(frame, send)) {
            counters.countDropped();
        } else {
            selector.wakeup();
        }
    }

    // ---- transport thread ---------------------------------------------------------------------------------

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void run() {
        long heartbeatsAt = nowMillis();
        while (!closed) {
            try {
                selector.select(SELECT_MILLIS);
                serveSelected();
                sendQueue.drain();
                if (nowMillis() - heartbeatsAt >= HEARTBEAT_CHECK_MILLIS) {
                    heartbeatsAt = nowMillis();
                    connections.forEach(this::heartbeat);
                }
            } catch (IOException e) {
                LOG.warn("rules: selector failed: error={}", e.toString());
            }
        }
        connections.forEach(FramedConnection::close);
        try {
            selector.close();
        } catch (IOException e) {
            // best effort: the thread ends
        }
    }

    private void serveSelected() throws IOException {
        for (Iterator<SelectionKey> keys = selector.selectedKeys().iterator(); keys.hasNext();) {
            SelectionKey key = keys.next();
            keys.remove();
            if (key.isValid() && key.isAcceptable()) {
                accept();
            } else if (key.isValid()) {
                serve((FramedConnection) key.attachment());
            }
        }
    }

    private void accept() throws IOException {
        SocketChannel channel = server.accept();
        if (channel == null) {
            return;
        }
        if (connections.size() >= MAX_CONNECTIONS) {
            counters.countRejected();
            channel.close();
            return;
        }
        try {
            begin(new FramedConnection(channel, null, nowMillis()), SelectionKey.OP_READ);
        } catch (IOException e) {
            channel.close();
        }
    }

    private void begin(FramedConnection connection, int interestOps) throws IOException {
        connection.register(selector, interestOps);
        connections.add(connection);
        connection.offer(handshakeFrame);
        write(connection);
    }

    private void dial(String voter, OutboundConnection target) {
        InetSocketAddress address = voters.get(voter);
        long now = nowMillis();
        if (address == null || !target.tryBegin(now)) {
            return;
        }
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            boolean connected = channel.connect(address);
            var connection = new FramedConnection(channel, voter, now);
            target.opened(connection);
            begin(connection, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
        } catch (IOException e) {
            target.opened(null);
            close(channel);
        }
    }

    private static void close(SocketChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // the channel is unusable either way
        }
    }

    private void serve(FramedConnection connection) {
        try {
            SelectionKey key = connection.key();
            if (key.isConnectable() && connection.finishConnect()) {
                key.interestOps(SelectionKey.OP_READ);
                write(connection);
            }
            if (key.isValid() && key.isReadable()) {
                connection.read(nowMillis(), payload -> receive(connection, payload));
            }
            if (key.isValid() && key.isWritable()) {
                write(connection);
            }
        } catch (IOException | RuntimeException e) {
            end(connection);
        }
    }

    /**
     * Sends a frame.
     *
     * @param connection null if there is none; the frame is then dropped and counted
     */
    private void sendFrame(FramedConnection connection, byte[] frame) {
        if (connection == null || !connection.offer(frame)) {
            counters.countDropped();
        } else {
            write(connection);
        }
    }

    private void write(FramedConnection connection) {
        try {
            if (connection.isConnected()) {
                boolean complete = connection.write(nowMillis());
                connection.key().interestOps(
                        complete ? SelectionKey.OP_READ : SelectionKey.OP_READ | SelectionKey.OP_WRITE);
            }
        } catch (IOException | RuntimeException e) {
            end(connection);
        }
    }

    private void receive(FramedConnection connection, byte[] payload) throws PeerProtocolException {
        Packet packet;
        try {
            packet = PacketCodec.decode(payload);
        } catch (CorruptDataException e) {
            counters.countMalformed();
            throw new PeerProtocolException("invalid packet of " + payload.length + " bytes", e);
        }
        if (connection.peer() != null) {
            listener.onPacket(connection, packet);
        } else if (packet instanceof Packet.Handshake handshake
                && verifier.verify(connection.dialledVoter(), handshake)) {
            establish(connection, handshake);
        } else {
            counters.countRejected();
            throw new PeerProtocolException("peer rejected: first packet is not a handshake of this group");
        }
    }

    private void establish(FramedConnection connection, Packet.Handshake handshake) {
        if (verifier.recordIncarnation(handshake)) { // closes the connections of the member's earlier process
            connections.stream().filter(c -> c.isPeer(handshake.name())).forEach(this::end);
        }
        connection.accept(handshake);
        String dialled = connection.dialledVoter();
        if (dialled != null) {
            reachable.add(dialled);
            outbound.get(dialled).established();
        }
    }

    private void heartbeat(FramedConnection connection) {
        long now = nowMillis();
        if (connection.isSilent(now, MAX_SILENCE_MILLIS)) {
            end(connection);
        } else if (connection.isIdle(now, HEARTBEAT_MILLIS) && connection.isConnected()) {
            connection.offer(HEARTBEAT);
            write(connection);
        }
    }

    private void end(FramedConnection connection) {
        connection.close();
        if (connections.remove(connection)) {
            String dialled = connection.dialledVoter();
            OutboundConnection target = dialled == null ? null : outbound.get(dialled);
            if (target != null && target.closed(connection)) {
                reachable.remove(dialled);
            }
            listener.onDisconnect(connection);
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
