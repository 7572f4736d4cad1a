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

/** Answers {@code /collections/ID/items}: one page of a collection's features, gathered from its shards. */
final class ItemsHandler {
    private final FeatureQueryRunner queries;
    /** Null where all servers are always asked. */
    private final FeatureServerDirectory directory;

    ItemsHandler(FeatureQueryRunner queries, FeatureServerDirectory directory) {
        this.queries = queries;
        this.directory = directory;
    }

    void answer(HttpExchange exchange, HttpMessage request, Collection collection, String base)
            throws IOException, HttpProtocolException, InterruptedException {
        ItemsParameters parameters = ItemsParameters.of(request.target(), collection.shards(),
                collection.properties());
        Map<Integer, Integer> offsets = offsets(parameters, collection);
        String id = queries.nextId();
        SummaryLeases.PruningDecision pruning = directory == null ? null
                : directory.decide(collection, parameters, offsets.keySet(), queries.idempotent(collection));
        List<Integer> asked = pruning == null ? List.copyOf(offsets.keySet()) : pruning.decision().ask();
        Step.FinalStep end = asked.isEmpty() ? new Step.Answer(true, List.of())
                : queries.run(exchange, request, id, asked, query(collection, parameters, offsets, asked.size()));
        if (end instanceof Step.Answer || prunedSuffice(pruning, collection, offsets.size(), end)) {
            var page = new ItemsPage(collection, parameters, offsets, shares(collection, pruning, end));
            HttpResponses.document(exchange, HttpResponses.GEOJSON, PruningReport.header(pruning),
                    page.document(base, request.target(), PruningReport.member(pruning)));
            PruningReport.log(id, collection.id(), 200, pruning);
        } else {
            int status = HttpResponses.queryFailure(exchange, PruningReport.header(pruning), end);
            PruningReport.log(id, collection.id(), status, pruning);
        }
    }

    /** Where the page goes on in each shard that may still have features. */
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

    /** The query for a page: each shard asked is to bring an equal share of the page's limit. */
    private FeatureQuery query(Collection collection, ItemsParameters parameters, Map<Integer, Integer> offsets,
            int shardsAsked) {
        int featuresPerShard = Math.max(1, (parameters.limit() + shardsAsked - 1) / shardsAsked);
        return new FeatureQuery(collection, parameters.query(), null, featuresPerShard, offsets,
                queries.idempotent(collection));
    }

    /**
     * Whether the pruned shards alone are the least share of an answer: then it is one, though all others failed.
     *
     * @param pruning null where all servers are asked
     * @param shards  of the page, pruned or not
     */
    private boolean prunedSuffice(SummaryLeases.PruningDecision pruning, Collection collection, int shards,
            Step.FinalStep end) {
        if (pruning == null) {
            return false;
        }
        boolean failed = end instanceof Step.Fail || (end instanceof Step.Reject reject && reject.attempted());
        return failed && pruning.decision().pruned().size() >= queries.minimumShare(collection) * shards;
    }

    /** What each shard gave; a pruned shard gave nothing, and one that is absent was not heard. */
    private Map<Integer, FeatureQuery.ShardFeatures> shares(Collection collection,
            SummaryLeases.PruningDecision pruning, Step.FinalStep end) {
        var shares = new HashMap<Integer, FeatureQuery.ShardFeatures>();
        if (end instanceof Step.Answer answer) {
            answer.values().forEach(value -> shares.put(value.shard(), FeatureQuery.ShardFeatures.decode(value)));
        }
        if (pruning != null) {
            directory.probed(collection, pruning, shares);
            for (Pruning.PrunedShard pruned : pruning.decision().pruned()) {
                shares.put(pruned.shard(), FeatureQuery.ShardFeatures.of(false, List.of(), "", null));
            }
        }
        return shares;
    }
}
