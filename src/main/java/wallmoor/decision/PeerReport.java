package wallmoor.decision;

/**
 * Another gatherer's gossip report on a worker.
 *
 * @param inFlight   the gatherer's parts in flight at the worker
 * @param ejected    whether the gatherer has ejected the worker
 * @param reportedAt when the report was received (microseconds)
 * @param expiresAt  when the report expires (microseconds)
 */
record PeerReport(int inFlight, boolean ejected, long reportedAt, long expiresAt) {}
