package wallmoor.consensus;

import wallmoor.rules.CorruptDataException;

/** What is done with packets; on the control thread. */
interface PacketHandler {
    /**
     * A packet of a peer came.
     *
     * @throws CorruptDataException where the message within it can't be read; it is logged
     */
    void handle(FramedConnection from, Packet packet) throws CorruptDataException;

    /** A connection has ended. */
    void disconnected(FramedConnection connection);
}
