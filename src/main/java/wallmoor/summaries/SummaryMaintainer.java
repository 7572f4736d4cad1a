package wallmoor.summaries;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The grantor's side of the leases: a site's summary of one block, and when a write may be confirmed. By then each
 * lease holder has acknowledged a summary that covers the write, or its lease has ended. Decides only and does no input
 * or output; not thread-safe. Times are in microseconds and never go back.
 */
public final class SummaryMaintainer {
    /** A write that waits until no lease on an older version runs. */
    private record PendingWrite(long id, long version) {}

    private record OutstandingLease(Summary summary, long until) {}

    /**
     * Whether a write may be confirmed, and who is to be notified first.
     *
     * @param id       of the write
     * @param confirm  whether it may be confirmed at once; else its id is returned later, by {@link #acknowledged} or
     *                 {@link #tick}
     * @param widening to be sent to each of {@code gatherersToNotify}, in order, again until acknowledged; or null
     * @param gatherersToNotify gatherers with a lease
     */
    public record WriteDecision(long id, boolean confirm, SiteMessage.Widening widening,
            List<String> gatherersToNotify) {}

    /** Gatherers with a lease at once: every write that widens waits for each of them. */
    private static final int MAX_LEASE_HOLDERS = 1000;

    private final SummaryLimits settings;
    private final Site site;
    private final long epoch;
    private final long lifetime;
    /** Before this nothing is confirmed: an earlier incarnation may have granted leases that are not known any more. */
    private final long quietUntil;
    /** By gatherer and version, when its lease on that version ends. */
    private final Map<String, TreeMap<Long, Long>> leaseEnds = new HashMap<>();
    /**
     * The summaries granted in full, by version, and when the last lease on each ends. How a holder applies a widening
     * to its copy is its own affair: that the copy admits all of what was granted is what can be relied on.
     */
    private final Map<Long, OutstandingLease> outstanding = new HashMap<>();
    private final List<PendingWrite> pendingWrites = new ArrayList<>();
    private SummaryBuilder builder;
    private SummaryBuilder rebuilding;
    /** Of {@link #version}, or null until it is requested: building it costs many times what a write does. */
    private Summary currentSummary;
    private long version = 1;
    private long lastWriteId;

    /**
     * Maintains a block's summary.
     *
     * @param draft    of all rows there are
     * @param epoch    larger than in any earlier incarnation
     * @param at       now
     * @param lifetime of a lease, in microseconds
     * @param first    whether this site never granted a lease on this block before; else all writes wait for one
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

    /** Grants a gatherer a lease on the summary; beyond the limit of holders, one with no lifetime. */
    public SiteMessage.SummaryLeaseGrant grantLease(long at, String gatherer, long ticket) {
        noOlderLeases(at, 0); // forgets leases that have ended
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
        boolean unleased = noOlderLeases(at, version + 1);
        // also what is not sent yet: of one version there is one summary
        boolean covered = (currentSummary == null || currentSummary.covers(delta)) && outstanding.values().stream()
                .allMatch(s -> s.summary.covers(delta));
        if (at >= quietUntil && (unleased || covered)) {
            if (unleased) {
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
     * A gatherer has applied a widening to this version, or dropped its copy.
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
     * The writes that may be confirmed now, as all leases that exclude them have ended.
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
     * Begins to rebuild the summary, as deleted rows leave the old one too wide: the caller adds every row there is.
     */
    public SummaryBuilder rebuild() {
        rebuilding = new SummaryBuilder(settings, site.name(), site.block(), epoch);
        return rebuilding;
    }

    /** Replaces the summary by the rebuilt one, with all rows in it. Leases on older versions are revoked. */
    public WriteDecision adopt(long at) {
        if (rebuilding == null) {
            throw new IllegalStateException("no summary was begun");
        }
        builder = rebuilding;
        rebuilding = null;
        advanceVersion();
        noOlderLeases(at, version); // forgets leases that have ended
        return new WriteDecision(++lastWriteId, true, new SiteMessage.Widening(site, epoch, version - 1, version, null),
                List.copyOf(leaseEnds.keySet()));
    }

    /** The summary of the present version. */
    public Summary currentSummary() {
        currentSummary = currentSummary == null ? builder.build(version) : currentSummary;
        return currentSummary;
    }

    private List<Long> confirmable(long at) {
        var now = new ArrayList<Long>();
        pendingWrites.removeIf(w -> {
            boolean unleased = noOlderLeases(at, w.version);
            if (unleased) {
                now.add(w.id);
            }
            return unleased;
        });
        return now;
    }

    /** Whether no lease on a version older than this one runs. */
    private boolean noOlderLeases(long at, long version) {
        leaseEnds.values().forEach(g -> g.values().removeIf(until -> until <= at));
        leaseEnds.values().removeIf(Map::isEmpty);
        outstanding.values().removeIf(x -> x.until <= at);
        return at >= quietUntil && leaseEnds.values().stream().allMatch(g -> g.firstKey() >= version);
    }
}
