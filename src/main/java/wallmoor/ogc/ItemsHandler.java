package wallmoor.ogc;

import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wallmoor.config.OgcConfig.Collection;
import wallmoor.core.Step;
import wallmoor.http.HttpExchange;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.pruning.SummaryLeases;
import wallmoor.summaries.Pruning;

/** Handles {@code /collections/ID/items}: answers one page of a collection's features, gathered from its shards. */
final class ItemsHandler {
    private final FeatureQueryRunner queries;
    /** Null if all servers are always queried. */
    private final FeatureServerDirectory directory;

    ItemsHandler(FeatureQueryRunner queries, FeatureServerDirectory directory) {
        this.queries = queries;
        this.directory = directory;
    }

    void handle(HttpExchange exchange, HttpMessage request, Collection collection, String base)
            throws IOException, HttpProtocolException, InterruptedException {
        ItemsParameters parameters = ItemsParameters.parse(request.target(), collection.shards(),
                collection.properties());
        Map<Integer, Integer> offsets = offsets(parameters, collection);
        String id = queries.nextId();
        SummaryLeases.PruningDecision pruning = directory == null ? null
                : directory.decide(collection, parameters, offsets.keySet(), queries.isIdempotent(collection));
        List<Integer> queriedShards = pruning == null ? List.copyOf(offsets.keySet()) : pruning.decision().ask();
        try {
            GatheredPage gathered = gather(exchange, request, id, queriedShards,
                    new PageRequest(collection, parameters, offsets, pruning), base);
            int status = gathered.document() == null
                    ? HttpResponses.queryFailure(exchange, PruningReport.header(pruning), gathered.finalStep()) : 200;
            if (gathered.document() != null) {
                HttpResponses.document(exchange, HttpResponses.GEOJSON, PruningReport.header(pruning),
                        gathered.document());
            }
            PruningReport.log(id, collection.id(), status, pruning);
        } catch (MemoryExhaustedException e) {
            PruningReport.log(id, collection.id(),
                    HttpResponses.memoryExhausted(exchange, PruningReport.header(pruning), e), pruning);
        }
    }

    /** What a client requests. Its pruning decision is null if all servers are queried. */
    private record PageRequest(Collection collection, ItemsParameters parameters, Map<Integer, Integer> offsets,
            SummaryLeases.PruningDecision pruning) {}

    /** The outcome of a query. Its document is null if the page can't be answered. */
    private record GatheredPage(Step.FinalStep finalStep, byte[] document) {}

    /** Runs the query and assembles the page. The query's memory is free again when this returns. */
    private GatheredPage gather(HttpExchange exchange, HttpMessage request, String id, List<Integer> queriedShards,
            PageRequest page, String base) throws InterruptedException, MemoryExhaustedException {
        Collection collection = page.collection();
        QueryMemory.Reservation reservation = queries.reserveMemory(request, collection, queriedShards.size());
        try {
            Step.FinalStep finalStep = queriedShards.isEmpty() ? new Step.Answer(true, List.of())
                    : queries.run(exchange, request, id, queriedShards,
                            query(collection, page.parameters(), page.offsets(), queriedShards.size()));
            boolean answered = finalStep instanceof Step.Answer
                    || prunedSuffice(page.pruning(), collection, page.offsets().size(), finalStep);
            if (!answered) {
                return new GatheredPage(finalStep, null);
            }
            var items = new ItemsPage(collection, page.parameters(), page.offsets(),
                    results(collection, page.pruning(), finalStep));
            return new GatheredPage(finalStep,
                    items.document(base, request.target(), PruningReport.member(page.pruning())));
        } finally {
            reservation.release();
        }
    }

    /** Returns the offset at which the page starts in each shard that may still have features. */
    private static Map<Integer, Integer> offsets(ItemsParameters parameters, Collection collection) {
        if (parameters.cursor() != null) {
            return parameters.cursor();
        }
        var offsets = new LinkedHashMap<Integer, Integer>();
        for (Integer shard : collection.shards()) {
            offsets.put(shard, 0);
        }
        return offsets;
    }

    /** Creates the query for a page: each queried shard returns at most an equal share of the page's limit. */
    private FeatureQuery query(Collection collection, ItemsParameters parameters, Map<Integer, Integer> offsets,
            int queriedShards) {
        int featuresPerShard = Math.max(1, (parameters.limit() + queriedShards - 1) / queriedShards);
        return new FeatureQuery(collection, parameters.filterQuery(), null, featuresPerShard, offsets,
                queries.isIdempotent(collection));
    }

    /**
     * Returns whether the query failed but the pruned shards alone reach the minimum share of an answer. The page is
     * answered then, although all other shards failed.
     *
     * @param pruning the pruning decision, or null if all servers are queried
     * @param shards  the number of the page's shards, pruned or not
     */
    private boolean prunedSuffice(SummaryLeases.PruningDecision pruning, Collection collection, int shards,
            Step.FinalStep finalStep) {
        if (pruning == null) {
            return false;
        }
        boolean failed = finalStep instanceof Step.Fail
                || (finalStep instanceof Step.Reject reject && reject.attempted());
        return failed && pruning.decision().pruned().size() >= queries.minimumShare(collection) * shards;
    }

    /**
     * Returns the result of each shard and reports probes. A pruned shard has an empty result, and a shard that did not
     * answer has none.
     */
    private Map<Integer, FeatureQuery.ShardFeatures> results(Collection collection,
            SummaryLeases.PruningDecision pruning, Step.FinalStep finalStep) {
        var results = new HashMap<Integer, FeatureQuery.ShardFeatures>();
        if (finalStep instanceof Step.Answer answer) {
            answer.values()
                    .forEach(value -> results.put(value.shard(), FeatureQuery.ShardFeatures.decode(value.bytes())));
        }
        if (pruning != null) {
            directory.reportProbes(collection, pruning, results);
            for (Pruning.PrunedShard pruned : pruning.decision().pruned()) {
                results.put(pruned.shard(), FeatureQuery.ShardFeatures.of(false, List.of(), "", null));
            }
        }
        return results;
    }
}
