package wallmoor.sources;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.core.Gatherer;
import wallmoor.core.WorkerEndpoint;
import wallmoor.endpoints.EndpointChange;
import wallmoor.endpoints.EndpointRegistry;
import wallmoor.endpoints.RegistryPolicy;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.endpoints.WatchEvent;
import wallmoor.http.Threads;

/**
 * Carries news from the sources to the roster, and what the roster makes of it to the gatherer that serves these nodes.
 * News is taken one after another; the gatherer's lock is asked for a few nodes at a time, so that queries go on while
 * thousands are refreshed. Its own lock is never asked for by who holds the gatherer's.
 */
public final class EndpointUpdater {
    /** Changes handed on under one hold of the gatherer's lock: some tens of microseconds. */
    private static final int AT_ONCE = 32;
    private static final long PAUSE_NANOS = 100_000;
    private static final long CHECK_MILLIS = 1_000;
    private static final long HEARD_POLL_MILLIS = 10;
    private static final int CONNECT_MILLIS = 250;
    private static final long LONGEST_SLEEP_MILLIS = 1_000;
    /** Of a larger change each node's cause would drown the log; the count is told, and the rest by the level DEBUG. */
    private static final int TOLD_EACH = 10;

    private final Logger log = LoggerFactory.getLogger(EndpointUpdater.class);
    private final LongSupplier clock;
    private final Gatherer gatherer;
    private final List<EndpointSource> sources;
    private final EndpointRegistry roster;
    /** Those that told something themselves; what a program is started with may be old. */
    private final Set<String> heard = new HashSet<>();

    /**
     * Makes it; nothing is told before {@link #start}.
     *
     * @param clock the gatherer's
     */
    public EndpointUpdater(RegistryPolicy policy, LongSupplier clock, Gatherer gatherer, List<EndpointSource> sources) {
        this.clock = clock;
        this.gatherer = gatherer;
        this.sources = List.copyOf(sources);
        roster = new EndpointRegistry(policy);
    }

    /** Starts the gatherer on what the sources know already, and the sources. */
    public void start() {
        var known = new ArrayList<WorkerEndpoint>();
        for (EndpointSource source : sources) {
            List<SourceEndpoint> held = source.initialEndpoints();
            if (!held.isEmpty()) {
                synchronized (this) {
                    if (!source.name().equals("list")) {
                        heard.add(source.name());
                    }
                    roster.apply(clock.getAsLong(),
                            new WatchEvent.EndpointSnapshot(source.name(), "the start", held, true))
                            .forEach(c -> known.add(c.endpoint()));
                }
            }
        }
        gatherer.start(known);
        if (sources.stream().noneMatch(s -> s.name().equals("list"))) {
            gatherer.updateEndpoints(false, List.of()); // there is no list to ask for
        }
        if (sources.size() > 1 || !sources.get(0).name().equals("list")) { // a list alone has no timed rules
            Threads.start("membership", this::runTimers);
            Threads.start("membership-reach", this::runChecks);
        }
        sources.forEach(s -> s.start(this::apply));
    }

    /** Takes news in. News that can't be taken is logged and changes nothing. */
    public synchronized void apply(WatchEvent news) {
        try {
            List<EndpointChange> changes = roster.apply(clock.getAsLong(), news);
            if (!(news instanceof WatchEvent.SourceFailure)) {
                heard.add(news.source());
            }
            boolean list = news.source().equals("list")
                    && (news instanceof WatchEvent.EndpointSnapshot || news instanceof WatchEvent.EndpointDelta);
            pass(changes, list);
        } catch (IllegalArgumentException e) {
            log.warn("news not taken: {}", e.getMessage());
            pass(roster.apply(clock.getAsLong(), new WatchEvent.SourceFailure(news.source(), e.getMessage())), false);
        }
    }

    /** A connection to the node came up, or did not. */
    public synchronized void reportConnection(String id, boolean up) {
        pass(roster.reportConnection(clock.getAsLong(), id, up), false);
    }

