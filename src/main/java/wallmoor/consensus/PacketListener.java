package wallmoor.consensus;

/** Notified by the transport on its thread, which the listener must not block. */
interface PacketListener {
    /** Called for each packet of a peer whose handshake was accepted. */
    void onPacket(FramedConnection from, Packet packet);

    /** Called when a connection has ended. */
    void onDisconnect(FramedConnection connection);
}
