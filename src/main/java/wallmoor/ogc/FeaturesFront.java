package wallmoor.ogc;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OgcConfig;
import wallmoor.config.OgcConfig.Collection;
import wallmoor.config.SummariesConfig;
import wallmoor.core.Gatherer;
import wallmoor.core.MonotonicClock;
import wallmoor.core.Query;
import wallmoor.core.Step;
import wallmoor.decision.Idempotency;
import wallmoor.decision.RoutingSettings;
import wallmoor.endpoints.RegistryPolicy;
import wallmoor.endpoints.SourcePolicy;
import wallmoor.http.HttpExchange;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.HttpReader;
import wallmoor.http.Server;
import wallmoor.http.Threads;
import wallmoor.inventory.InventorySource;
import wallmoor.json.Json;
import wallmoor.pruning.SummaryLeases;
import wallmoor.rules.RuleReader;
import wallmoor.sources.EndpointUpdater;
import wallmoor.summaries.Pruning;

/**
 * The second front: OGC API - Features Part 1 (Core) with GeoJSON. A page asked for is a query, a shard's share of it
 * a part, a feature server a worker. A page that lacks a shard's share says so, and its next link asks for that share
 * again: no page loses features silently.
 */
public final class FeaturesFront {
    private static final String JSON = "application/json";
    private static final String GEOJSON = "application/geo+json";
    /** Room kept in the longest body for what stands round the features. */
    static final int MOST_FEATURES_BYTES = HttpReader.MOST_BODY - 8 * 1024;
    /** Time kept back from the client's deadline for the answer's way and a busy machine (microseconds). */
    private static final long FOR_THE_WIRE = 10_000;
    /** Feature servers at most; an inventory of a megabyte holds about as many. */
    private static final int MOST_SERVERS = 20_000;

    private final OgcConfig config;
    private final RoutingSettings settings;
    private final MonotonicClock clock;
    private final Gatherer gatherer;
    private final FeatureServerTransport servers;
    private final EndpointUpdater membership;
    private final Server server;
    /** Null where all servers are always asked. */
    private final FeatureServerDirectory sites;
    private final SummaryLeases promises;
    private final AtomicLong numbers = new AtomicLong();

    /**
     * Makes the front and listens; nothing is answered before {@link #start}.
     *
     * @param pruning who may be left out of queries, or null where all are asked
     * @param acting  what gatherers agreed on
     */
    public FeaturesFront(OgcConfig config, SummariesConfig pruning, RuleReader acting, LaunchConfig launch,
            MonotonicClock clock,
            Logger log) throws IOException {
        this.config = config;
        this.clock = clock;
        settings = launch.settings().withLayout(config.layout());
        gatherer = new Gatherer(settings, launch.seed(), clock, log);
        servers = new FeatureServerTransport(gatherer, launch.connectMillis(), launch.sockets() / 8);
        var inventory = new InventorySource(config.inventory(), config.layout(), launch.zones(), launch.kinds());
        var policy = new SourcePolicy(inventory.name(), true, 0, 1, MOST_SERVERS);
        promises = pruning == null ? null : new SummaryLeases(pruning, launch.name(), clock, acting);
        sites = pruning == null ? null : new FeatureServerDirectory(config, inventory, promises);
        membership = new EndpointUpdater(RegistryPolicy.of(List.of(policy)), clock, gatherer,
                List.of(sites == null ? inventory : sites));
        server = new Server("ogc", config.listen(), launch.sockets() / 16, launch.sockets() / 16, this::handle,
                log::info);
    }

    /** Begins to serve. */
    public void start() {
        membership.start();
        Threads.start("ogc-timers", gatherer::runTimers);
        server.start();
    }

    /**
     * So many gatherers share what they have in common from now on, and this is this one's place among them, from 0.
     */
    public void setFleetPosition(int count, int place) {
        gatherer.control().setFleetPosition(count, place);
    }

    /** Asks clients to leave, takes what still comes, and answers all of it. */
    public void shutDown(long handOverMillis, long finishMillis) throws IOException, InterruptedException {
        server.leave();
        Thread.sleep(handOverMillis);
        server.finish(finishMillis);
        if (promises != null) {
            promises.logTotals();
        }
    }

    /** The operators' file was read again: these may be left out from now on. What else it says waits for a start. */
    public void reload(SummariesConfig changed) {
        if (promises != null) {
            promises.sites(changed == null ? Set.of() : changed.sites());
        }
    }

