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
 * Which feature servers may answer a shard of a collection, and which shards of a page none of them has anything for.
 * It stands between the inventory and the roster, so that a server that is new is counted among those that may answer
 * before anything is sent to it.
 */
final class FeatureServerDirectory implements EndpointSource {
    /** A value with any other sign in it may be a pattern, a list or a range to some server. */
    private static final Pattern PLAIN = Pattern.compile("[\\p{L}\\p{M}\\p{N} :'+-]+(\\.[\\p{L}\\p{M}\\p{N} :'+-]+)*");

    private final OgcConfig config;
    private final EndpointSource inventory;
    private final SummaryLeases promises;
    /** By collection and shard. Read by traffic, replaced as a whole. */
    private volatile Map<String, Map<Integer, List<Site>>> holders = Map.of();

    FeatureServerDirectory(OgcConfig config, EndpointSource inventory, SummaryLeases promises) {
        this.config = config;
        this.inventory = inventory;
        this.promises = promises;
    }

    // ---- the inventory ------------------------------------------------------------------------------------

    @Override
    public String name() {
        return inventory.name();
    }

    @Override
    public List<SourceEndpoint> initialEndpoints() {
        List<SourceEndpoint> all = inventory.initialEndpoints();
        take(all);
        return all;
    }

    @Override
    public void start(Consumer<WatchEvent> to) {
        inventory.start(news -> {
            if (news instanceof WatchEvent.EndpointSnapshot whole) {
                take(whole.endpoints());
            }
            to.accept(news);
        });
        promises.start();
    }

    private void take(List<SourceEndpoint> entries) {
        var byCell = new HashMap<Integer, List<SourceEndpoint>>();
        for (SourceEndpoint e : entries) {
            if (e.state() != WorkerEndpoint.EndpointState.GONE) { // one that drains may be at work on it still
                byCell.computeIfAbsent(e.cell(), c -> new ArrayList<>()).add(e);
            }
        }
        var next = new HashMap<String, Map<Integer, List<Site>>>();
        var blocks = new HashMap<SourceEndpoint, Set<String>>();
        for (Collection c : config.collections().values()) {
            var shards = new HashMap<Integer, List<Site>>();
            for (int shard : c.shards()) {
                var here = new ArrayList<Site>();
                for (int j = 0; j < config.layout().cellsPerShard(); j++) {
                    for (SourceEndpoint e : byCell.getOrDefault((shard + j) % config.layout().cells(), List.of())) {
                        here.add(new Site(e.id(), c.upstreamCollection(shard)));
                        blocks.computeIfAbsent(e, x -> new HashSet<>()).add(c.upstreamCollection(shard));
                    }
                }
                shards.put(shard, List.copyOf(here));
            }
            next.put(c.id(), shards);
        }
        var servers = new ArrayList<SummaryLeases.SummaryServer>();
        blocks.forEach((e, own) -> servers.add(new SummaryLeases.SummaryServer(e.id(), e.address(), Set.copyOf(own))));
        promises.updateServers(servers);
        holders = next;
    }

    // ---- pages --------------------------------------------------------------------------------------------

    /** What of a page's shards is asked. */
    SummaryLeases.PruningDecision decide(Collection c, ItemsParameters params, Iterable<Integer> shards,
            boolean mayRepeat) {
        Map<Integer, List<Site>> here = holders.getOrDefault(c.id(), Map.of());
        var shares = new ArrayList<Pruning.Share>();
        shards.forEach(s -> shares.add(new Pruning.Share(s, here.getOrDefault(s, List.of()))));
        return promises.decide(conditions(params.given(), c.properties()), shares, mayRepeat);
    }

    /** What came of shares that were asked all the same. */
    void probed(Collection c, SummaryLeases.PruningDecision cuts, Map<Integer, FeatureQuery.ShardFeatures> shares) {
        for (Pruning.PrunedShard cut : cuts.decision().probes()) {
            FeatureQuery.ShardFeatures share = shares.get(cut.shard());
            if (share != null && !share.features().isEmpty()) {
                promises.reportProbe(cut, new Site(share.serverId(), c.upstreamCollection(cut.shard())), share.epoch(),
                        share.version(),
                        share.features().size());
            }
        }
    }

    /** The conditions of which it is sure how every server reads them. One left out only has more sites asked. */
    static Conditions conditions(Map<String, String> given, List<String> properties) {
        Conditions.QueryBox box = null;
        TimeSpan time = null;
        try {
            box = given.containsKey("bbox") ? Conditions.box(given.get("bbox")) : null;
        } catch (IllegalArgumentException e) {
            // off the globe: what a server makes of that is its own affair
        }
        try {
            time = given.containsKey("datetime") ? TimeSpan.parse(given.get("datetime")) : null;
        } catch (IllegalArgumentException e) {
            // likewise
        }
        var conditions = new ArrayList<Condition>();
        for (String name : properties) {
            String value = given.get(name);
            if (value != null && PLAIN.matcher(value).matches() && !value.isBlank()) {
                conditions.add(Condition.equal(name, value));
            }
        }
        return new Conditions(box, time, conditions);
    }
}
