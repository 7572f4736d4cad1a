package wallmoor.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import wallmoor.rules.LeaseMessage;

/**
 * How this voting member reaches the others and the lease holders: members by their address, a holder over the
 * connection that its last request came over, the holder of this process directly. Control thread.
 */
final class LeaseHolderConnections implements VoterContext {
    private final String self;
    private final TcpTransport transport;
    private final Consumer<LeaseMessage> ownHolder;
    private final Map<String, FramedConnection> connections = new HashMap<>();

    /** {@code ownHolder} takes what is for the lease holder of this process, later. */
    LeaseHolderConnections(String self, TcpTransport transport, Consumer<LeaseMessage> ownHolder) {
        this.self = self;
        this.transport = transport;
        this.ownHolder = ownHolder;
    }

    /** A holder's request came over this connection. */
    void put(String holder, FramedConnection connection) {
        connections.put(holder, connection);
    }

    /** A connection has ended. */
    void remove(FramedConnection connection) {
        connections.values().removeIf(c -> c == connection);
    }

    @Override
    public long nowMicros() {
        return ConsensusService.nowMicros();
    }

    @Override
    public void sendToVoter(String voter, Packet packet) {
        transport.send(voter, packet);
    }

    @Override
    public void sendToLeaseHolder(String holder, LeaseMessage message) {
        if (holder.equals(self)) {
            ownHolder.accept(message);
            return;
        }
        FramedConnection connection = connections.get(holder);
        if (connection != null) {
            transport.send(connection, new Packet.LeaseEnvelope(message));
        }
    }

    @Override
    public boolean isReachable(String voter) {
        return transport.isReachable(voter);
    }
}
