package wallmoor.summaries;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * A gatherer's side: the summaries that it was promised, and which of them count now. One counts while its promise is
 * alive by this gatherer's own clock, from before the asking on, and its version is the newest that was heard of; a
 * site of which none counts is asked. Decides only; one caller at a time, times in microseconds, never going back.
 */
public final class SummaryCache {
    /** Bounds: sites, and bytes of all summaries as they were sent; beyond them sites are asked. */
    public record CacheLimits(int sites, long bytes, long margin) {
        /** Room for 10,000 sites at full size; clocks may run apart by 50 ms within a promise. */
        public static CacheLimits usual() {
            return new CacheLimits(20_000, 256L << 20, 50_000);
        }
    }

    private static final class CachedSummary {
        private final Site site;
        private final int slot;
        private long epoch = Long.MIN_VALUE;
        /** Older versions of this epoch never count again, however late their promise comes. */
        private long floor = Long.MIN_VALUE;
        private long ticket;
        private long askedAt;
        /** When the promise that is held was asked for. */
        private long since;
        private long until = Long.MIN_VALUE;
        /** The version that was sent as it stands; what is held are the widenings since on top of it. */
        private long base = Long.MIN_VALUE;
        private int bytes;
        private boolean distrusted;

        private CachedSummary(Site site, int slot) {
            this.site = site;
            this.slot = slot;
        }
    }

    private record Expiry(long at, CachedSummary entry) {}

    private final SummaryLimits settings;
    private final CacheLimits bounds;
    private final Consumer<PruningEvent> events;
    private final SummaryIndex index = new SummaryIndex();
    private final Map<Site, CachedSummary> entries = new HashMap<>();
    private final Map<Long, CachedSummary> tickets = new HashMap<>();
    private final BitSet slots = new BitSet();
    private final PriorityQueue<Expiry> due = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private long lastTicket;
    private long bytes;
    private long now = Long.MIN_VALUE;

    /**
     * Nothing known yet.
     *
     * @param settings    for summaries after widening
     * @param firstTicket other than any before it in earlier lives: a late answer to one of these must not be taken
     * @param events      gets what operators are to know
     */
    public SummaryCache(SummaryLimits settings, CacheLimits bounds, long firstTicket, Consumer<PruningEvent> events) {
        this.settings = settings;
        this.bounds = bounds;
        this.lastTicket = firstTicket;
        this.events = events;
    }

    /** This site is about to be asked for its summary, under the ticket returned; one asked for earlier is void. */
    public long asking(long at, Site site) {
        now = Math.max(now, at);
        CachedSummary e = entries.get(site);
        if (e == null) {
            if (entries.size() >= bounds.sites()) {
                events.accept(new PruningEvent.NoRoom(site, "the summary of " + site.name() + " is not held: there are "
                        + entries.size() + " already; raise the bound of sites"));
                return ++lastTicket;
            }
            e = new CachedSummary(site, slots.nextClearBit(0));
            slots.set(e.slot);
            entries.put(site, e);
        }
        tickets.remove(e.ticket);
        e.ticket = ++lastTicket;
        e.askedAt = now;
        tickets.put(e.ticket, e);
        return e.ticket;
    }

    /** What a site answered. Nothing comes of it where it is late, older than what is known, or can't be read. */
    public void promised(long at, SiteMessage.LeaseGrant promise) {
        expire(at);
        CachedSummary e = tickets.remove(promise.ticket());
        if (e == null) {
            return;
        }
        Summary s;
        try {
            s = Encoding.decode(promise.summary());
            if (!s.site().equals(e.site.name()) || !s.block().equals(e.site.block())) {
                throw new UnreadableSummaryException(UnreadableSummaryException.Fault.MALFORMED,
                        "it is of " + s.site() + " "
                                + s.block());
            }
        } catch (UnreadableSummaryException fault) {
            drop(e); // what was held before it may be just as wrong
            events.accept(
                    new PruningEvent.Unreadable(e.site, fault.fault(), e.site.name() + ": " + fault.getMessage()));
            return;
        }
        long until = e.askedAt + promise.lifetime() - bounds.margin();
        if (e.distrusted || until <= now || s.epoch() < e.epoch || (s.epoch() == e.epoch && s.version() < e.floor)) {
            return;
        }
        Summary held = index.at(e.slot);
        if (held != null && s.epoch() == e.epoch && s.version() == e.base && held.version() == e.base) {
            e.until = until; // word for word what is held
            e.since = e.askedAt;
            due.add(new Expiry(until, e));
            return;
        }
        // another is taken word for word, also of the version held: the site reckons with what it sent
        drop(e);
        if (bytes + promise.summary().length > bounds.bytes()) {
            events.accept(new PruningEvent.NoRoom(e.site, "the summary of " + e.site.name()
                    + " is not held: all together have "
                    + bytes + " bytes; raise the bound of bytes, or lower it at the sites"));
            return;
        }
        hold(e, s, promise.summary().length);
        e.until = until;
        e.since = e.askedAt;
        e.base = s.version();
        due.add(new Expiry(until, e));
    }

