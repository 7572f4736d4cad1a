package wallmoor.pruning;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.config.SummariesConfig;
import wallmoor.http.HttpProtocolException;
import wallmoor.json.Json;
import wallmoor.summaries.Site;
import wallmoor.summaries.SiteMessage;
import wallmoor.threads.Threads;

/**
 * Polls the servers in a fixed number of threads: applies and acknowledges the widenings of each, and renews each lease
 * at half of its lifetime. A server that fails is polled again after an exponential backoff.
 */
final class LeaseRenewal {
    /** Number of polling threads. A server that does not answer delays only the servers of the same thread. */
    private static final int THREADS = 4;
    /** Maximum polls of a server per round; further widenings wait for the next round. */
    private static final int MAX_POLLS_PER_ROUND = 8;
    private static final long INITIAL_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 4_000;
    private static final long MIN_SLEEP_MILLIS = 2;
    /** Maximum sleep, after which a new list of servers and the tasks queued by request threads are processed. */
    private static final long MAX_SLEEP_MILLIS = 50;
    private static final int MAX_FAILURE_COUNT = 16;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Logger log = LoggerFactory.getLogger(LeaseRenewal.class);
    private final SummaryLeases leases;
    private final SummariesConfig config;
    private final String gatherer;

    LeaseRenewal(SummaryLeases leases, SummariesConfig config, String gatherer) {
        this.leases = leases;
        this.config = config;
        this.gatherer = gatherer;
    }

    private static final class ServerPollState {
        private final SummaryLeases.SummaryServer server;
        private final SiteClient client;
        private final Map<String, Long> renewAt = new HashMap<>();
        private long nextAt;
        private int failures;

        private ServerPollState(SummaryLeases.SummaryServer server, SiteClient client, long now) {
            this.server = server;
            this.client = client;
            this.nextAt = now;
        }
    }

    void start() {
        for (int i = 0; i < THREADS; i++) {
            int thread = i;
            Threads.startEssential("summaries-" + i, () -> run(thread));
        }
    }

    private void run(int thread) {
        var pollStates = new HashMap<SummaryLeases.SummaryServer, ServerPollState>();
        List<SummaryLeases.SummaryServer> current = null;
        try {
            while (true) {
                leases.runControlTasks();
                List<SummaryLeases.SummaryServer> servers = leases.servers();
                if (servers != current) {
                    current = servers;
                    updateServers(pollStates,
                            servers.stream().filter(s -> Math.floorMod(s.name().hashCode(), THREADS) == thread)
                                    .toList());
                }
                long next = Long.MAX_VALUE;
                for (ServerPollState state : pollStates.values()) {
                    if (state.nextAt <= now()) {
                        poll(state);
                    }
                    next = Math.min(next, state.nextAt);
                }
                Thread.sleep(Math.max(MIN_SLEEP_MILLIS, Math.min(MAX_SLEEP_MILLIS, next - now())));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long now() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    private void updateServers(Map<SummaryLeases.SummaryServer, ServerPollState> pollStates,
            List<SummaryLeases.SummaryServer> servers) {
        var removed = new HashSet<>(pollStates.keySet());
        servers.forEach(removed::remove);
        removed.forEach(s -> pollStates.remove(s).client.close());
        for (SummaryLeases.SummaryServer s : servers) {
            pollStates.computeIfAbsent(s, key -> new ServerPollState(s, new SiteClient(s.name(), s.address(), gatherer,
                    config.maxSummaryBytes()), now()));
        }
    }

    private void poll(ServerPollState state) {
        String name = state.server.name();
        try {
            pollWidenings(state);
            for (String block : state.server.blocks()) {
                if (state.renewAt.getOrDefault(block, 0L) <= now()) {
                    renew(state, block);
                }
            }
            if (state.failures > 0) {
                log.info("summary lease renewal recovered: server={}", name);
            }
            state.failures = 0;
            state.nextAt = now() + config.pollMillis();
        } catch (IOException | HttpProtocolException | Json.Malformed | RuntimeException e) {
            state.client.close();
            long backoff = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << state.failures);
            if (state.failures == 0) {
                log.warn(
                        "summary lease renewal failed; the server is queried once its lease ends: server={} error={}",
                        name, e instanceof RuntimeException ? e.toString() : e.getMessage());
            }
            state.failures = Math.min(MAX_FAILURE_COUNT, state.failures + 1);
            state.nextAt = now() + backoff;
        }
    }

    /** Applies and acknowledges the widenings of the server, until it has none left. */
    private void pollWidenings(ServerPollState state) throws IOException, HttpProtocolException, Json.Malformed {
        List<WideningMessages.Acknowledged> acknowledged = List.of();
        for (int i = 0; i < MAX_POLLS_PER_ROUND; i++) {
            List<SiteMessage.Widening> widenings = state.client.pollWidenings(acknowledged);
            if (widenings.isEmpty()) {
                return;
            }
            acknowledged = new ArrayList<>();
            for (SiteMessage.Widening widening : widenings) {
                if (!state.server.blocks().contains(widening.site().block())) {
                    continue; // no lease was requested on this block, so nothing is cached
                }
                acknowledged.add(new WideningMessages.Acknowledged(widening.site().block(), widening.epoch(),
                        leases.applyWidening(widening)));
                if (!leases.hasLease(widening.site())) {
                    state.renewAt.remove(widening.site().block());
                }
            }
        }
        if (!acknowledged.isEmpty()) {
            state.client.pollWidenings(acknowledged);
        }
    }

    private void renew(ServerPollState state, String block) throws IOException, HttpProtocolException {
        var site = new Site(state.server.name(), block);
        long ticket = leases.beginRequest(site, state.server.address());
        if (ticket < 0) {
            return;
        }
        SiteMessage.SummaryLeaseGrant grant = state.client.requestLease(block, ticket);
        leases.acceptGrant(site, grant);
        long lifetime = Math.min(grant.lifetime() / 1000, config.lifetimeMillis());
        state.renewAt.put(block, now() + Math.max(config.pollMillis(), lifetime / 2));
    }
}
