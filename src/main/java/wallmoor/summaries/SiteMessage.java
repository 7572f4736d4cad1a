package wallmoor.summaries;

/** A message of a site to gatherers that prune by its summary. */
public sealed interface SiteMessage {
    /**
     * The answer to a gatherer's request: until the lease ends, the site confirms no write that this summary, with
     * the widenings that follow it, does not cover.
     *
     * @param ticket   of the request
     * @param summary  encoded, see {@link Encoding}
     * @param lifetime of the lease, in microseconds from the request on
     */
    record SummaryLeaseGrant(long ticket, byte[] summary, long lifetime) implements SiteMessage {}

    /**
     * Rows are about to be confirmed. A gatherer acknowledges it once its copy of the summary covers them.
     *
     * @param site  the sender, and the block
     * @param epoch the site's incarnation
     * @param from  the version that it widens
     * @param to    the version that it makes
     * @param rows  a summary of these rows alone, encoded; null where all leases on older versions are revoked and a
     *              new one is to be requested
     */
    record Widening(Site site, long epoch, long from, long to, byte[] rows) implements SiteMessage {}
}
