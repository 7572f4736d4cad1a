package wallmoor.ogc;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OgcConfig;
import wallmoor.config.SummariesConfig;
import wallmoor.core.Gatherer;
import wallmoor.core.MonotonicClock;
import wallmoor.decision.RoutingSettings;
import wallmoor.decision.ShardLayout;
import wallmoor.endpoints.RegistryPolicy;
import wallmoor.endpoints.SourcePolicy;
import wallmoor.http.Server;
import wallmoor.inventory.InventorySource;
import wallmoor.pruning.SummaryLeases;
import wallmoor.rules.RuleReader;
import wallmoor.sources.EndpointUpdater;
import wallmoor.threads.Threads;

/**
 * The front for OGC API - Features Part 1 (Core) with GeoJSON. Each page that a client requests is a query, each
 * shard's share of it is a part, and each feature server is a worker. This class owns the front's gatherer, its
 * endpoint updates and its listening server; {@link ResourceRouter} answers the requests.
 */
public final class FeaturesFront {
    private static final Logger LOG = LoggerFactory.getLogger(FeaturesFront.class);
    /** The maximum number of feature servers. An inventory file of the maximum size, 1 MiB, lists about as many. */
    private static final int MAX_FEATURE_SERVERS = 20_000;
    /** One in this many of the process's sockets is for attempts at feature servers. */
    private static final int FETCH_SOCKETS_DIVISOR = 8;
    /** One in this many of the process's sockets is for clients, and as many threads handle their requests. */
    private static final int CLIENT_SOCKETS_DIVISOR = 16;

    private final ShardLayout layout;
    private final Gatherer gatherer;
    private final EndpointUpdater endpointUpdater;
    private final FeatureQueryRunner queries;
    private final Server server;
    /** The leases on feature servers' summaries; null if all servers are always queried. */
    private final SummaryLeases summaryLeases;

    /**
     * Creates the front and listens; no request is answered before {@link #start}.
     *
     * @param config    the collections, inventory and address of this front
     * @param summaries which feature servers may be pruned from queries, or null if all are always queried
     * @param rules     the rules that the gatherers have agreed on
     * @param launch    the process's settings: sockets, timeouts, zones and the decision module's parameters
     * @param clock     the gatherer's clock
     * @throws IOException if the address can't be listened on
     */
    public FeaturesFront(OgcConfig config, SummariesConfig summaries, RuleReader rules, LaunchConfig launch,
            MonotonicClock clock) throws IOException {
        layout = config.layout();
        RoutingSettings settings = launch.settings().withLayout(layout);
        gatherer = new Gatherer(settings, launch.seed(), clock, LOG);
        var transport = new FeatureServerTransport(gatherer, launch.connectMillis(),
                launch.sockets() / FETCH_SOCKETS_DIVISOR);
        var inventory = new InventorySource(config.inventory(), config.layout(), launch.zones(), launch.kinds());
        var policy = new SourcePolicy(inventory.name(), true, 0, 1, MAX_FEATURE_SERVERS);
        summaryLeases = summaries == null ? null : new SummaryLeases(summaries, launch.name(), clock, rules);
        FeatureServerDirectory directory = summaries == null ? null
                : new FeatureServerDirectory(config, inventory, summaryLeases);
        endpointUpdater = new EndpointUpdater(RegistryPolicy.of(List.of(policy)), clock, gatherer,
                List.of(directory == null ? inventory : directory));
        int clientSockets = launch.sockets() / CLIENT_SOCKETS_DIVISOR;
        var memory = new QueryMemory(Runtime.getRuntime().maxMemory(), clientSockets);
        queries = new FeatureQueryRunner(settings, clock, gatherer, transport, memory);
        var router = new ResourceRouter(config, new ItemsHandler(queries, directory), new FeatureHandler(queries));
        server = new Server("ogc", config.listen(), clientSockets, clientSockets, router::handle, LOG::info);
    }

    /** Starts to serve requests. */
    public void start() {
        endpointUpdater.start();
        Threads.startEssential("ogc-timers", gatherer::runTimers);
        server.start();
    }

    /**
     * Sets how many gatherers share quotas and limits from now on, and this gatherer's index among them.
     *
     * @param count the number of gatherers in the fleet
     * @param index this gatherer's index, from 0
     */
    public void setFleetPosition(int count, int index) {
        gatherer.control().setFleetPosition(count, index);
    }

    /**
     * Shuts down gracefully: asks clients to disconnect, and answers all requests that are still accepted.
     *
     * @param handOverMillis how long requests are still accepted, in milliseconds
     * @param finishMillis   how long accepted requests may take after that, in milliseconds
     */
    public void shutDown(long handOverMillis, long finishMillis) throws IOException, InterruptedException {
        queries.shutDown(handOverMillis + finishMillis);
        server.closeAfterAnswers();
        Thread.sleep(handOverMillis);
        server.finish(finishMillis);
        if (summaryLeases != null) {
            summaryLeases.logTotals();
        }
    }

    /**
     * Changes the settings of queries that are opened from now on. The collections and their layout stay the same.
     *
     * @param next           the settings, with the layout of the calendar nodes
     * @param classNames     the names of the query classes, by index
     * @param removedClasses the indexes of classes that are no longer in force
     * @throws IllegalArgumentException if the settings contradict themselves; then nothing has changed
     */
    public void updateSettings(RoutingSettings next, List<String> classNames, Set<Integer> removedClasses) {
        RoutingSettings changed = next.withLayout(layout);
        gatherer.control().updateSettings(changed, classNames, removedClasses);
        queries.updateSettings(changed);
    }

    /**
     * Applies a reloaded operators' file: its sites may be pruned from now on. Other changes need a restart.
     *
     * @param changed the file's summaries section, or null if it has none
     */
    public void reload(SummariesConfig changed) {
        if (summaryLeases != null) {
            summaryLeases.updatePrunableSites(changed == null ? Set.of() : changed.sites());
        }
    }
}
