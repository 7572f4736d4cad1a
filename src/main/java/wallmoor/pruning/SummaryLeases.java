package wallmoor.pruning;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import org.slf4j.MarkerFactory;
import wallmoor.config.SummariesConfig;
import wallmoor.log.Logging;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.RuleReader;
import wallmoor.summaries.Conditions;
import wallmoor.summaries.LeasedSummary;
import wallmoor.summaries.Pruning;
import wallmoor.summaries.PruningEvent;
import wallmoor.summaries.Site;
import wallmoor.summaries.SiteMessage;
import wallmoor.summaries.Summary;
import wallmoor.summaries.SummaryCache;
import wallmoor.summaries.SummaryLimits;

/**
 * The leases on sites' summaries, by which queries prune sites (partition pruning). The cache changes under one lock,
 * in control threads; request threads read each site's {@link LeasedSummary} and the clock, and never wait.
 */
public final class SummaryLeases {
    /** The name of the agreed document that names the prunable sites. */
    public static final String DOCUMENT = "summaries";

    /** A feature server with the blocks that it serves. */
    public record SummaryServer(String name, String address, Set<String> blocks) {}

    /**
     * A pruning decision on a query, with the rule under which it was made.
     *
     * @param effectiveRule the agreed rule in effect when the query was opened; null if there is no agreement and only
     *                      the operators' file names the prunable sites
     */
    public record PruningDecision(Pruning.Decision decision, EffectiveRule effectiveRule) {}

    /** Maximum queued results of request threads. No more are needed, as one result makes a site distrusted. */
    private static final int MAX_CONTROL_TASKS = 256;
    /** Maximum number of sites, over the blocks of all servers; further sites are queried. */
    private static final int MAX_SITES = 100_000;
    private static final Marker STATE = MarkerFactory.getMarker(Logging.STATE);

    private final Logger log = LoggerFactory.getLogger(SummaryLeases.class);
    private final SummariesConfig config;
    private final LongSupplier clock;
    private final RuleReader ruleReader;
    private final Object control = new Object();
    /** Guarded by {@link #control}. */
    private final SummaryCache cache;
    private final Pruning pruning;
    /** The snapshots that request threads read. Each is immutable, and a reader checks the end of its lease. */
    private final Map<Site, LeasedSummary> leases = new ConcurrentHashMap<>();
    /** Sites whose summary was found wrong. An entry remains after the cached summary is dropped. */
    private final Set<Site> distrusted = ConcurrentHashMap.newKeySet();
    /** Results of request threads for the control threads; dropped if the queue is full. */
    private final Queue<Runnable> controlTasks = new ArrayBlockingQueue<>(MAX_CONTROL_TASKS);
    /** The address of each site; guarded by {@link #control}. */
    private final Map<Site, String> addresses = new HashMap<>();
    private volatile Set<String> prunableNames;
    private volatile List<SummaryServer> allServers = List.of();
    private volatile List<SummaryServer> servers = List.of();
    private final LeaseRenewal renewal;
    private final LongAdder queriedShards = new LongAdder();
    private final LongAdder prunedShards = new LongAdder();
    private final LongAdder probedShards = new LongAdder();

    /**
     * Creates the leases. No lease is requested before {@link #start}.
     *
     * @param gatherer   name for operators; a random suffix is added at each start, since an acknowledgement of one
     *                   process is not valid for another
     * @param clock      monotonic time in microseconds that goes on while this process is paused
     * @param ruleReader source of the agreed rule, or {@link RuleReader#NONE} if only the operators' file applies. With
     *                   any other reader that knows no version, no site is pruned, as the file may be outdated
     */
    public SummaryLeases(SummariesConfig config, String gatherer, LongSupplier clock, RuleReader ruleReader) {
        this.config = config;
        this.clock = clock;
        this.ruleReader = ruleReader;
        this.prunableNames = config.sites();
        var random = new SecureRandom();
        byte[] suffix = new byte[8];
        random.nextBytes(suffix);
        cache = new SummaryCache(SummaryLimits.defaults(),
                new SummaryCache.CacheLimits(MAX_SITES, config.memoryBytes(), config.marginMillis() * 1000),
                random.nextLong(1L << 58), this::logEvent);
        pruning = new Pruning(cache,
                new Pruning.ProbeBudget(config.checkShare(), config.checksPerSecond(), config.checkBurst()),
                new Random(random.nextLong()));
        renewal = new LeaseRenewal(this, config, gatherer + "-" + HexFormat.of().formatHex(suffix));
    }

    private void logEvent(PruningEvent event) {
        log.atError().addMarker(STATE).addKeyValue("site", event.site().name())
                .addKeyValue("block", event.site().block()).addKeyValue("event", event.getClass().getSimpleName())
                .log(event.text());
    }

    /** Starts the threads that request and renew leases. */
    public void start() {
        renewal.start();
    }

    /** Logs the totals, at shutdown. */
    public void logTotals() {
        log.info("pruning totals: queried={} pruned={} probed={}", queriedShards.sum(), prunedShards.sum(),
                probedShards.sum());
    }

    /**
     * Replaces the list of servers. It is called before any request is sent to a server that is new or has moved. When
     * it returns, the earlier summaries of sites that were removed or changed their address are no longer valid.
     */
    public void updateServers(List<SummaryServer> newServers) {
        synchronized (control) {
            allServers = List.copyOf(newServers);
            Set<String> prunable = prunableNames;
            servers = allServers.stream().filter(s -> prunable.contains(s.name())).toList();
            var next = new HashMap<Site, String>();
            servers.forEach(s -> s.blocks().forEach(b -> next.put(new Site(s.name(), b), s.address())));
            for (Map.Entry<Site, String> old : addresses.entrySet()) {
                if (!old.getValue().equals(next.get(old.getKey()))) {
                    cache.remove(clock.getAsLong(), old.getKey());
                    leases.remove(old.getKey());
                }
            }
            addresses.clear();
            addresses.putAll(next);
        }
    }

