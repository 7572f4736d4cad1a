package wallmoor.ogc;

/** Thrown when the gatherer no longer permits an attempt's first request; nothing was sent. */
final class SendNotPermittedException extends Exception {
    private static final long serialVersionUID = 1L;

    SendNotPermittedException() {
        super("attempt not sent: the gatherer no longer permits it");
    }
}
