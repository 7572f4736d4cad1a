package wallmoor.peers.udp;

/**
 * Thrown if a received message is unusable and therefore dropped without any effect. It has no stack trace, to keep the
 * cost of invalid messages low, which anybody can send.
 */
final class DroppedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    private final DropReason reason;

    DroppedMessageException(DropReason reason) {
        super(reason.toString(), null, false, false);
        this.reason = reason;
    }

    DropReason reason() {
        return reason;
    }
}