    // ---- resources ----------------------------------------------------------------------------------------

    private void handle(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        try {
            route(request, exchange);
        } catch (HttpProtocolException e) {
            problem(exchange, e.status(), "", e.getMessage());
        }
    }

    private void route(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        String target = request.target();
        String path = target.split("\\?", 2)[0];
        if (!request.method().equals("GET") && !request.method().equals("HEAD")) {
            problem(exchange, 405, "Allow: GET, HEAD\r\n", "method not allowed");
            return;
        }
        String base = base(request);
        String[] steps = path.split("/", -1);
        if (path.equals("/")) {
            ItemsParameters.requireNone(target);
            answer(exchange, JSON, landing(base));
        } else if (path.equals("/conformance")) {
            ItemsParameters.requireNone(target);
            answer(exchange, JSON, "{\"conformsTo\":["
                    + "\"http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core\","
                    + "\"http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/geojson\"]}");
        } else if (path.equals("/api")) {
            ItemsParameters.requireNone(target);
            answer(exchange, "application/vnd.oai.openapi+json;version=3.0", OpenApiDocument.text(config, base));
        } else if (path.equals("/collections")) {
            ItemsParameters.requireNone(target);
            var all = new ArrayList<String>();
            config.collections().values().forEach(c -> all.add(collection(c, base)));
            answer(exchange, JSON, "{" + new LinkList(base).add("self", JSON, "Collections", path).member()
                    + ",\"collections\":[" + String.join(",", all) + "]}");
        } else if (steps.length >= 3 && steps.length <= 5 && steps[1].equals("collections")
                && config.collections().containsKey(steps[2])) {
            Collection c = config.collections().get(steps[2]);
            if (steps.length == 3) {
                ItemsParameters.requireNone(target);
                answer(exchange, JSON, collection(c, base));
            } else if (steps.length == 4 && steps[3].equals("items")) {
                items(exchange, request, c, base);
            } else if (steps.length == 5 && steps[3].equals("items") && !steps[4].isEmpty()) {
                ItemsParameters.requireNone(target);
                feature(exchange, request, c, steps[4], base);
            } else {
                throw new HttpProtocolException(404, "no such resource");
            }
        } else {
            throw new HttpProtocolException(404, "no such resource");
        }
    }

    private String base(HttpMessage request) throws HttpProtocolException {
        if (config.base() != null) {
            return config.base();
        }
        String host = request.header("Host");
        if (host == null || !host.matches("[A-Za-z0-9.:\\[\\]-]{1,255}")) {
            throw new HttpProtocolException(400, "Host is absent or malformed");
        }
        return "http://" + host;
    }

    private String landing(String base) {
        var to = new StringBuilder("{\"title\":");
        Json.quote(to, config.title());
        return to.append(",\"description\":\"Features gathered from feature servers\",")
                .append(new LinkList(base).add("self", JSON, "This page", "/")
                        .add("service-desc", "application/vnd.oai.openapi+json;version=3.0", "API definition", "/api")
                        .add("conformance", JSON, "Conformance classes", "/conformance")
                        .add("data", JSON, "Collections", "/collections").member())
                .append('}').toString();
    }

    private static String collection(Collection c, String base) {
        String at = "/collections/" + c.id();
        var to = new StringBuilder("{\"id\":\"" + c.id() + "\",\"title\":");
        Json.quote(to, c.title());
        to.append(",\"description\":");
        Json.quote(to, c.description());
        return to.append(",\"itemType\":\"feature\",\"crs\":[\"http://www.opengis.net/def/crs/OGC/1.3/CRS84\"],")
                .append(new LinkList(base).add("self", JSON, c.title(), at)
                        .add("items", GEOJSON, c.title(), at + "/items").member())
                .append('}').toString();
    }

    // ---- queries ------------------------------------------------------------------------------------------

