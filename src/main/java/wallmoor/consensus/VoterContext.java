package wallmoor.consensus;

import wallmoor.rules.LeaseMessage;

/** What is around a voting member: the time, and how the other processes are reached. */
interface VoterContext {
    /** Monotonic clock, microseconds. */
    long nowMicros();

    /** Sends to another voting member; what can't be sent now is dropped. */
    void sendToVoter(String voter, Packet packet);

    /** Sends to a lease holder; dropped where no connection of its is known. */
    void sendToLeaseHolder(String holder, LeaseMessage message);

    /** Whether something came from a voting member of late. */
    boolean isReachable(String voter);
}
