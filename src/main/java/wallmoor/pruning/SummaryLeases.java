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
 * The leases on sites' summaries, and which sites a query can leave out (partition pruning). The cache changes under
 * one lock, in control threads; request threads read each site's {@link LeasedSummary} and the clock, and never wait.
 */
public final class SummaryLeases {
    /** The document of the gatherers' agreement that names the sites. */
    public static final String DOCUMENT = "summaries";

    /** A feature server and the blocks that it answers for. */
    public record SummaryServer(String name, String address, Set<String> blocks) {}

    /**
     * What is left out of a query, and under which version.
     *
     * @param under what this gatherer went by of the agreement as the query was opened; null where it agrees with
     *              nobody, and the operators' own file named the sites
     */
    public record PruningDecision(Pruning.Decision decision, EffectiveRule under) {}

    /** Queued findings of request threads; more are of no use, as any one of a site's distrusts it. */
    private static final int MAX_CONTROL_TASKS = 256;
    /** Blocks of all servers; sites beyond them are queried. */
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
    /** What request threads read. Each is immutable, and its lease ends by itself. */
    private final Map<Site, LeasedSummary> leases = new ConcurrentHashMap<>();
    /** Sites whose summary was found wrong. An entry outlives the cached summary. */
    private final Set<Site> distrusted = ConcurrentHashMap.newKeySet();
    /** Findings of request threads for the control threads; a full queue drops them. */
    private final Queue<Runnable> controlTasks = new ArrayBlockingQueue<>(MAX_CONTROL_TASKS);
    /** Guarded by {@link #control}: the address of each site. */
    private final Map<Site, String> addresses = new HashMap<>();
    private volatile Set<String> prunableNames;
    private volatile List<SummaryServer> allServers = List.of();
    private volatile List<SummaryServer> servers = List.of();
    private final LeaseRenewal renewal;
    private final LongAdder asked = new LongAdder();
    private final LongAdder pruned = new LongAdder();
    private final LongAdder probed = new LongAdder();

    /**
     * No lease is requested before {@link #start}.
     *
     * @param gatherer for people; what sites know this process by is drawn anew at each start, since an
     *                 acknowledgement of one process does not hold for another
     * @param clock    microseconds that only go forward, also while this process is paused
     * @param acting   what gatherers agreed on; {@link RuleReader#NONE} where the own file is all there is. By any
     *                 other
     *                 that knows of no version nobody is left out: the file may name what was taken away long ago
     */
    public SummaryLeases(SummariesConfig config, String gatherer, LongSupplier clock, RuleReader acting) {
        this.config = config;
        this.clock = clock;
        this.ruleReader = acting;
        this.prunableNames = config.sites();
        var random = new SecureRandom();
        byte[] drawn = new byte[8];
        random.nextBytes(drawn);
        cache = new SummaryCache(SummaryLimits.usual(),
                new SummaryCache.CacheLimits(MAX_SITES, config.memoryBytes(), config.marginMillis() * 1000),
                random.nextLong(1L << 58), this::logEvent);
        pruning = new Pruning(cache,
                new Pruning.ProbeBudget(config.checkShare(), config.checksPerSecond(), config.checkBurst()),
                new Random(random.nextLong()));
        renewal = new LeaseRenewal(this, config, gatherer + "-" + HexFormat.of().formatHex(drawn));
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
        log.info("summaries: {} shares asked, {} left out, {} asked all the same", asked.sum(), pruned.sum(),
                probed.sum());
    }

