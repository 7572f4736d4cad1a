package wallmoor.summaries;

/** What a site tells gatherers. */
public sealed interface SiteMessage {
    /**
     * An answer to a gatherer that asked: until the promise ends, the site confirms no write that this summary, with
     * the widenings that follow it, does not cover.
     *
     * @param ticket   the asking's
     * @param summary  encoded
     * @param lifetime microseconds from the asking on
     */
    record LeaseGrant(long ticket, byte[] summary, long lifetime) implements SiteMessage {}

    /**
     * Rows are about to be confirmed. It is acknowledged once it counts.
     *
     * @param site  who and what block
     * @param epoch the site's life
     * @param from  the version that it widens
     * @param to    the version that it makes
     * @param rows  a summary of these rows alone, encoded; null where what was told has ended and is to be asked for
     *              anew
     */
    record Widening(Site site, long epoch, long from, long to, byte[] rows) implements SiteMessage {}
}