    private void items(HttpExchange exchange, HttpMessage request, Collection c, String base)
            throws IOException, HttpProtocolException, InterruptedException {
        ItemsParameters params = ItemsParameters.of(request.target(), c.shards(), c.properties());
        Map<Integer, Integer> from = params.cursor();
        if (from == null) {
            from = new LinkedHashMap<>();
            for (Integer shard : c.shards()) {
                from.put(shard, 0);
            }
        }
        String id = nextId();
        SummaryLeases.PruningDecision cuts = sites == null ? null : sites.decide(c, params, from.keySet(), safe(c));
        List<Integer> asked = cuts == null ? List.copyOf(from.keySet()) : cuts.decision().ask();
        int wanted = Math.max(1, (params.limit() + asked.size() - 1) / Math.max(1, asked.size()));
        Step.FinalStep end = asked.isEmpty() ? new Step.Answer(true, List.of())
                : ask(exchange, request, c, id, asked,
                        new FeatureQuery(c, params.query(), null, wanted, from, safe(c)));
        if (end instanceof Step.Answer || (cuts != null && enough(cuts, c, from.size(), end))) {
            Map<Integer, FeatureQuery.ShardFeatures> shares = new HashMap<>();
            if (end instanceof Step.Answer a) {
                a.values().forEach(v -> shares.put(v.shard(), FeatureQuery.ShardFeatures.decode(v)));
            }
            if (cuts != null) {
                sites.probed(c, cuts, shares);
                for (Pruning.PrunedShard cut : cuts.decision().pruned()) {
                    shares.put(cut.shard(), FeatureQuery.ShardFeatures.of(false, List.of(), "", null));
                }
            }
            answer(exchange, GEOJSON, PruningReport.header(cuts),
                    page(shares, c, params, from, base, request.target(), PruningReport.member(cuts)));
            PruningReport.log(id, c.id(), 200, cuts);
        } else {
            PruningReport.log(id, c.id(), ended(exchange, PruningReport.header(cuts), end), cuts);
        }
    }

    /** Whether those left out alone are the least share of an answer: then it is one, though all others failed. */
    private boolean enough(SummaryLeases.PruningDecision cuts, Collection c, int all, Step.FinalStep end) {
        boolean failed = end instanceof Step.Fail || (end instanceof Step.Reject r && r.attempted());
        return failed && cuts.decision().pruned().size() >= settings.classes().get(c.queryClass()).minimumShare() * all;
    }

    /** Merges the shares, shard by shard, up to the page's limit and size; the rest is for the next page. */
    private byte[] page(Map<Integer, FeatureQuery.ShardFeatures> shares, Collection c, ItemsParameters params,
            Map<Integer, Integer> from,
            String base, String target, String told) {
        var features = new ByteArrayOutputStream();
        var next = new LinkedHashMap<Integer, Integer>();
        var missing = new ArrayList<Integer>();
        int returned = 0;
        for (Map.Entry<Integer, Integer> entry : from.entrySet()) {
            FeatureQuery.ShardFeatures share = shares.get(entry.getKey());
            if (share == null) {
                missing.add(entry.getKey());
                next.put(entry.getKey(), entry.getValue());
                continue;
            }
            int taken = 0;
            for (byte[] f : share.features()) {
                if (returned == params.limit() || (returned > 0 && features.size() + f.length > MOST_FEATURES_BYTES)) {
                    break;
                }
                if (returned++ > 0) {
                    features.write(',');
                }
                features.writeBytes(f);
                taken++;
            }
            if (share.hasMore() || taken < share.features().size()) {
                next.put(entry.getKey(), entry.getValue() + taken);
            }
        }
        String items = "/collections/" + c.id() + "/items";
        var links = new LinkList(base).add("self", GEOJSON, "This page", target)
                .add("collection", JSON, c.title(), "/collections/" + c.id());
        if (!next.isEmpty()) {
            links.add("next", GEOJSON, "Next page", items + params.nextPage(next));
        }
        var all = new ByteArrayOutputStream(features.size() + 1024);
        all.writeBytes(bytes("{\"type\":\"FeatureCollection\",\"timeStamp\":\"" + timeStamp()
                + "\",\"numberReturned\":" + returned + ",\"complete\":" + missing.isEmpty()
                + (missing.isEmpty() ? "" : ",\"missingShards\":" + missing) + told + "," + links.member()
                + ",\"features\":["));
        all.writeBytes(features.toByteArray());
        all.writeBytes(bytes("]}"));
        return all.toByteArray();
    }

