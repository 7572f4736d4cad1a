package wallmoor.ogc;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import wallmoor.config.OgcConfig.Collection;
import wallmoor.core.Gatherer;
import wallmoor.core.MonotonicClock;
import wallmoor.core.Query;
import wallmoor.core.Step;
import wallmoor.decision.Idempotency;
import wallmoor.decision.RoutingSettings;
import wallmoor.http.HttpExchange;
import wallmoor.http.HttpMessage;

/** Runs the queries of this front on its gatherer: scatter over shards, gather of what they answer. */
final class FeatureQueryRunner {
    /** Time kept back from the client's deadline for the answer's way and a busy machine. */
    private static final long RESPONSE_RESERVE_MICROS = 10_000;

    private final RoutingSettings settings;
    private final MonotonicClock clock;
    private final Gatherer gatherer;
    private final FeatureServerTransport transport;
    private final AtomicLong queriesBegun = new AtomicLong();

    FeatureQueryRunner(RoutingSettings settings, MonotonicClock clock, Gatherer gatherer,
            FeatureServerTransport transport) {
        this.settings = settings;
        this.clock = clock;
        this.gatherer = gatherer;
        this.transport = transport;
    }

    /** The id of a new query. */
    String nextId() {
        return "ogc-" + queriesBegun.incrementAndGet();
    }

    /** Whether a part of the collection's queries may run twice. */
    boolean idempotent(Collection collection) {
        return settings.classes().get(collection.queryClass()).idempotency() == Idempotency.IDEMPOTENT;
    }

    /** The least fraction of a query's shards that makes an answer, from 0 to 1. */
    double minimumShare(Collection collection) {
        return settings.classes().get(collection.queryClass()).minimumShare();
    }

    /**
     * Runs a query on this thread, until it is answered, rejected or failed, or its client is gone.
     *
     * @param exchange the client's request, whose end cancels the query
     * @param request  the same request as it came; its deadline counts from its first byte
     * @param id       from {@link #nextId}
     * @param shards   the shards asked, one part each, all of the same weight
     * @param query    what feature servers are asked
     */
    Step.FinalStep run(HttpExchange exchange, HttpMessage request, String id, List<Integer> shards,
            FeatureQuery query) throws InterruptedException {
        int queryClass = query.collection().queryClass();
        long deadline = clock.fromNanoTime(request.firstByteAt()) + settings.classes().get(queryClass).clientTimeout()
                - RESPONSE_RESERVE_MICROS;
        var parts = new ArrayList<Query.PartRequest>();
        shards.forEach(shard -> parts.add(new Query.PartRequest(shard, 1.0 / shards.size(), -1)));
        Query opened = gatherer.open(id, queryClass, deadline, false, parts, query);
        exchange.whenClientDisconnects(() -> gatherer.clientDisconnected(opened));
        return gatherer.run(opened, transport);
    }
}
