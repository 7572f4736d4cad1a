package wallmoor.summaries;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A site's side: it keeps the summary of one block, and says when a write may be confirmed. Whoever was promised a
 * summary has acknowledged a wider one by then, or the promise has ended. Decides only; one caller at a time, times in
 * microseconds, never going back.
 */
public final class SummaryMaintainer {
    /** A write that waits. */
    private record PendingWrite(long id, long version) {}

    private record OutstandingLease(Summary summary, long until) {}

    /**
     * What comes of writing.
     *
     * @param id       of the write
     * @param confirm  whether it may be confirmed at once; else its id is told later
     * @param widening to be told to all of {@code tell}, in order, again until acknowledged; or null
     * @param gatherersToNotify     gatherers
     */
    public record WriteDecision(long id, boolean confirm, SiteMessage.Widening widening,
            List<String> gatherersToNotify) {}

    /** Gatherers that are promised anything at once: every write that widens waits for each of them. */
    private static final int MAX_LEASE_HOLDERS = 1000;

    private final SummaryLimits settings;
    private final Site site;
    private final long epoch;
    private final long lifetime;
    /** Before this nothing is confirmed: a life before this one may have promised what is not known any more. */
    private final long quietUntil;
    /** By gatherer and version, until when it may hold that version. */
    private final Map<String, TreeMap<Long, Long>> leaseEnds = new HashMap<>();
    /**
     * What was sent as it stands and may still be held, with the widenings since, and until when. How a holder puts
     * a widening to what it has is its own affair: that it admits all of what was sent is what can be built on.
     */
    private final Map<Long, OutstandingLease> outstanding = new HashMap<>();
    private final List<PendingWrite> pendingWrites = new ArrayList<>();
    private SummaryBuilder builder;
    private SummaryBuilder rebuilding;
    /** Of {@link #version}, or null until somebody asks: making it costs many times what a write does. */
    private Summary currentSummary;
    private long version = 1;
    private long lastWriteId;

    /**
     * Keeps a block's summary.
     *
     * @param draft    of all rows there are
     * @param epoch    larger than in any life before
     * @param at       now
     * @param lifetime of a promise
     * @param first    whether this site never promised anything of this block before; else all writes wait for one
     *              lifetime
     */
    public SummaryMaintainer(SummaryLimits settings, Site site, long epoch, SummaryBuilder draft, long at,
            long lifetime,
            boolean first) {
        this.settings = settings;
        this.site = site;
        this.epoch = epoch;
        this.builder = draft;
        this.lifetime = lifetime;
        this.quietUntil = first ? at : at + lifetime;
        this.currentSummary = draft.build(version);
        if (currentSummary.epoch() != epoch || !currentSummary.site().equals(site.name())
                || !currentSummary.block().equals(site.block())) {
            throw new IllegalArgumentException("the draft is of another site, block or epoch");
        }
    }

    /** A gatherer asks for the summary. What is promised to one too many has ended when it comes. */
    public SiteMessage.SummaryLeaseGrant grantLease(long at, String gatherer, long ticket) {
        noOlderLeases(at, 0); // forgets promises that have ended
        if (!leaseEnds.containsKey(gatherer) && leaseEnds.size() >= MAX_LEASE_HOLDERS) {
            return new SiteMessage.SummaryLeaseGrant(ticket, Encoding.encode(currentSummary()), 0);
        }
        leaseEnds.computeIfAbsent(gatherer, g -> new TreeMap<>()).merge(version, at + lifetime, Math::max);
        outstanding.put(version, new OutstandingLease(currentSummary(), at + lifetime));
        return new SiteMessage.SummaryLeaseGrant(ticket, Encoding.encode(currentSummary()), lifetime);
    }

