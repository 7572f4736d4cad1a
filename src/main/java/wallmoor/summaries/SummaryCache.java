package wallmoor.summaries;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A gatherer's cache of the sites' summaries, each under a lease (Gray and Cheriton, 1989). A summary counts while its
 * lease runs by this gatherer's own clock, from before the request on, and its version is the newest that was heard
 * of. A site without one that counts is queried. Decides only and does no input or output; not thread-safe. Times are
 * in microseconds and never go back.
 */
public final class SummaryCache {
    /**
     * Bounds of the cache. A site beyond them is queried.
     *
     * @param sites  cached at most
     * @param bytes  of all summaries as they were sent, at most
     * @param margin microseconds by which clocks may drift apart within a lease; each lease ends earlier by it
     */
    public record CacheLimits(int sites, long bytes, long margin) {
        /** 20,000 sites, 256 MiB, and clocks that may drift apart by 50 ms within a lease. */
        public static CacheLimits defaults() {
            return new CacheLimits(20_000, 256L << 20, 50_000);
        }
    }

    private final SummaryLimits settings;
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
     * Makes an empty cache.
     *
     * @param settings    for summaries after widening
     * @param firstTicket other than any before it in earlier incarnations of this gatherer: a late answer to one of
     *                    those must not be accepted
     * @param events      receives what operators are to know
     */
    public SummaryCache(SummaryLimits settings, CacheLimits limits, long firstTicket, Consumer<PruningEvent> events) {
        this.settings = settings;
        this.limits = limits;
        this.lastTicket = firstTicket;
        this.events = events;
    }

