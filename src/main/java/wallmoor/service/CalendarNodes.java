package wallmoor.service;

import java.net.Proxy;
import java.net.Socket;
import java.util.List;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.helpers.NOPLogger;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;
import wallmoor.core.Gatherer;
import wallmoor.core.MonotonicClock;
import wallmoor.core.WorkerEndpoint;
import wallmoor.core.WorkerTransport;
import wallmoor.discovery.DiscoveryWatch;
import wallmoor.frames.ConnectionLimits;
import wallmoor.frames.WorkerConnectionPool;
import wallmoor.json.Json;
import wallmoor.metrics.GathererMetrics;
import wallmoor.sources.EndpointUpdater;
import wallmoor.threads.Threads;

/**
 * The calendar nodes and what all fronts share to query them: one gatherer, one connection pool and one endpoint
 * registry. A front only adds its protocol.
 */
final class CalendarNodes {
    private final Gatherer gatherer;
    private final WorkerConnectionPool connections;
    private final Sources sources;
    private final DiscoveryWatch nodeList;
    private Thread timers;

    private CalendarNodes(LaunchConfig launch, MonotonicClock clock, OperatorConfig operator, Supplier<Socket> sockets,
            GathererMetrics metrics)
            throws Json.Malformed {
        Logger log = operator == null ? NOPLogger.NOP_LOGGER : LoggerFactory.getLogger(Gatherer.class);
        gatherer = new Gatherer(launch.settings(), launch.classes(), launch.seed(), clock, log, metrics);
        nodeList = operator == null || !operator.list().enabled() ? null : new DiscoveryWatch(launch, gatherer);
        sources = operator == null ? null : Sources.of(operator, launch, clock, gatherer, nodeList);
        boolean isListOnlySource = operator == null || operator.isListOnly();
        connections = new WorkerConnectionPool(gatherer, ConnectionLimits.of(launch, sockets,
                isListOnlySource ? (id, up) -> {} : sources.endpointUpdater()::reportConnection));
    }

    /** Returns the nodes that the configured sources name. */
    static CalendarNodes of(LaunchConfig launch, MonotonicClock clock, OperatorConfig operator, GathererMetrics metrics)
            throws Json.Malformed {
        // without a proxy, whatever the JVM's proxy settings say
        return new CalendarNodes(launch, clock, operator, () -> new Socket(Proxy.NO_PROXY), metrics);
    }

    /**
     * Returns these nodes without any source, for a warm-up; the gatherer's timers run at once.
     *
     * @param sockets creates the sockets that connect to the nodes
     */
    static CalendarNodes withoutSources(LaunchConfig launch, MonotonicClock clock, Supplier<Socket> sockets,
            List<WorkerEndpoint> members) {
        try {
            var nodes = new CalendarNodes(launch, clock, null, sockets, new GathererMetrics());
            nodes.gatherer.control().start(members);
            nodes.timers = Threads.start("rehearsal-timers", nodes.gatherer::runTimers);
            return nodes;
        } catch (Json.Malformed e) {
            throw new IllegalStateException(e); // can't happen: without sources no list is parsed
        }
    }

    Gatherer gatherer() {
        return gatherer;
    }

    WorkerTransport workers() {
        return connections;
    }

    EndpointUpdater endpointUpdater() {
        return sources.endpointUpdater();
    }

    /** Begins to watch the sources and to run the gatherer's timers. */
    void start() {
        endpointUpdater().start();
        timers = Threads.startEssential("timers", gatherer::runTimers);
    }

    /** Applies reloaded files except their settings: the watch's address and the way DNS is queried. */
    void reload(LaunchConfig changed, OperatorConfig file) {
        sources.reload(file);
        if (nodeList != null) {
            nodeList.reload(changed);
        }
    }

    /** Stops the timers and closes all connections. */
    void close() {
        if (timers != null) {
            timers.interrupt();
        }
        connections.close();
    }
}
