package wallmoor.service;

import java.net.Proxy;
import java.net.Socket;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.LoggerFactory;
import wallmoor.config.Launch;
import wallmoor.config.Operator;
import wallmoor.core.Clock;
import wallmoor.core.Gatherer;
import wallmoor.core.Member;
import wallmoor.core.Workers;
import wallmoor.discovery.DiscoveryWatch;
import wallmoor.figures.Figures;
import wallmoor.frames.WorkerLinks;
import wallmoor.http.Threads;
import wallmoor.json.Json;
import wallmoor.sources.Membership;

/**
 * The calendar nodes with all that is shared by the fronts that serve them: one gatherer, one set of connections, one
 * roster. A front adds a wire; it has none of these of its own.
 */
final class CalendarNodes {
    private final Gatherer gatherer;
    private final WorkerLinks links;
    private final Sources sources;
    private final DiscoveryWatch list;
    private Thread timers;

    private CalendarNodes(Launch launch, Clock clock, Operator operator, Supplier<Socket> sockets, Figures figures)
            throws Json.Malformed {
        Consumer<String> log = LoggerFactory.getLogger(Gatherer.class)::info;
        gatherer = new Gatherer(launch.settings(), launch.classes(), launch.seed(), clock,
                operator == null ? line -> {} : log, figures);
        list = operator == null || !operator.list().enabled() ? null : new DiscoveryWatch(launch, gatherer);
        sources = operator == null ? null : Sources.of(operator, launch, clock, gatherer, list);
        boolean listAlone = operator == null || operator.listAlone();
        links = new WorkerLinks(gatherer, WorkerLinks.Limits.of(launch, sockets,
                listAlone ? (id, up) -> {} : sources.membership()::reached));
    }

    /** Those that the configured sources name. */
    static CalendarNodes of(Launch launch, Clock clock, Operator operator, Figures figures) throws Json.Malformed {
        // no proxy's settings
        return new CalendarNodes(launch, clock, operator, () -> new Socket(Proxy.NO_PROXY), figures);
    }

    /** These, without any source, reached by these sockets; its timers run at once. */
    static CalendarNodes without(Launch launch, Clock clock, Supplier<Socket> sockets, List<Member> members) {
        try {
            var nodes = new CalendarNodes(launch, clock, null, sockets, new Figures());
            nodes.gatherer.start(members);
            nodes.timers = Threads.start("rehearsal-timers", nodes.gatherer::runTimers);
            return nodes;
        } catch (Json.Malformed e) {
            throw new IllegalStateException(e); // there is no list that could be malformed
        }
    }

    Gatherer gatherer() {
        return gatherer;
    }

    Workers workers() {
        return links;
    }

    Membership membership() {
        return sources.membership();
    }

    /** Begins to follow the sources and to run the module's timers. */
    void start() {
        membership().start();
        timers = Threads.start("timers", gatherer::runTimers);
    }

    /** Takes files that were read again, but for the settings: the watch moves, DNS is asked as they say. */
    void reload(Launch changed, Operator file) {
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
