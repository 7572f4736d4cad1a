package wallmoor.summaries;

/** A message of a site to gatherers that prune by its summary. */
public sealed interface SiteMessage {
    /**
     * The answer to a gatherer's request: until the lease ends, the site confirms no write that this summary, with
     * the widenings that follow it, does not cover.
     *
     * @param ticket   ticket of the request
     * @param summary  encoded summary, see {@link Encoding}
     * @param lifetime duration of the lease in microseconds, from the request on
     */
    record SummaryLeaseGrant(long ticket, byte[] summary, long lifetime) implements SiteMessage {}

    /**
     * The announcement of rows that are about to be confirmed. A gatherer acknowledges it once its copy of the summary
     * covers them.
     *
     * @param site  the sender and the block
     * @param epoch the site's incarnation
     * @param from  the version that it extends
     * @param to    the resulting version
     * @param rows  an encoded summary of these rows alone; null if all leases on older versions are revoked and a new
     *              one is to be requested
     */
    record Widening(Site site, long epoch, long from, long to, byte[] rows) implements SiteMessage {}
}
