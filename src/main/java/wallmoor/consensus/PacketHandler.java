package wallmoor.consensus;

import wallmoor.rules.CorruptDataException;

/** Handles received packets on the control thread. */
interface PacketHandler {
    /**
     * Handles a packet of a peer.
     *
     * @throws CorruptDataException if the message in the packet can't be decoded; the caller logs it
     */
    void handle(FramedConnection from, Packet packet) throws CorruptDataException;

    /** Handles the end of a connection. */
    void disconnected(FramedConnection connection);
}
