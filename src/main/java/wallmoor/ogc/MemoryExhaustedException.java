package wallmoor.ogc;

/** Thrown when the memory for a query does not become free in time. Nothing was sent to a feature server. */
final class MemoryExhaustedException extends Exception {
    private static final long serialVersionUID = 1L;

    MemoryExhaustedException() {
        super("the memory of this front is in use by other queries");
    }
}
