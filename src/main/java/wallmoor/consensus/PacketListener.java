package wallmoor.consensus;

/** Told by the transport, on its thread, which it must not hold up. */
interface PacketListener {
    /** A peer that has sent its handshake has sent a packet. */
    void onPacket(FramedConnection from, Packet packet);

    /** A connection has ended. */
    void onDisconnect(FramedConnection connection);
}