    /** All nodes known, with causes. */
    public synchronized List<EndpointRegistry.EndpointStatus> endpointStatuses() {
        return roster.endpointStatuses();
    }

    /** The sources and how they stand. */
    public synchronized List<EndpointRegistry.SourceStatus> sourceStatuses() {
        return roster.sourceStatuses();
    }

    /** Whether every source has told what it knows. */
    public synchronized boolean allSourcesSynced() {
        return heard.size() == sources.size();
    }

    /** Waits for at most so long until every source has told what it knows; whether all have. */
    public boolean awaitSync(long millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!allSourcesSynced() && System.nanoTime() < until) {
            Thread.sleep(HEARD_POLL_MILLIS); // not by the lock: who takes news holds it while news is passed on
        }
        return allSourcesSynced();
    }

    private synchronized void tick() {
        pass(roster.tick(clock.getAsLong()), false);
    }

    private void pass(List<EndpointChange> changes, boolean list) {
        for (int i = 0; i < changes.size(); i++) {
            EndpointChange c = changes.get(i);
            if (changes.size() <= TOLD_EACH) {
                log.atInfo().addKeyValue("node", c.endpoint().id()).addKeyValue("state", c.endpoint().state())
                        .log("{} is {}: {}", c.endpoint().id(), c.endpoint().state(), c.cause());
            } else {
                log.debug("{} is {}: {}", c.endpoint().id(), c.endpoint().state(), c.cause());
            }
        }
        if (changes.size() > TOLD_EACH) {
            log.info("{} nodes changed, {} of them no longer serve; the first: {}", changes.size(),
                    changes.stream().filter(c -> c.endpoint().state() != WorkerEndpoint.EndpointState.SERVING).count(),
                    changes.get(0).cause());
        }
        List<WorkerEndpoint> members = changes.stream().map(EndpointChange::endpoint).toList();
        // drains before all else: nothing that comes may make them wait
        List<WorkerEndpoint> ordered = new ArrayList<>(members);
        ordered.sort((a, b) -> Boolean.compare(a.state() == WorkerEndpoint.EndpointState.SERVING,
                b.state() == WorkerEndpoint.EndpointState.SERVING));
        if (list) { // the module counts on hearing from the list, be it that nothing has changed
            gatherer.updateEndpoints(false, ordered.subList(0, Math.min(AT_ONCE, ordered.size())));
        }
        for (int from = list ? AT_ONCE : 0; from < ordered.size(); from += AT_ONCE) {
            if (from > 0) { // the lock is not a fair one: whoever waits for it would not get it in between
                LockSupport.parkNanos(PAUSE_NANOS);
            }
            gatherer.mergeEndpoints(ordered.subList(from, Math.min(ordered.size(), from + AT_ONCE)));
        }
    }

    /** Tries the nodes under suspicion by bare connections, so that no query is spent on finding out. */
    private void runChecks() {
        try {
            while (true) {
                Thread.sleep(CHECK_MILLIS);
                Map<String, String> suspects;
                synchronized (this) {
                    suspects = roster.suspectedAddresses();
                }
                for (Map.Entry<String, String> s : suspects.entrySet()) {
                    reportConnection(s.getKey(), answers(s.getValue()));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean answers(String address) {
        int colon = address.lastIndexOf(':');
        try (var socket = new Socket(Proxy.NO_PROXY)) {
            socket.connect(new InetSocketAddress(address.substring(0, colon),
                    Integer.parseInt(address.substring(colon + 1))), CONNECT_MILLIS);
            return true;
        } catch (IOException | IllegalArgumentException e) {
            return false;
        }
    }

    private void runTimers() {
        try {
            while (true) {
                long wait;
                synchronized (this) {
                    wait = (roster.nextTickAt() - clock.getAsLong()) / 1000;
                }
                Thread.sleep(Math.max(5, Math.min(LONGEST_SLEEP_MILLIS, wait)));
                tick();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
