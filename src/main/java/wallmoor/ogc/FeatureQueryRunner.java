package wallmoor.ogc;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import wallmoor.config.OgcConfig.Collection;
import wallmoor.core.Gatherer;
import wallmoor.core.MonotonicClock;
import wallmoor.core.Query;
import wallmoor.core.QueryRequest;
import wallmoor.core.Step;
import wallmoor.decision.Idempotency;
import wallmoor.decision.RoutingSettings;
import wallmoor.http.HttpExchange;
import wallmoor.http.HttpMessage;

/** Runs the queries of this front on its gatherer: scatters them over shards and gathers the results. */
final class FeatureQueryRunner {
    /** The time reserved before the client's deadline to send the response, also on a busy machine. */
    private static final long RESPONSE_RESERVE_MICROS = 10_000;

    private volatile RoutingSettings settings;
    private final MonotonicClock clock;
    private final Gatherer gatherer;
    private final FeatureServerTransport transport;
    private final QueryMemory memory;
    private final AtomicLong startedQueries = new AtomicLong();

    FeatureQueryRunner(RoutingSettings settings, MonotonicClock clock, Gatherer gatherer,
            FeatureServerTransport transport, QueryMemory memory) {
        this.settings = settings;
        this.clock = clock;
        this.gatherer = gatherer;
        this.transport = transport;
        this.memory = memory;
    }

    /** Changes the settings; called after the gatherer has them, as a query that finds them here finds them there. */
    void updateSettings(RoutingSettings next) {
        settings = next;
    }

    /** Limits the deadlines of all queries, and rejects those that wait: the program ends in so many milliseconds. */
    void shutDown(long millis) {
        memory.shutDown();
        gatherer.control().limitDeadlines(
                clock.getAsLong() + TimeUnit.MILLISECONDS.toMicros(millis) - RESPONSE_RESERVE_MICROS);
    }

    /** Returns the id for a new query. */
    String nextId() {
        return "ogc-" + startedQueries.incrementAndGet();
    }

    /** Returns whether a part of the collection's queries may run twice. */
    boolean isIdempotent(Collection collection) {
        return settings.classes().get(collection.queryClass()).idempotency() == Idempotency.IDEMPOTENT;
    }

    /** Returns the minimum fraction of a query's shards that must answer, from 0 to 1. */
    double minimumShare(Collection collection) {
        return settings.classes().get(collection.queryClass()).minimumShare();
    }

    /**
     * Waits until the memory for a query is free, for at most half of the time that its client waits: the query needs
     * the rest.
     *
     * @param request    the client's request
     * @param collection the queried collection
     * @param parts      the number of the query's parts
     */
    QueryMemory.Reservation reserveMemory(HttpMessage request, Collection collection, int parts)
            throws InterruptedException, MemoryExhaustedException {
        long maxWaitMicros = settings.classes().get(collection.queryClass()).clientTimeout() / 2;
        return memory.reserve(parts, request.firstByteAt() + TimeUnit.MICROSECONDS.toNanos(maxWaitMicros));
    }

    /**
     * Runs a query on this thread until it is answered, rejected or failed, or its client has disconnected.
     *
     * @param exchange the client's exchange; a disconnect of the client cancels the query
     * @param request  the client's request; its deadline counts from its first byte
     * @param id       the query's id, from {@link #nextId}
     * @param shards   the queried shards: one part each, all of the same weight
     * @param query    the query to feature servers
     */
    Step.FinalStep run(HttpExchange exchange, HttpMessage request, String id, List<Integer> shards,
            FeatureQuery query) throws InterruptedException {
        return runUntilDecided(exchange, request, id, shards, query, null);
    }

    /**
     * Runs a query as {@link #run} does, but until all its shards have answered, whatever share is enough for its
     * class.
     *
     * @param decidingValue whether a part's value alone is enough to end the query; null to run it as its class says
     */
    Step.FinalStep runUntilDecided(HttpExchange exchange, HttpMessage request, String id, List<Integer> shards,
            FeatureQuery query, Predicate<byte[]> decidingValue) throws InterruptedException {
        int queryClass = query.collection().queryClass();
        long deadline = clock.fromNanoTime(request.firstByteAt()) + settings.classes().get(queryClass).clientTimeout()
                - RESPONSE_RESERVE_MICROS;
        var parts = new ArrayList<Query.PartRequest>();
        shards.forEach(shard -> parts.add(new Query.PartRequest(shard, 1.0 / shards.size(), -1)));
        // requests to feature servers have no field for an idempotency key
        Query openQuery = gatherer.open(new QueryRequest(id, queryClass, deadline, false, null, parts, query,
                decidingValue));
        exchange.whenClientDisconnects(() -> gatherer.clientDisconnected(openQuery));
        return gatherer.run(openQuery, transport);
    }
}
