package wallmoor.dns;

/** A target of an SRV record can't be used; the message says why. */
final class UnusableTargetException extends Exception {
    private static final long serialVersionUID = 1L;

    UnusableTargetException(String reason) {
        super(reason);
    }
}
