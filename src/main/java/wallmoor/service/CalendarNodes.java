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
import wallmoor.http.Threads;
import wallmoor.json.Json;
import wallmoor.metrics.GathererMetrics;
import wallmoor.sources.EndpointUpdater;

/**
 * The calendar nodes with all that is shared by the fronts that serve them: one gatherer, one set of connections, one
 * roster. A front adds a wire; it has none of these of its own.
 */
final class CalendarNodes {
    private final Gatherer gatherer;
    private final WorkerConnectionPool links;
    private final Sources sources;
    private final DiscoveryWatch list;
    private Thread timers;

    private CalendarNodes(LaunchConfig launch, MonotonicClock clock, OperatorConfig operator, Supplier<Socket> sockets,
            GathererMetrics figures)
            throws Json.Malformed {
        Logger log = operator == null ? NOPLogger.NOP_LOGGER : LoggerFactory.getLogger(Gatherer.class);
        gatherer = new Gatherer(launch.settings(), launch.classes(), launch.seed(), clock, log, figures);
        list = operator == null || !operator.list().enabled() ? null : new DiscoveryWatch(launch, gatherer);
        sources = operator == null ? null : Sources.of(operator, launch, clock, gatherer, list);
        boolean listAlone = operator == null || operator.isListOnly();
        links = new WorkerConnectionPool(gatherer, ConnectionLimits.of(launch, sockets,
                listAlone ? (id, up) -> {} : sources.membership()::reportConnection));
    }

    /** Those that the configured sources name. */
    static CalendarNodes of(LaunchConfig launch, MonotonicClock clock, OperatorConfig operator, GathererMetrics figures)
            throws Json.Malformed {
        // no proxy's settings
        return new CalendarNodes(launch, clock, operator, () -> new Socket(Proxy.NO_PROXY), figures);
    }

    /** These, without any source, reached by these sockets; its timers run at once. */
    static CalendarNodes without(LaunchConfig launch, MonotonicClock clock, Supplier<Socket> sockets,
            List<WorkerEndpoint> members) {
        try {
            var nodes = new CalendarNodes(launch, clock, null, sockets, new GathererMetrics());
            nodes.gatherer.control().start(members);
            nodes.timers = Threads.start("rehearsal-timers", nodes.gatherer::runTimers);
            return nodes;
        } catch (Json.Malformed e) {
            throw new IllegalStateException(e); // there is no list that could be malformed
        }
    }

    Gatherer gatherer() {
        return gatherer;
    }

    WorkerTransport workers() {
        return links;
    }

    EndpointUpdater membership() {
        return sources.membership();
    }

    /** Begins to follow the sources and to run the module's timers. */
    void start() {
        membership().start();
        timers = Threads.start("timers", gatherer::runTimers);
    }

    /** Takes files that were read again, but for the settings: the watch moves, DNS is asked as they say. */
    void reload(LaunchConfig changed, OperatorConfig file) {
        sources.reload(file);
        if (list != null) {
            list.reload(changed);
        }
    }

    /** Ends all of it: nothing stays. */
    void close() {
        if (timers != null) {
            timers.interrupt();
        }
        links.close();
    }
}
