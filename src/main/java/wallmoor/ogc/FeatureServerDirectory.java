package wallmoor.ogc;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import wallmoor.config.OgcConfig;
import wallmoor.config.OgcConfig.Collection;
import wallmoor.core.WorkerEndpoint;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.endpoints.WatchEvent;
import wallmoor.pruning.SummaryLeases;
import wallmoor.sources.EndpointSource;
import wallmoor.summaries.Condition;
import wallmoor.summaries.Conditions;
import wallmoor.summaries.Pruning;
import wallmoor.summaries.Site;
import wallmoor.summaries.TimeSpan;

/**
 * Knows which feature servers may answer each shard of a collection, and prunes the shards of a page for which none of
 * them has features. It wraps the inventory as an endpoint source, so that a new server is among those that may answer
 * before any request is sent to it.
 */
final class FeatureServerDirectory implements EndpointSource {
    /** Values that every server compares literally; other characters may form a pattern, a list or a range. */
    private static final Pattern LITERAL_VALUE = Pattern
            .compile("[\\p{L}\\p{M}\\p{N} :'+-]+(\\.[\\p{L}\\p{M}\\p{N} :'+-]+)*");

    private final OgcConfig config;
    private final EndpointSource inventory;
    private final SummaryLeases summaryLeases;
    /** The sites that may answer, by collection id and shard. Request threads read it; each update replaces the map. */
    private volatile Map<String, Map<Integer, List<Site>>> sitesByCollection = Map.of();

    FeatureServerDirectory(OgcConfig config, EndpointSource inventory, SummaryLeases summaryLeases) {
        this.config = config;
        this.inventory = inventory;
        this.summaryLeases = summaryLeases;
    }

    // ---- endpoint source ----------------------------------------------------------------------------------

    @Override
    public String name() {
        return inventory.name();
    }

    @Override
    public List<SourceEndpoint> initialEndpoints() {
        List<SourceEndpoint> endpoints = inventory.initialEndpoints();
        update(endpoints);
        return endpoints;
    }

    @Override
    public void start(Consumer<WatchEvent> listener) {
        inventory.start(event -> {
            if (event instanceof WatchEvent.EndpointSnapshot snapshot) {
                update(snapshot.endpoints());
            }
            listener.accept(event);
        });
        summaryLeases.start();
    }

    private void update(List<SourceEndpoint> endpoints) {
        var byCell = new HashMap<Integer, List<SourceEndpoint>>();
        for (SourceEndpoint endpoint : endpoints) {
            // a draining server may still have parts in flight
            if (endpoint.state() != WorkerEndpoint.EndpointState.GONE) {
                byCell.computeIfAbsent(endpoint.cell(), c -> new ArrayList<>()).add(endpoint);
            }
        }
        var newSites = new HashMap<String, Map<Integer, List<Site>>>();
        var blocksByServer = new HashMap<SourceEndpoint, Set<String>>();
        for (Collection collection : config.collections().values()) {
            var sitesByShard = new HashMap<Integer, List<Site>>();
            for (int shard : collection.shards()) {
                var sites = new ArrayList<Site>();
                for (int i = 0; i < config.layout().cellsPerShard(); i++) {
                    for (SourceEndpoint server : byCell.getOrDefault((shard + i) % config.layout().cells(),
                            List.of())) {
                        sites.add(new Site(server.id(), collection.upstreamCollection(shard)));
                        blocksByServer.computeIfAbsent(server, s -> new HashSet<>())
                                .add(collection.upstreamCollection(shard));
                    }
                }
                sitesByShard.put(shard, List.copyOf(sites));
            }
            newSites.put(collection.id(), sitesByShard);
        }
        var servers = new ArrayList<SummaryLeases.SummaryServer>();
        blocksByServer.forEach((server, blocks) -> servers
                .add(new SummaryLeases.SummaryServer(server.id(), server.address(), Set.copyOf(blocks))));
        summaryLeases.updateServers(servers);
        sitesByCollection = newSites;
    }

    // ---- pruning ------------------------------------------------------------------------------------------

    /** Decides which of a page's shards are queried and which are pruned. */
    SummaryLeases.PruningDecision decide(Collection collection, ItemsParameters parameters, Iterable<Integer> shards,
            boolean mayRepeat) {
        Map<Integer, List<Site>> sitesByShard = sitesByCollection.getOrDefault(collection.id(), Map.of());
        var shares = new ArrayList<Pruning.Share>();
        shards.forEach(s -> shares.add(new Pruning.Share(s, sitesByShard.getOrDefault(s, List.of()))));
        return summaryLeases.decide(conditions(parameters.values(), collection.properties()), shares, mayRepeat);
    }

    /**
     * Reports each probe that returned features. A probe queries a shard although it could be pruned, to check the
     * summaries.
     */
    void reportProbes(Collection collection, SummaryLeases.PruningDecision pruning,
            Map<Integer, FeatureQuery.ShardFeatures> results) {
        for (Pruning.PrunedShard probe : pruning.decision().probes()) {
            FeatureQuery.ShardFeatures result = results.get(probe.shard());
            if (result != null && !result.features().isEmpty()) {
                summaryLeases.reportProbe(probe,
                        new Site(result.serverId(), collection.upstreamCollection(probe.shard())),
                        result.epoch(), result.version(), result.features().size());
            }
        }
    }

    /**
     * Returns the conditions that all servers interpret alike. Leaving out a condition only causes more sites to be
     * queried.
     */
    static Conditions conditions(Map<String, String> parameters, List<String> properties) {
        Conditions.QueryBox box = null;
        TimeSpan time = null;
        try {
            box = parameters.containsKey("bbox") ? Conditions.box(parameters.get("bbox")) : null;
        } catch (IllegalArgumentException e) {
            // outside the valid longitudes and latitudes: servers may interpret it differently
        }
        try {
            time = parameters.containsKey("datetime") ? TimeSpan.parse(parameters.get("datetime")) : null;
        } catch (IllegalArgumentException e) {
            // not a time span that can be compared: servers may interpret it differently
        }
        var conditions = new ArrayList<Condition>();
        for (String name : properties) {
            String value = parameters.get(name);
            if (value != null && LITERAL_VALUE.matcher(value).matches() && !value.isBlank()) {
                conditions.add(Condition.equal(name, value));
            }
        }
        return new Conditions(box, time, conditions);
    }
}