    /**
     * All servers that there are from now on. It is called before anything is sent to one that is new or has moved:
     * what was told before of a site that went, or came to another address, counts no more when this returns.
     */
    public void servers(List<SummaryServer> now) {
        synchronized (control) {
            allServers = List.copyOf(now);
            Set<String> wanted = prunableNames;
            servers = allServers.stream().filter(s -> wanted.contains(s.name())).toList();
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

    /** Other sites may be left out from now on. One that was not among them and comes again is trusted again. */
    public void sites(Set<String> changed) {
        synchronized (control) {
            prunableNames = changed;
            distrusted.removeIf(site -> !changed.contains(site.name()));
            servers(allServers);
        }
    }

    /** The servers whose leases are renewed. */
    List<SummaryServer> servers() {
        return servers;
    }

    // ---- control ------------------------------------------------------------------------------------------

    /** A lease is about to be requested at this address: the ticket, or -1 where the site is not there any more. */
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

    /** Applies a widening. The version that it returns counts for request threads by then. */
    long applyWidening(SiteMessage.Widening w) {
        synchronized (control) {
            long version = cache.applyWidening(clock.getAsLong(), w);
            publish(w.site());
            return version;
        }
    }

    boolean hasLease(Site site) {
        return leases.containsKey(site);
    }

    /** Runs what request threads queued. */
    void runControlTasks() {
        for (Runnable r = controlTasks.poll(); r != null; r = controlTasks.poll()) {
            synchronized (control) {
                r.run();
            }
        }
    }

    private void publish(Site site) {
        LeasedSummary held = cache.leased(site);
        if (held == null) {
            leases.remove(site);
        } else {
            leases.put(site, held);
        }
    }

    // ---- traffic ------------------------------------------------------------------------------------------

    /**
     * Which of a query's shares are asked. The version that acts and the clock are read in this call, after the query
     * came; both hold for the whole of it.
     */
    public PruningDecision decide(Conditions conditions, List<Pruning.Share> shares, boolean mayRepeat) {
        EffectiveRule act = ruleReader.effectiveRule(DOCUMENT);
        long now = clock.getAsLong();
        Pruning.Decision d = pruning.decide(now, conditions, shares, mayRepeat, site -> excluding(now, act, conditions,
                site));
        asked.add(d.ask().size());
        pruned.add(d.pruned().size());
        probed.add(d.probes().size());
        return new PruningDecision(d, hasAgreement() ? act : null);
    }

    private Summary excluding(long now, EffectiveRule act, Conditions conditions, Site site) {
        LeasedSummary held = leases.get(site);
        if (held == null || distrusted.contains(site) || !prunable(now, act, site.name(), held)) {
            return null;
        }
        return held.excluding(now, conditions);
    }

    private boolean hasAgreement() {
        return ruleReader != RuleReader.NONE;
    }

    /** Whether the operators' file lets it be left out, and the acting version too where there is an agreement. */
    private boolean prunable(long now, EffectiveRule act, String site, LeasedSummary held) {
        return prunableNames.contains(site) && (!hasAgreement() || PrunableSites.allow(act, site, now - held.since()));
    }

    /**
     * What came of a share that was asked all the same. Rows of a site whose summary still counts and is what it was
     * prove it wrong: had they been confirmed since, this gatherer would have heard before.
     *
     * @param rows    in the answer
     * @param epoch   of the site's data by its answer, and {@code version}; {@link Long#MIN_VALUE} where untold
     * @return whether the summary was found wrong, and is taken out
     */
    public boolean probed(Pruning.PrunedShard cut, Site site, long epoch, long version, long rows) {
        Summary by = cut.by(site);
        LeasedSummary held = leases.get(site);
        long now = clock.getAsLong();
        if (held == null || held.summary() != by || held.until() <= now
                || !Pruning.wrong(cut, site, epoch, version, rows) || !distrusted.add(site)) {
            return false;
        }
        // where there is no room others have filled it: this one is taken out all the same, and the log says less
        if (!controlTasks.offer(() -> {
            pruning.probed(clock.getAsLong(), cut, site, epoch, version, rows);
            publish(site);
        })) {
            log.error(STATE, "the summary of {} block {} excluded rows that it has: it is taken out", site.name(),
                    site.block());
        }
        return true;
    }

    /** The leased summaries, a line each, for operators and tests. */
    public List<String> lines() {
        var lines = new ArrayList<String>();
        leases.forEach((site, held) -> lines.add(site.name() + " " + site.block() + " version "
                + held.summary().version()));
        return lines;
    }
}
