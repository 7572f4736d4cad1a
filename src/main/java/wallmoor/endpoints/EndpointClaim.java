package wallmoor.endpoints;

/**
 * One source's claim on one endpoint, and the time since which the source gives the endpoint this address. A source
 * that withdraws an endpoint leaves a tombstone: a claim that the endpoint is gone. Mutable, as {@link SourceView}
 * counts the snapshots that lack the endpoint. Times are in microseconds.
 */
final class EndpointClaim {
    private final SourceEndpoint endpoint;
    private final String cause;
    private final long since;
    private final boolean fromFirstReport;
    private int missedSnapshots;

    /**
     * Creates a claim.
     *
     * @param cause           the cause as text for operators
     * @param since           when the source first gave the endpoint this address
     * @param fromFirstReport whether the endpoint was in the source's first report, in which case it may have been
     *                        running for any time before
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

    /** Returns how many snapshots in a row lack the endpoint. */
    int missedSnapshots() {
        return missedSnapshots;
    }

    void countMissedSnapshot() {
        missedSnapshots++;
    }

    void resetMissedSnapshots() {
        missedSnapshots = 0;
    }

    /** Returns whether this claim is a tombstone. */
    boolean isGone() {
        return endpoint.isGone();
    }
}
