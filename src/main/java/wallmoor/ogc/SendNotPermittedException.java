package wallmoor.ogc;

/** The gatherer no longer permits an attempt's first request: nothing was sent. */
final class SendNotPermittedException extends Exception {
    private static final long serialVersionUID = 1L;

    SendNotPermittedException() {
        super("the attempt may no longer be sent");
    }
}
