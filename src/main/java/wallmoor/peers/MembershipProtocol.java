package wallmoor.peers;

/**
 * A group membership protocol from the side of one member. Its inputs are events with their times, its outputs messages
 * and changes of the view. The simulation and the transport can drive any implementation, so that protocols can be
 * compared. Times are microseconds on a monotonic clock.
 */
public interface MembershipProtocol {
    /** Receives the protocol's outputs. */
    interface Output {
        /** Sends a message to the member at this address. */
        void send(String address, GroupMessage message);

        /**
         * Reports a change of the view.
         *
         * @param cause what caused the change, for the log
         */
        void viewChanged(GroupView view, String cause);
    }

    /** Starts the member. */
    void onStart(long now);

    /** Processes timeouts and sends what is due; to be called several times per probe interval. */
    void onTick(long now);

    /** Processes a received message. */
    void onMessage(long now, GroupMessage message);

    /** Announces that the member leaves; afterwards it sends and decides nothing more. */
    void leave(long now);

    /** Returns the current view. */
    GroupView view();
}
