package wallmoor.endpoints;

/**
 * What one source claims of one endpoint, and since when it gives the endpoint this address. A source that withdrew an
 * endpoint leaves a claim that it is gone, a tombstone. Mutable: {@link SourceView} counts the snapshots that lack it.
 */
final class EndpointClaim {
    private final SourceEndpoint endpoint;
    private final String cause;
    private final long since;
    private final boolean fromFirstReport;
    private int missedSnapshots;

    /**
     * Makes a claim.
     *
     * @param cause           in words for the operators
     * @param since           microseconds, when the source first gave the endpoint this address
     * @param fromFirstReport whether the source named it when it was first heard, so that nothing says that it was
     *                        started lately
     */
    EndpointClaim(SourceEndpoint endpoint, String cause, long since, boolean fromFirstReport) {
        this.endpoint = endpoint;
        this.cause = cause;
        this.since = since;
        this.fromFirstReport = fromFirstReport;
    }

    SourceEndpoint endpoint() {
        return endpoint;
    }

    String cause() {
        return cause;
    }

    long since() {
        return since;
    }

    boolean fromFirstReport() {
        return fromFirstReport;
    }

    /** Consecutive good snapshots that lack the endpoint. */
    int missedSnapshots() {
        return missedSnapshots;
    }

    void countMissedSnapshot() {
        missedSnapshots++;
    }

    void resetMissedSnapshots() {
        missedSnapshots = 0;
    }

    /** Whether this is a tombstone. */
    boolean isGone() {
        return endpoint.isGone();
    }
}
