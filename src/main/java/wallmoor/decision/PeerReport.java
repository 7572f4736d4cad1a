package wallmoor.decision;

/**
 * What another gatherer told of a worker by gossip.
 *
 * @param inFlight   its parts in flight there
 * @param ejected    whether it has ejected the worker
 * @param reportedAt when it told so
 * @param expiresAt  until when this is held to be true
 */
record PeerReport(int inFlight, boolean ejected, long reportedAt, long expiresAt) {}
