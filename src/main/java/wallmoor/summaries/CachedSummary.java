package wallmoor.summaries;

/**
 * The state of one site in a {@link SummaryCache}: its slot in the index, its version chain, the outstanding request
 * and the lease. The summary itself is in the index. Only the cache changes it.
 */
final class CachedSummary {
    /** The lease end of an entry without a lease; it always lies in the past. */
    private static final long NO_LEASE = Long.MIN_VALUE;

    final Site site;
    final int slot;
    final VersionChain versions = new VersionChain();
    /** The ticket of the newest request; grants for earlier tickets are ignored. */
    long ticket;
    /** The time at which the newest request was sent, in microseconds. */
    long requestedAt;
    /** The encoded size of the summary as it was granted, in bytes; 0 if none is cached. */
    int bytes;
    /** Whether the site had rows that its summary excluded. No grant is accepted until the site is readmitted. */
    boolean distrusted;
    private long leaseRequestedAt;
    private long leaseEnd = NO_LEASE;

    CachedSummary(Site site, int slot) {
        this.site = site;
        this.slot = slot;
    }

    /** Starts or renews the lease, which runs from the newest request until {@code end}, in microseconds. */
    void startLease(long end) {
        leaseRequestedAt = requestedAt;
        leaseEnd = end;
    }

    void endLease() {
        leaseEnd = NO_LEASE;
    }

    /** Returns the time at which the lease was requested, in microseconds. */
    long leaseRequestedAt() {
        return leaseRequestedAt;
    }

    /** Returns the time in microseconds from which the summary is no longer valid. */
    long leaseEnd() {
        return leaseEnd;
    }
}
