package wallmoor.summaries;

/**
 * The state of one site in a {@link SummaryCache}: its slot in the index, the version chain, the request that is
 * outstanding, and the lease. The summary itself is in the index. Changed by its cache alone.
 */
final class CachedSummary {
    /** The end of a lease where there is none: it has always passed. */
    private static final long NO_LEASE = Long.MIN_VALUE;

    final Site site;
    final int slot;
    final VersionChain versions = new VersionChain();
    /** Of the newest request; answers to earlier ones are ignored. */
    long ticket;
    /** When the newest request was sent, in microseconds. */
    long requestedAt;
    /** Encoded size of the summary as it was granted, in bytes; 0 where none is cached. */
    int bytes;
    /** Whether the site had rows that its summary excluded: no grant of its is accepted until it is readmitted. */
    boolean distrusted;
    private long leaseRequestedAt;
    private long leaseEnd = NO_LEASE;

    CachedSummary(Site site, int slot) {
        this.site = site;
        this.slot = slot;
    }

    /** Begins or renews the lease: it runs from the newest request to this time, in microseconds. */
    void lease(long end) {
        leaseRequestedAt = requestedAt;
        leaseEnd = end;
    }

    void endLease() {
        leaseEnd = NO_LEASE;
    }

    /** When the lease was requested, in microseconds. */
    long leaseRequestedAt() {
        return leaseRequestedAt;
    }

    /** From when on the summary doesn't count, in microseconds. */
    long leaseEnd() {
        return leaseEnd;
    }
}
