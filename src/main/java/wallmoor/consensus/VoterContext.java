package wallmoor.consensus;

import wallmoor.rules.LeaseMessage;

/** The environment of a voting member: the time, and the ways to reach other processes. */
interface VoterContext {
    /** Returns the monotonic clock in microseconds. */
    long nowMicros();

    /** Sends to another voting member; a packet that can't be sent now is dropped. */
    void sendToVoter(String voter, Packet packet);

    /** Sends to a lease holder; the message is dropped if no connection of the holder is known. */
    void sendToLeaseHolder(String holder, LeaseMessage message);

    /** Returns whether there is a live connection to a voting member. */
    boolean isReachable(String voter);
}
