package wallmoor.summaries;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The grantor's side of the leases: maintains a site's summary of one block and decides when a write may be confirmed,
 * which is when each lease holder has acknowledged a summary that covers the write, or its lease has ended. Does no
 * input or output; not thread-safe. Times are in microseconds and never go back.
 */
public final class SummaryMaintainer {
    /** A write that waits until no lease on an older version runs. */
    private record PendingWrite(long id, long version) {}

    private record OutstandingLease(Summary summary, long until) {}

    /**
     * The decision whether a write may be confirmed, and which gatherers are to be notified first.
     *
     * @param id       number of the write
     * @param confirm  whether it may be confirmed at once; else its id is returned later, by {@link #acknowledged} or
     *                 {@link #tick}
     * @param widening message to send to each of {@code gatherersToNotify}, in order, repeated until acknowledged; or
     *                 null
     * @param gatherersToNotify gatherers with a lease
     */
    public record WriteDecision(long id, boolean confirm, SiteMessage.Widening widening,
            List<String> gatherersToNotify) {}

    /** Maximum number of gatherers with a lease; every write that widens the summary waits for each of them. */
    private static final int MAX_LEASE_HOLDERS = 1000;

    private final SummaryLimits limits;
    private final Site site;
    private final long epoch;
    private final long lifetime;
    /** The time before which no write is confirmed, as leases of an earlier incarnation may still run. */
    private final long quietUntil;
    /** The end of each lease, by gatherer and version. */
    private final Map<String, TreeMap<Long, Long>> leaseEnds = new HashMap<>();
    /**
     * The summaries granted in full, by version, with the end of the last lease on each. How a holder applies a
     * widening to its copy is not known; it is only certain that the copy admits everything that was granted.
     */
    private final Map<Long, OutstandingLease> outstanding = new HashMap<>();
    private final List<PendingWrite> pendingWrites = new ArrayList<>();
    private SummaryBuilder builder;
    private SummaryBuilder rebuilding;
    /** The summary of {@link #version}, or null until requested: building it costs many times as much as a write. */
    private Summary currentSummary;
    private long version = 1;
    private long lastWriteId;

    /**
     * Creates a maintainer of a block's summary.
     *
     * @param draft    builder with all existing rows
     * @param epoch    epoch of this incarnation, larger than all earlier ones
     * @param at       current time
     * @param lifetime duration of a lease, in microseconds
     * @param first    whether this site never granted a lease on this block before; otherwise all writes wait for one
     *                 lifetime
     */
    public SummaryMaintainer(SummaryLimits limits, Site site, long epoch, SummaryBuilder draft, long at,
            long lifetime,
            boolean first) {
        this.limits = limits;
        this.site = site;
        this.epoch = epoch;
        this.builder = draft;
        this.lifetime = lifetime;
        this.quietUntil = first ? at : at + lifetime;
        this.currentSummary = draft.build(version);
        if (currentSummary.epoch() != epoch || !currentSummary.site().equals(site.name())
                || !currentSummary.block().equals(site.block())) {
            throw new IllegalArgumentException("the draft is of site " + currentSummary.site() + " block "
                    + currentSummary.block() + " epoch " + currentSummary.epoch() + ", not of site " + site.name()
                    + " block " + site.block() + " epoch " + epoch);
        }
    }

    /** Grants a gatherer a lease on the summary, with a lifetime of 0 if there are too many holders. */
    public SiteMessage.SummaryLeaseGrant grantLease(long at, String gatherer, long ticket) {
        hasNoOlderLeases(at, 0); // removes leases that have ended
        if (!leaseEnds.containsKey(gatherer) && leaseEnds.size() >= MAX_LEASE_HOLDERS) {
            return new SiteMessage.SummaryLeaseGrant(ticket, Encoding.encode(currentSummary()), 0);
        }
        leaseEnds.computeIfAbsent(gatherer, g -> new TreeMap<>()).merge(version, at + lifetime, Math::max);
        outstanding.put(version, new OutstandingLease(currentSummary(), at + lifetime));
        return new SiteMessage.SummaryLeaseGrant(ticket, Encoding.encode(currentSummary()), lifetime);
    }