    /** Replaces the names of the prunable sites. A site that is removed and added again later is trusted again. */
    public void updatePrunableSites(Set<String> changed) {
        synchronized (control) {
            prunableNames = changed;
            distrusted.removeIf(site -> !changed.contains(site.name()));
            updateServers(allServers);
        }
    }

    /** Returns the servers whose leases are renewed. */
    List<SummaryServer> servers() {
        return servers;
    }

    // ---- control ------------------------------------------------------------------------------------------

    /** Starts a request for a lease. Returns its ticket, or -1 if the site is no longer at this address. */
    long beginRequest(Site site, String address) {
        synchronized (control) {
            return address.equals(addresses.get(site)) ? cache.beginRequest(clock.getAsLong(), site) : -1;
        }
    }

    void acceptGrant(Site site, SiteMessage.SummaryLeaseGrant grant) {
        synchronized (control) {
            // a shorter lease is always safe
            long lifetime = Math.min(grant.lifetime(), config.lifetimeMillis() * 1000);
            cache.acceptGrant(clock.getAsLong(),
                    new SiteMessage.SummaryLeaseGrant(grant.ticket(), grant.summary(), lifetime));
            publish(site);
        }
    }

    /** Applies a widening. Returns the version that is in effect for request threads from then on. */
    long applyWidening(SiteMessage.Widening widening) {
        synchronized (control) {
            long version = cache.applyWidening(clock.getAsLong(), widening);
            publish(widening.site());
            return version;
        }
    }

    boolean hasLease(Site site) {
        return leases.containsKey(site);
    }

    /** Runs the tasks that request threads queued. */
    void runControlTasks() {
        for (Runnable r = controlTasks.poll(); r != null; r = controlTasks.poll()) {
            synchronized (control) {
                r.run();
            }
        }
    }

    private void publish(Site site) {
        LeasedSummary leased = cache.leased(site);
        if (leased == null) {
            leases.remove(site);
        } else {
            leases.put(site, leased);
        }
    }

    // ---- request ------------------------------------------------------------------------------------------

    /**
     * Decides which shards of a query are queried. The rule in effect and the clock are read once, in this call, and
     * apply to the entire query.
     */
    public PruningDecision decide(Conditions conditions, List<Pruning.Share> shares, boolean mayRepeat) {
        EffectiveRule rule = ruleReader.effectiveRule(DOCUMENT);
        long now = clock.getAsLong();
        Pruning.Decision decision = pruning.decide(now, conditions, shares, mayRepeat,
                site -> excluding(now, rule, conditions, site));
        queriedShards.add(decision.ask().size());
        prunedShards.add(decision.pruned().size());
        probedShards.add(decision.probes().size());
        return new PruningDecision(decision, hasAgreement() ? rule : null);
    }

    private Summary excluding(long now, EffectiveRule rule, Conditions conditions, Site site) {
        LeasedSummary leased = leases.get(site);
        if (leased == null || distrusted.contains(site) || !isPrunable(now, rule, site.name(), leased)) {
            return null;
        }
        return leased.excluding(now, conditions);
    }

    private boolean hasAgreement() {
        return ruleReader != RuleReader.NONE;
    }

    /** Returns whether the operators' file, and the rule in effect if there is an agreement, allow pruning the site. */
    private boolean isPrunable(long now, EffectiveRule rule, String site, LeasedSummary leased) {
        return prunableNames.contains(site)
                && (!hasAgreement() || PrunableSites.allow(rule, site, now - leased.since()));
    }

    /**
     * Takes the result of a probe. Rows of a site whose leased summary is unchanged since the decision prove the
     * summary wrong: before the site confirms new rows, this gatherer receives a widening.
     *
     * @param epoch   epoch of the site's data in the answer; {@link Long#MIN_VALUE} if unknown
     * @param version version of the site's data in the answer; {@link Long#MIN_VALUE} if unknown
     * @param rows    number of rows in the answer
     * @return whether the summary was found wrong and is taken out of use
     */
    public boolean reportProbe(Pruning.PrunedShard cut, Site site, long epoch, long version, long rows) {
        Summary summary = cut.summaryOf(site);
        LeasedSummary leased = leases.get(site);
        long now = clock.getAsLong();
        if (leased == null || leased.summary() != summary || leased.until() <= now
                || !Pruning.disprovesSummary(cut, site, epoch, version, rows) || !distrusted.add(site)) {
            return false;
        }
        // if the queue is full, the site is distrusted all the same, but the log line has fewer details
        if (!controlTasks.offer(() -> {
            pruning.reportProbe(clock.getAsLong(), cut, site, epoch, version, rows);
            publish(site);
        })) {
            log.error(STATE, "the summary of {} block {} excluded rows that it has: the summary is taken out of use",
                    site.name(), site.block());
        }
        return true;
    }

    /** Returns the leased summaries, a line each, for operators and tests. */
    public List<String> lines() {
        var lines = new ArrayList<String>();
        leases.forEach((site, leased) -> lines.add(site.name() + " " + site.block() + " version "
                + leased.summary().version()));
        return lines;
    }
}
