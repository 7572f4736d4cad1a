package wallmoor.peers.udp;

/**
 * What came is no message that this member can use, and nothing of it is used. It has no stack trace, as anybody can
 * send such.
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