    /** Adds rows that are to be written, and decides whether they may be confirmed at once. */
    public WriteDecision write(long at, List<Row> rows) {
        var deltaBuilder = new SummaryBuilder(limits, site.name(), site.block(), epoch);
        for (Row row : rows) {
            deltaBuilder.add(row);
            builder.add(row);
            if (rebuilding != null) {
                rebuilding.add(row);
            }
        }
        Summary delta = deltaBuilder.build(0);
        boolean unleased = hasNoOlderLeases(at, version + 1);
        // a summary that was not sent yet counts too, as each version has exactly one summary
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
     * Records that a gatherer has applied a widening to this version, or dropped its copy.
     *
     * @return the writes that may be confirmed now
     */
    public List<Long> acknowledged(long at, String gatherer, long version) {
        var gathererLeases = leaseEnds.get(gatherer);
        if (gathererLeases != null && version <= this.version) {
            var older = gathererLeases.headMap(version);
            long until = older.values().stream().mapToLong(Long::longValue).max().orElse(Long.MIN_VALUE);
            older.clear();
            if (until > at) {
                gathererLeases.merge(version, until, Math::max);
            }
        }
        return confirmable(at);
    }

    /**
     * Returns the writes that may be confirmed now because all leases that exclude them have ended.
     */
    public List<Long> tick(long at) {
        return confirmable(at);
    }

    /** Returns the time at which {@link #tick} is next due, or {@link Long#MAX_VALUE}. */
    public long nextDeadline() {
        if (pendingWrites.isEmpty()) {
            return Long.MAX_VALUE;
        }
        return Math.max(quietUntil, leaseEnds.values().stream().flatMap(g -> g.values().stream())
                .mapToLong(Long::longValue)
                .min().orElse(quietUntil));
    }

    /**
     * Starts to rebuild the summary, which deleted rows leave wider than necessary. The caller adds all existing rows
     * to the builder.
     */
    public SummaryBuilder rebuild() {
        rebuilding = new SummaryBuilder(limits, site.name(), site.block(), epoch);
        return rebuilding;
    }

    /** Replaces the summary by the rebuilt one, to which all rows were added; revokes leases on older versions. */
    public WriteDecision adopt(long at) {
        if (rebuilding == null) {
            throw new IllegalStateException("adopt() without rebuild()");
        }
        builder = rebuilding;
        rebuilding = null;
        advanceVersion();
        hasNoOlderLeases(at, version); // removes leases that have ended
        return new WriteDecision(++lastWriteId, true, new SiteMessage.Widening(site, epoch, version - 1, version, null),
                List.copyOf(leaseEnds.keySet()));
    }

    /** Returns the summary of the current version. */
    public Summary currentSummary() {
        currentSummary = currentSummary == null ? builder.build(version) : currentSummary;
        return currentSummary;
    }

    private List<Long> confirmable(long at) {
        var confirmableIds = new ArrayList<Long>();
        pendingWrites.removeIf(w -> {
            boolean unleased = hasNoOlderLeases(at, w.version);
            if (unleased) {
                confirmableIds.add(w.id);
            }
            return unleased;
        });
        return confirmableIds;
    }

    /** Removes leases that have ended, and returns whether no lease on an older version than this one runs. */
    private boolean hasNoOlderLeases(long at, long version) {
        leaseEnds.values().forEach(g -> g.values().removeIf(until -> until <= at));
        leaseEnds.values().removeIf(Map::isEmpty);
        outstanding.values().removeIf(x -> x.until <= at);
        return at >= quietUntil && leaseEnds.values().stream().allMatch(g -> g.firstKey() >= version);
    }
}
