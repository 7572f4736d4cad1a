package wallmoor.summaries;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A gatherer's cache of the sites' summaries, each under a lease (Gray and Cheriton, 1989). A summary is valid while
 * its lease runs by this gatherer's own clock, measured from before the request, and no newer version has been
 * observed. A site without a valid summary is queried. Does no input or output; not thread-safe. Times are in
 * microseconds and never go back.
 */
public final class SummaryCache {
    /**
     * Bounds of the cache. A site beyond them is queried.
     *
     * @param sites  maximum number of cached sites
     * @param bytes  maximum size of all summaries as they were sent, in bytes
     * @param margin microseconds by which clocks may drift apart within a lease; each lease ends earlier by this time
     */
    public record CacheLimits(int sites, long bytes, long margin) {
        /** Returns limits of 20,000 sites, 256 MiB, and a drift of 50 ms within a lease. */
        public static CacheLimits defaults() {
            return new CacheLimits(20_000, 256L << 20, 50_000);
        }
    }

    private final SummaryLimits summaryLimits;
    private final CacheLimits limits;
    private final Consumer<PruningEvent> events;
    private final SummaryIndex index = new SummaryIndex();
    private final Map<Site, CachedSummary> entries = new HashMap<>();
    private final Map<Long, CachedSummary> entriesByTicket = new HashMap<>();
    private final BitSet usedSlots = new BitSet();
    private final LeaseExpiryQueue expiries = new LeaseExpiryQueue();
    private long lastTicket;
    private long bytes;
    private long now = Long.MIN_VALUE;

    /**
     * Creates an empty cache.
     *
     * @param summaryLimits limits of summaries after a widening
     * @param firstTicket   a number that differs from all tickets of earlier incarnations of this gatherer, as a late
     *                      grant to one of those must not be accepted
     * @param events        receives the events for operators
     */
    public SummaryCache(SummaryLimits summaryLimits, CacheLimits limits, long firstTicket,
            Consumer<PruningEvent> events) {
        this.summaryLimits = summaryLimits;
        this.limits = limits;
        this.lastTicket = firstTicket;
        this.events = events;
    }

    /**
     * Starts a request for a lease on the site's summary.
     *
     * @return the ticket of the request; it voids the ticket of an earlier request to the site
     */
    public long beginRequest(long time, Site site) {
        now = Math.max(now, time);
        CachedSummary entry = entries.get(site);
        if (entry == null) {
            if (entries.size() >= limits.sites()) {
                events.accept(new PruningEvent.NoRoom(site, "the summary of " + site.name()
                        + " is not cached: the cache has its maximum of " + entries.size() + " sites"));
                return ++lastTicket;
            }
            entry = new CachedSummary(site, usedSlots.nextClearBit(0));
            usedSlots.set(entry.slot);
            entries.put(site, entry);
        }
        entriesByTicket.remove(entry.ticket);
        entry.ticket = ++lastTicket;
        entry.requestedAt = now;
        entriesByTicket.put(entry.ticket, entry);
        return entry.ticket;
    }

    /** Takes the grant of a lease. A late or stale grant has no effect; an unreadable one drops the cached summary. */
    public void acceptGrant(long time, SiteMessage.SummaryLeaseGrant grant) {
        expire(time);
        CachedSummary entry = entriesByTicket.remove(grant.ticket());
        if (entry == null) {
            return;
        }
        Summary summary;
        try {
            summary = decode(grant, entry.site);
        } catch (UnreadableSummaryException fault) {
            drop(entry); // the earlier summary of this site may be just as wrong
            reportUnreadable(entry.site, fault);
            return;
        }
        long leaseEnd = entry.requestedAt + grant.lifetime() - limits.margin();
        if (entry.distrusted || leaseEnd <= now || entry.versions.isStale(summary)) {
            return;
        }
        if (entry.versions.isRenewal(summary, index.get(entry.slot))) {
            entry.startLease(leaseEnd);
            expiries.add(entry);
            return;
        }
        // any other grant replaces the cached summary, even for the same version: the site relies on what it sent
        drop(entry);
        int size = grant.summary().length;
        if (bytes + size > limits.bytes()) {
            events.accept(new PruningEvent.NoRoom(entry.site, "the summary of " + entry.site.name()
                    + " is not cached: it has " + size + " bytes and the cache holds " + bytes + " of at most "
                    + limits.bytes() + "; raise summaries.memory_mb, or lower `bytes` at the sites"));
            return;
        }
        store(entry, summary, size);
        entry.startLease(leaseEnd);
        entry.versions.grant(summary.version());
        expiries.add(entry);
    }

    private static Summary decode(SiteMessage.SummaryLeaseGrant grant, Site site) throws UnreadableSummaryException {
        Summary summary = Encoding.decode(grant.summary());
        if (!summary.site().equals(site.name()) || !summary.block().equals(site.block())) {
            throw new UnreadableSummaryException(UnreadableSummaryException.Fault.MALFORMED,
                    "the summary is of site " + summary.site() + " block " + summary.block() + ", not of site "
                            + site.name() + " block " + site.block());
        }
        return summary;
    }

