package wallmoor.dns;

/** Thrown when the target of an SRV record can't be used; the message is the reason. */
final class UnusableTargetException extends Exception {
    private static final long serialVersionUID = 1L;

    UnusableTargetException(String reason) {
        super(reason);
    }
}