    /** One feature may be in any shard. Not found means that all shards said so; those not heard are asked again. */
    private void feature(HttpExchange exchange, HttpMessage request, Collection c, String id, String base)
            throws IOException, HttpProtocolException, InterruptedException {
        String plain = ItemsParameters.decoded(id.replace("+", "%2B"));
        String escaped = java.net.URLEncoder.encode(plain, StandardCharsets.UTF_8).replace("+", "%20");
        List<Integer> left = new ArrayList<>(c.shards());
        while (!left.isEmpty()) {
            Step.FinalStep end = ask(exchange, request, c, nextId(), left,
                    new FeatureQuery(c, "", escaped, 1, Map.of(), safe(c)));
            if (!(end instanceof Step.Answer answer)) {
                ended(exchange, "", end);
                return;
            }
            for (Step.PartValue value : answer.values()) {
                List<byte[]> found = FeatureQuery.ShardFeatures.decode(value).features();
                if (!found.isEmpty()) {
                    answer(exchange, GEOJSON, withLinks(found.get(0), new LinkList(base)
                            .add("self", GEOJSON, "This feature", request.target())
                            .add("collection", JSON, c.title(), "/collections/" + c.id())));
                    return;
                }
                left.remove((Integer) value.shard());
            }
        }
        throw new HttpProtocolException(404, "no such feature");
    }

    /** A feature as it came, but for the links, which are ours. */
    private static byte[] withLinks(byte[] feature, LinkList links) {
        var all = new ByteArrayOutputStream(feature.length + 512);
        all.writeBytes(bytes("{" + links.member()));
        try {
            Json.object(feature, 0, feature.length).places().forEach((name, place) -> {
                if (!name.equals("links")) {
                    var key = new StringBuilder(",");
                    Json.quote(key, name);
                    all.writeBytes(bytes(key.append(':').toString()));
                    all.write(feature, place[0], place[1] - place[0]);
                }
            });
        } catch (Json.Malformed e) {
            throw new IllegalStateException("a feature that was read before: " + e.getMessage());
        }
        all.write('}');
        return all.toByteArray();
    }

    private boolean safe(Collection c) {
        return settings.classes().get(c.queryClass()).idempotency() == Idempotency.IDEMPOTENT;
    }

    private String nextId() {
        return "ogc-" + numbers.incrementAndGet();
    }

    private Step.FinalStep ask(HttpExchange exchange, HttpMessage request, Collection c, String id,
            List<Integer> shards,
            FeatureQuery upstream) throws HttpProtocolException, InterruptedException {
        long deadline = clock.at(request.begunAt()) + settings.classes().get(c.queryClass()).clientTimeout()
                - FOR_THE_WIRE;
        var asks = new ArrayList<Query.PartRequest>();
        shards.forEach(s -> asks.add(new Query.PartRequest(s, 1.0 / shards.size(), -1)));
        Query query = gatherer.open(id, c.queryClass(), deadline, false, asks, upstream);
        exchange.whenGone(() -> gatherer.clientDisconnected(query));
        return gatherer.run(query, servers);
    }

    /**
     * What is not answered: turned away unseen is 503; begun and below the floor is the servers' failure.
     *
     * @return the status; 0 where nobody waits for one
     */
    private static int ended(HttpExchange exchange, String headers, Step.FinalStep end) throws IOException {
        if (end instanceof Step.Reject r) {
            String wait = String.format(Locale.ROOT, "Retry-After: %d\r\n", (r.retryAfter() + 999_999) / 1_000_000);
            int status = !r.attempted() ? 503 : r.timedOut() ? 504 : 502;
            problem(exchange, status, headers + wait,
                    r.attempted() ? "too few feature servers answered" : "refused for now");
            return status;
        }
        if (end instanceof Step.Fail f) {
            problem(exchange, f.timedOut() ? 504 : 502, headers, "too few feature servers answered");
            return f.timedOut() ? 504 : 502;
        }
        return 0;
    }

    private static void problem(HttpExchange exchange, int status, String headers, String what)
            throws IOException {
        var to = new StringBuilder("{\"code\":\"" + status + "\",\"description\":");
        Json.quote(to, what);
        exchange.answer(status, headers + "Content-Type: application/json\r\n", bytes(to.append('}').toString()));
    }

    private static void answer(HttpExchange exchange, String type, String text) throws IOException {
        answer(exchange, type, bytes(text));
    }

    private static void answer(HttpExchange exchange, String type, byte[] body) throws IOException {
        answer(exchange, type, "", body);
    }

    private static void answer(HttpExchange exchange, String type, String headers, byte[] body) throws IOException {
        exchange.answer(200, headers + "Content-Type: " + type + "\r\n", body);
    }

    private static String timeStamp() {
        return Instant.now().truncatedTo(ChronoUnit.SECONDS).toString();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