    /** Rows are to be written: they are covered from now on, and confirmed when this says so. */
    public WriteDecision write(long at, List<Row> rows) {
        var alone = new SummaryBuilder(settings, site.name(), site.block(), epoch);
        for (Row row : rows) {
            alone.add(row);
            builder.add(row);
            if (rebuilding != null) {
                rebuilding.add(row);
            }
        }
        Summary delta = alone.build(0);
        boolean free = noOlderLeases(at, version + 1);
        // also what is not sent yet: of one version there is one summary
        boolean covered = (currentSummary == null || currentSummary.covers(delta)) && outstanding.values().stream()
                .allMatch(s -> s.summary.covers(delta));
        if (at >= quietUntil && (free || covered)) {
            if (free) {
                advanceVersion();
            }
            return new WriteDecision(++lastWriteId, true, null, List.of());
        }
        long from = version;
        advanceVersion();
        pendingWrites.add(new PendingWrite(++lastWriteId, version));
        return new WriteDecision(lastWriteId, false,
                new SiteMessage.Widening(site, epoch, from, version, Encoding.encode(delta)),
                List.copyOf(leaseEnds.keySet()));
    }

    private void advanceVersion() {
        version++;
        currentSummary = null;
    }

    /**
     * A gatherer has taken in a widening to this version, or dropped what it held.
     *
     * @return the writes that may be confirmed now
     */
    public List<Long> acknowledged(long at, String gatherer, long version) {
        var own = leaseEnds.get(gatherer);
        if (own != null && version <= this.version) {
            var older = own.headMap(version);
            long until = older.values().stream().mapToLong(Long::longValue).max().orElse(Long.MIN_VALUE);
            older.clear();
            if (until > at) {
                own.merge(version, until, Math::max);
            }
        }
        return confirmable(at);
    }

    /**
     * What time alone brings about: the writes that may be confirmed now, as all promises that exclude them have ended.
     */
    public List<Long> tick(long at) {
        return confirmable(at);
    }

    /** When {@link #tick} has something to do, or {@link Long#MAX_VALUE}. */
    public long nextDeadline() {
        if (pendingWrites.isEmpty()) {
            return Long.MAX_VALUE;
        }
        return Math.max(quietUntil, leaseEnds.values().stream().flatMap(g -> g.values().stream())
                .mapToLong(Long::longValue)
                .min().orElse(quietUntil));
    }

    /**
     * Begins a summary anew, as deleted rows leave the old one too wide: the caller adds to it every row that there is.
     */
    public SummaryBuilder rebuild() {
        rebuilding = new SummaryBuilder(settings, site.name(), site.block(), epoch);
        return rebuilding;
    }

    /** All rows are in the new summary. It stands from now on; what was told before is to be asked for anew. */
    public WriteDecision adopt(long at) {
        if (rebuilding == null) {
            throw new IllegalStateException("no summary was begun");
        }
        builder = rebuilding;
        rebuilding = null;
        advanceVersion();
        noOlderLeases(at, version); // forgets promises that have ended
        return new WriteDecision(++lastWriteId, true, new SiteMessage.Widening(site, epoch, version - 1, version, null),
                List.copyOf(leaseEnds.keySet()));
    }

    /** What is told now. */
    public Summary currentSummary() {
        currentSummary = currentSummary == null ? builder.build(version) : currentSummary;
        return currentSummary;
    }

    private List<Long> confirmable(long at) {
        var now = new ArrayList<Long>();
        pendingWrites.removeIf(w -> {
            boolean free = noOlderLeases(at, w.version);
            if (free) {
                now.add(w.id);
            }
            return free;
        });
        return now;
    }

    /** Whether nobody may hold a version older than this one. */
    private boolean noOlderLeases(long at, long version) {
        leaseEnds.values().forEach(g -> g.values().removeIf(until -> until <= at));
        leaseEnds.values().removeIf(Map::isEmpty);
        outstanding.values().removeIf(x -> x.until <= at);
        return at >= quietUntil && leaseEnds.values().stream().allMatch(g -> g.firstKey() >= version);
    }
}
