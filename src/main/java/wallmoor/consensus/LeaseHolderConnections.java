package wallmoor.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import wallmoor.rules.LeaseMessage;

/**
 * The connections of this voting member: other members are reached at their address, a lease holder over the connection
 * of its last request, and the lease holder of this process directly. Runs on the control thread.
 */
final class LeaseHolderConnections implements VoterContext {
    private final String self;
    private final TcpTransport transport;
    private final Consumer<LeaseMessage> ownHolder;
    private final Map<String, FramedConnection> connections = new HashMap<>();

    /**
     * Creates the connections.
     *
     * @param ownHolder delivers a message to the lease holder of this process asynchronously
     */
    LeaseHolderConnections(String self, TcpTransport transport, Consumer<LeaseMessage> ownHolder) {
        this.self = self;
        this.transport = transport;
        this.ownHolder = ownHolder;
    }

    /** Records the connection over which the last request of a holder arrived. */
    void put(String holder, FramedConnection connection) {
        connections.put(holder, connection);
    }

    /** Removes a closed connection. */
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