    /**
     * A lease on the site's summary is about to be requested.
     *
     * @return the request's ticket; the one of an earlier request to the site is void
     */
    public long beginRequest(long at, Site site) {
        now = Math.max(now, at);
        CachedSummary entry = entries.get(site);
        if (entry == null) {
            if (entries.size() >= limits.sites()) {
                events.accept(new PruningEvent.NoRoom(site, "the summary of " + site.name() + " is not held: there are "
                        + entries.size() + " already; raise the bound of sites"));
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

    /** A site answered a request. A grant that is late, stale or unreadable has no effect but to drop what is wrong. */
    public void acceptGrant(long at, SiteMessage.SummaryLeaseGrant grant) {
        expire(at);
        CachedSummary entry = entriesByTicket.remove(grant.ticket());
        if (entry == null) {
            return;
        }
        Summary summary;
        try {
            summary = decode(grant, entry.site);
        } catch (UnreadableSummaryException fault) {
            drop(entry); // what was cached before it may be just as wrong
            reportUnreadable(entry.site, fault);
            return;
        }
        long leaseEnd = entry.requestedAt + grant.lifetime() - limits.margin();
        if (entry.distrusted || leaseEnd <= now || entry.versions.isStale(summary)) {
            return;
        }
        if (entry.versions.isRenewal(summary, index.at(entry.slot))) {
            entry.lease(leaseEnd);
            expiries.add(entry);
            return;
        }
        // any other replaces the cached one, also of the same version: the site reckons with what it sent
        drop(entry);
        int size = grant.summary().length;
        if (bytes + size > limits.bytes()) {
            events.accept(new PruningEvent.NoRoom(entry.site, "the summary of " + entry.site.name()
                    + " is not held: all together have "
                    + bytes + " bytes; raise the bound of bytes, or lower it at the sites"));
            return;
        }
        store(entry, summary, size);
        entry.lease(leaseEnd);
        entry.versions.grant(summary.version());
        expiries.add(entry);
    }

    private static Summary decode(SiteMessage.SummaryLeaseGrant grant, Site site) throws UnreadableSummaryException {
        Summary summary = Encoding.decode(grant.summary());
        if (!summary.site().equals(site.name()) || !summary.block().equals(site.block())) {
            throw new UnreadableSummaryException(UnreadableSummaryException.Fault.MALFORMED,
                    "it is of " + summary.site() + " " + summary.block());
        }
        return summary;
    }

    private void reportUnreadable(Site site, UnreadableSummaryException fault) {
        events.accept(new PruningEvent.Unreadable(site, fault.fault(), site.name() + ": " + fault.getMessage()));
    }

    /**
     * A site is about to confirm rows. Its cached summary is widened by them, or dropped where that can't be done.
     *
     * @return the version to acknowledge, now that it counts
     */
    public long applyWidening(long at, SiteMessage.Widening widening) {
        now = Math.max(now, at);
        CachedSummary entry = entries.get(widening.site());
        if (entry == null || !entry.versions.isNewer(widening.epoch(), widening.to())) {
            return widening.to(); // nothing is cached, or it is late or repeated
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

    /** The cached summary with the widening's rows, or null where it is none that the widening continues. */
    private Summary widen(CachedSummary entry, SiteMessage.Widening widening) {
        Summary cached = index.at(entry.slot);
        if (!entry.versions.isContinuedBy(widening, cached)) {
            return null;
        }
        try {
            var builder = new SummaryBuilder(settings, cached);
            builder.absorb(Encoding.decode(widening.rows()));
            return builder.build(widening.to());
        } catch (UnreadableSummaryException fault) {
            reportUnreadable(entry.site, fault);
            return null;
        }
    }

    /** A site was heard to serve this version, say in an answer: older ones don't count any more. */
    public void observeVersion(long at, Site site, long epoch, long version) {
        now = Math.max(now, at);
        CachedSummary entry = entries.get(site);
        if (entry != null && entry.versions.isNewer(epoch, version)) {
            drop(entry);
            entry.versions.advance(epoch, version);
        }
    }

    /** A block was or may have been migrated: its leases end, and grants that are on their way are ignored. */
    public void invalidateBlock(long at, String block) {
        now = Math.max(now, at);
        for (CachedSummary entry : entries.values()) {
            if (entry.site.block().equals(block)) {
                drop(entry);
                entriesByTicket.remove(entry.ticket);
            }
        }
    }

    /** A site was removed for good. */
    public void remove(long at, Site site) {
        now = Math.max(now, at);
        CachedSummary entry = entries.remove(site);
        if (entry != null) {
            drop(entry);
            entriesByTicket.remove(entry.ticket);
            usedSlots.clear(entry.slot);
        }
    }

    /** A site had rows that its summary excluded: none of its grants is accepted until {@link #readmit}. */
    public void distrust(long at, Site site, long epoch, long version, String evidence) {
        now = Math.max(now, at);
        CachedSummary entry = entries.get(site);
        if (entry == null || entry.distrusted) {
            return;
        }
        entry.distrusted = true;
        drop(entry);
        events.accept(new PruningEvent.FalseCut(site, epoch, version, "the summary of " + site.name() + " block "
                + site.block()
                + " epoch " + epoch + " version " + version + " excluded rows that it has (" + evidence
                + "): it is taken out, and the site is asked; mend how it makes its summary, then readmit it"));
    }

    /** An operator says that a site's summaries are sound again. */
    public void readmit(Site site) {
        CachedSummary entry = entries.get(site);
        if (entry != null) {
            entry.distrusted = false;
        }
    }

    /** Looks up which sites can hold a row of this query's. */
    public SummaryLookup lookup(long at, Conditions conditions) {
        expire(at);
        return new SummaryLookup(conditions, entries, index);
    }

    /** The site's summary with its lease, or null where none counts. Immutable: other threads may go on reading it. */
    public LeasedSummary leased(Site site) {
        CachedSummary entry = entries.get(site);
        Summary summary = entry == null ? null : index.at(entry.slot);
        return summary == null ? null
                : new LeasedSummary(summary, entry.leaseRequestedAt(), entry.leaseEnd());
    }

    /** Bytes of the index and of all summaries as they were sent. */
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

    private void expire(long at) {
        now = Math.max(now, at);
        expiries.expire(now, this::drop);
    }
}
