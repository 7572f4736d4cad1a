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
import wallmoor.http.Threads;
import wallmoor.json.Json;
import wallmoor.summaries.Site;
import wallmoor.summaries.SiteMessage;

/**
 * Polls the servers, a few threads for all: applies and acknowledges the widenings of each, and renews each lease at
 * half of its lifetime. A server that fails is polled again after an exponential backoff.
 */
final class LeaseRenewal {
    /** One server that does not answer holds up those of its thread alone. */
    private static final int THREADS = 4;
    /** Of a server that always has one more, the rest waits for the next round. */
    private static final int MAX_POLLS_PER_ROUND = 8;
    private static final long INITIAL_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 4_000;
    private static final long MIN_SLEEP_MILLIS = 2;
    /** How often a new list of servers, and the findings of request threads, are looked at. */
    private static final long MAX_SLEEP_MILLIS = 50;
    private static final int MAX_FAILURES = 16;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Logger log = LoggerFactory.getLogger(LeaseRenewal.class);
    private final SummaryLeases leases;
    private final SummariesConfig config;
    private final String gatherer;

    LeaseRenewal(SummaryLeases promises, SummariesConfig config, String gatherer) {
        this.leases = promises;
        this.config = config;
        this.gatherer = gatherer;
    }

    private static final class ServerPollState {
        private final SummaryLeases.SummaryServer server;
        private final SiteClient call;
        private final Map<String, Long> renewAt = new HashMap<>();
        private long nextAt;
        private int failures;

        private ServerPollState(SummaryLeases.SummaryServer server, SiteClient call, long now) {
            this.server = server;
            this.call = call;
            this.nextAt = now;
        }
    }

    void start() {
        for (int i = 0; i < THREADS; i++) {
            int own = i;
            Threads.start("summaries-" + i, () -> run(own));
        }
    }

    private void run(int own) {
        var visited = new HashMap<SummaryLeases.SummaryServer, ServerPollState>();
        List<SummaryLeases.SummaryServer> seen = null;
        try {
            while (true) {
                leases.runControlTasks();
                List<SummaryLeases.SummaryServer> servers = leases.servers();
                if (servers != seen) {
                    seen = servers;
                    updateServers(visited,
                            servers.stream().filter(s -> Math.floorMod(s.name().hashCode(), THREADS) == own)
                                    .toList());
                }
                long next = Long.MAX_VALUE;
                for (ServerPollState v : visited.values()) {
                    if (v.nextAt <= now()) {
                        poll(v);
                    }
                    next = Math.min(next, v.nextAt);
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

    private void updateServers(Map<SummaryLeases.SummaryServer, ServerPollState> visited,
            List<SummaryLeases.SummaryServer> servers) {
        var gone = new HashSet<>(visited.keySet());
        servers.forEach(gone::remove);
        gone.forEach(s -> visited.remove(s).call.close());
        for (SummaryLeases.SummaryServer s : servers) {
            visited.computeIfAbsent(s, x -> new ServerPollState(s, new SiteClient(s.name(), s.address(), gatherer,
                    config.maxSummaryBytes()), now()));
        }
    }

    private void poll(ServerPollState v) {
        String name = v.server.name();
        try {
            pollWidenings(v);
            for (String block : v.server.blocks()) {
                if (v.renewAt.getOrDefault(block, 0L) <= now()) {
                    renew(v, block);
                }
            }
            if (v.failures > 0) {
                log.info("summaries of {}: it answers again", name);
            }
            v.failures = 0;
            v.nextAt = now() + config.pollMillis();
        } catch (IOException | HttpProtocolException | Json.Malformed | RuntimeException e) {
            v.call.close();
            long backoff = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << v.failures);
            if (v.failures == 0) {
                log.warn("summaries of {} can't be had ({}): once its promise has ended it is asked every query", name,
                        e instanceof RuntimeException ? e.toString() : e.getMessage());
            }
            v.failures = Math.min(MAX_FAILURES, v.failures + 1);
            v.nextAt = now() + backoff;
        }
    }

    /** Applies and acknowledges the widenings of the server, until it has none left. */
    private void pollWidenings(ServerPollState v) throws IOException, HttpProtocolException, Json.Malformed {
        List<WideningMessages.Acknowledged> counting = List.of();
        for (int i = 0; i < MAX_POLLS_PER_ROUND; i++) {
            List<SiteMessage.Widening> widenings = v.call.pollWidenings(counting);
            if (widenings.isEmpty()) {
                return;
            }
            counting = new ArrayList<>();
            for (SiteMessage.Widening w : widenings) {
                if (!v.server.blocks().contains(w.site().block())) {
                    continue; // of what it was never asked for nothing is held
                }
                counting.add(new WideningMessages.Acknowledged(w.site().block(), w.epoch(), leases.applyWidening(w)));
                if (!leases.hasLease(w.site())) {
                    v.renewAt.remove(w.site().block());
                }
            }
        }
        if (!counting.isEmpty()) {
            v.call.pollWidenings(counting);
        }
    }

    private void renew(ServerPollState v, String block) throws IOException, HttpProtocolException {
        var site = new Site(v.server.name(), block);
        long ticket = leases.beginRequest(site, v.server.address());
        if (ticket < 0) {
            return;
        }
        SiteMessage.SummaryLeaseGrant grant = v.call.requestLease(block, ticket);
        leases.acceptGrant(site, grant);
        long lifetime = Math.min(grant.lifetime() / 1000, config.lifetimeMillis());
        v.renewAt.put(block, now() + Math.max(config.pollMillis(), lifetime / 2));
    }
}