    private void reportUnreadable(Site site, UnreadableSummaryException fault) {
        events.accept(new PruningEvent.Unreadable(site, fault.fault(), site.name() + ": " + fault.getMessage()));
    }

    /**
     * Applies a widening, sent by a site before it confirms rows: widens the cached summary, or drops it if that is not
     * possible.
     *
     * @return the version to acknowledge, which is in effect on return
     */
    public long applyWidening(long time, SiteMessage.Widening widening) {
        now = Math.max(now, time);
        CachedSummary entry = entries.get(widening.site());
        if (entry == null || !entry.versions.isNewer(widening.epoch(), widening.to())) {
            return widening.to(); // nothing is cached, or the widening is late or repeated
        }
        Summary wider = widen(entry, widening);
        if (wider == null) {
            drop(entry);
            entry.versions.advance(widening.epoch(), widening.to());
        } else {
            store(entry, wider, entry.bytes);
        }
        return widening.to();
    }

    /** Returns the cached summary with the rows of the widening, or null if the widening does not continue it. */
    private Summary widen(CachedSummary entry, SiteMessage.Widening widening) {
        Summary cached = index.get(entry.slot);
        if (!entry.versions.isContinuedBy(widening, cached)) {
            return null;
        }
        try {
            var builder = new SummaryBuilder(summaryLimits, cached);
            builder.absorb(Encoding.decode(widening.rows()));
            return builder.build(widening.to());
        } catch (UnreadableSummaryException fault) {
            reportUnreadable(entry.site, fault);
            return null;
        }
    }

    /** Records that a site serves this version, as an answer may show; older versions are no longer valid. */
    public void observeVersion(long time, Site site, long epoch, long version) {
        now = Math.max(now, time);
        CachedSummary entry = entries.get(site);
        if (entry != null && entry.versions.isNewer(epoch, version)) {
            drop(entry);
            entry.versions.advance(epoch, version);
        }
    }

    /** Ends the leases on a block that was or may have been migrated; outstanding grants are ignored. */
    public void invalidateBlock(long time, String block) {
        now = Math.max(now, time);
        for (CachedSummary entry : entries.values()) {
            if (entry.site.block().equals(block)) {
                drop(entry);
                entriesByTicket.remove(entry.ticket);
            }
        }
    }

    /** Removes a site. */
    public void remove(long time, Site site) {
        now = Math.max(now, time);
        CachedSummary entry = entries.remove(site);
        if (entry != null) {
            drop(entry);
            entriesByTicket.remove(entry.ticket);
            usedSlots.clear(entry.slot);
        }
    }

    /** Records that a site had rows that its summary excluded; its grants are rejected until {@link #readmit}. */
    public void distrust(long time, Site site, long epoch, long version, String evidence) {
        now = Math.max(now, time);
        CachedSummary entry = entries.get(site);
        if (entry == null || entry.distrusted) {
            return;
        }
        entry.distrusted = true;
        drop(entry);
        events.accept(new PruningEvent.FalseCut(site, epoch, version, "the summary of " + site.name() + " block "
                + site.block()
                + " epoch " + epoch + " version " + version + " excluded rows that it has (" + evidence
                + "): the summary is taken out of use and the site is queried; correct how the site builds its summary,"
                + " then readmit the site"));
    }

    /** Accepts grants of a distrusted site again, at the request of an operator. */
    public void readmit(Site site) {
        CachedSummary entry = entries.get(site);
        if (entry != null) {
            entry.distrusted = false;
        }
    }

    /** Looks up which sites can have a row that matches. */
    public SummaryLookup lookup(long time, Conditions conditions) {
        expire(time);
        return new SummaryLookup(conditions, entries, index);
    }

    /** Returns the site's summary with its lease as an immutable snapshot, or null if none is cached. */
    public LeasedSummary leased(Site site) {
        CachedSummary entry = entries.get(site);
        Summary summary = entry == null ? null : index.get(entry.slot);
        return summary == null ? null
                : new LeasedSummary(summary, entry.leaseRequestedAt(), entry.leaseEnd());
    }

    /** Returns the size of the index and of all summaries as they were sent, in bytes. */
    public long bytes() {
        return bytes + index.bytes();
    }

    private void store(CachedSummary entry, Summary summary, int size) {
        index.put(entry.slot, summary);
        bytes += size - entry.bytes;
        entry.bytes = size;
        entry.versions.advance(summary.epoch(), summary.version());
    }

    private void drop(CachedSummary entry) {
        index.remove(entry.slot);
        bytes -= entry.bytes;
        entry.bytes = 0;
        entry.endLease();
    }

    private void expire(long time) {
        now = Math.max(now, time);
        expiries.expire(now, this::drop);
    }
}