    /**
     * A site is about to confirm rows. What is held of it is widened, or does not count any more.
     *
     * @return the version to acknowledge, now that it counts
     */
    public long widened(long at, SiteMessage.Widening w) {
        now = Math.max(now, at);
        CachedSummary e = entries.get(w.site());
        if (e == null || w.epoch() < e.epoch) {
            return w.to(); // a late word of an earlier life, or nothing is held
        }
        if (w.epoch() == e.epoch && w.to() <= e.floor) {
            return w.to(); // said twice
        }
        Summary held = index.at(e.slot);
        Summary wider = null;
        if (held != null && w.rows() != null && w.epoch() == e.epoch && w.from() == held.version()) {
            try {
                var draft = new SummaryBuilder(settings, held);
                draft.absorb(Encoding.decode(w.rows()));
                wider = draft.told(w.to());
            } catch (UnreadableSummaryException fault) {
                events.accept(
                        new PruningEvent.Unreadable(e.site, fault.fault(), e.site.name() + ": " + fault.getMessage()));
            }
        }
        if (wider == null) {
            drop(e);
            e.epoch = w.epoch();
            e.floor = w.to();
        } else {
            hold(e, wider, e.bytes);
        }
        return w.to();
    }

    /** A site was heard to act on this version, say in an answer: older ones don't count any more. */
    public void acts(long at, Site site, long epoch, long version) {
        now = Math.max(now, at);
        CachedSummary e = entries.get(site);
        if (e != null && (epoch > e.epoch || (epoch == e.epoch && version > e.floor))) {
            drop(e);
            e.epoch = epoch;
            e.floor = version;
        }
    }

    /** A block has moved, or may have: nothing told of it counts, nor what is still on its way. */
    public void moved(long at, String block) {
        now = Math.max(now, at);
        for (CachedSummary e : entries.values()) {
            if (e.site.block().equals(block)) {
                drop(e);
                tickets.remove(e.ticket);
            }
        }
    }

    /** A site is gone for good. */
    public void gone(long at, Site site) {
        now = Math.max(now, at);
        CachedSummary e = entries.remove(site);
        if (e != null) {
            drop(e);
            tickets.remove(e.ticket);
            slots.clear(e.slot);
        }
    }

    /** A site had rows where its summary excluded them: nothing it tells counts from now on. */
    public void falseCut(long at, Site site, long epoch, long version, String what) {
        now = Math.max(now, at);
        CachedSummary e = entries.get(site);
        if (e == null || e.distrusted) {
            return;
        }
        e.distrusted = true;
        drop(e);
        events.accept(new PruningEvent.FalseCut(site, epoch, version, "the summary of " + site.name() + " block "
                + site.block()
                + " epoch " + epoch + " version " + version + " excluded rows that it has (" + what
                + "): it is taken out, and the site is asked; mend how it makes its summary, then readmit it"));
    }

    /** An operator says that a site's summaries are sound again. */
    public void readmit(Site site) {
        CachedSummary e = entries.get(site);
        if (e != null) {
            e.distrusted = false;
        }
    }

    /** Which sites can hold a row of this query's. */
    public Lookup lookup(long at, Conditions conditions) {
        expire(at);
        return new Lookup(conditions, index.could(conditions), index.filled());
    }

    /** What is held of a site and counts, or null. It is never changed: others may read it while this goes on. */
    public LeasedSummary held(Site site) {
        CachedSummary e = entries.get(site);
        Summary s = e == null ? null : index.at(e.slot);
        return s == null ? null : new LeasedSummary(s, e.since, e.until);
    }

    /** Bytes of the index and of all summaries as they were sent. */
    public long bytes() {
        return bytes + index.bytes();
    }

    private void hold(CachedSummary e, Summary s, int size) {
        index.put(e.slot, s);
        bytes += size - e.bytes;
        e.bytes = size;
        e.epoch = s.epoch();
        e.floor = s.version();
    }

    private void drop(CachedSummary e) {
        index.remove(e.slot);
        bytes -= e.bytes;
        e.bytes = 0;
        e.until = Long.MIN_VALUE;
    }

    private void expire(long at) {
        now = Math.max(now, at);
        while (!due.isEmpty() && due.peek().at <= now) {
            CachedSummary e = due.poll().entry;
            if (e.until <= now) {
                drop(e);
            }
        }
    }

    /** One query's look-up. It holds until the next event. */
    public final class Lookup {
        private final Conditions conditions;
        private final BitSet could;
        private final BitSet cannot;

        private Lookup(Conditions conditions, BitSet could, BitSet all) {
            this.conditions = conditions;
            this.could = could;
            this.cannot = (BitSet) all.clone();
            this.cannot.andNot(could);
        }

        /** The summary that excludes all rows of the query and counts, or null. */
        Summary excluding(Site site) {
            CachedSummary e = entries.get(site);
            return e == null || !cannot.get(e.slot) ? null : index.at(e.slot);
        }

        /** The site's verdict, with the reason. */
        public MatchResult of(Site site) {
            CachedSummary e = entries.get(site);
            if (e == null || index.at(e.slot) == null) {
                return MatchResult.unknown(e != null && e.distrusted ? "its summary excluded rows that it had"
                        : "no promise of its counts now");
            }
            return index.at(e.slot).of(conditions);
        }

        /** How many of the sites known can be left out. */
        public int excluded() {
            return cannot.cardinality();
        }

        /** How many have a summary that counts and admits a match. */
        public int admitted() {
            return could.cardinality();
        }
    }
}
