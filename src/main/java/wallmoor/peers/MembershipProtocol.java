package wallmoor.peers;

/**
 * A group membership protocol as one member runs it: events with their time in, messages and changes of view out. The
 * simulation and the transport drive any such; so protocols can be measured side by side. Times are microseconds on a
 * clock that only goes forward.
 */
public interface MembershipProtocol {
    /** Where the protocol's actions go. */
    interface Output {
        /** Sends a message to the member at this address. */
        void send(String address, GroupMessage message);

        /** The view has changed; {@code why} is the evidence, for the log. */
        void viewChanged(GroupView view, String why);
    }

    /** The member starts. */
    void onStart(long now);

    /** Time goes on: several times an interval. */
    void onTick(long now);

    /** A message has come. */
    void onMessage(long now, GroupMessage message);

    /** The member leaves with notice: nothing is sent or decided after it. */
    void leave(long now);

    /** The view as it is. */
    GroupView view();
}
