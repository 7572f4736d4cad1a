package wallmoor.ogc;

import static wallmoor.ogc.HttpResponses.GEOJSON;
import static wallmoor.ogc.HttpResponses.JSON;
import static wallmoor.ogc.HttpResponses.bytes;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wallmoor.config.OgcConfig.Collection;
import wallmoor.core.Step;
import wallmoor.http.HttpExchange;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.json.Json;

/**
 * Handles {@code /collections/ID/items/FEATURE}. The feature may be in any shard, so 404 is answered only once every
 * shard has reported that it lacks the feature. Shards that did not answer are queried again.
 */
final class FeatureHandler {
    /** The estimated size of the links, for the initial buffer. */
    private static final int LINKS_BYTES = 512;

    private final FeatureQueryRunner queries;

    FeatureHandler(FeatureQueryRunner queries) {
        this.queries = queries;
    }

    /**
     * Answers a request for one feature.
     *
     * @param pathSegment the feature's id as it stands in the path, percent-encoded
     */
    void handle(HttpExchange exchange, HttpMessage request, Collection collection, String pathSegment, String base)
            throws IOException, HttpProtocolException, InterruptedException {
        String escapedId = normalizeEscapes(pathSegment);
        List<Integer> unansweredShards = new ArrayList<>(collection.shards());
        while (!unansweredShards.isEmpty()) {
            Step.FinalStep finalStep = queries.run(exchange, request, queries.nextId(), unansweredShards,
                    new FeatureQuery(collection, "", escapedId, 1, Map.of(), queries.isIdempotent(collection)));
            if (!(finalStep instanceof Step.Answer answer)) {
                HttpResponses.queryFailure(exchange, "", finalStep);
                return;
            }
            for (Step.PartValue value : answer.values()) {
                List<byte[]> features = FeatureQuery.ShardFeatures.decode(value).features();
                if (!features.isEmpty()) {
                    LinkList links = new LinkList(base).add("self", GEOJSON, "This feature", request.target())
                            .add("collection", JSON, collection.title(), "/collections/" + collection.id());
                    HttpResponses.document(exchange, GEOJSON, "", withLinks(features.get(0), links));
                    return;
                }
                unansweredShards.remove((Integer) value.shard());
            }
        }
        throw new HttpProtocolException(404, "no such feature");
    }

    /** Returns the id with normalized percent-encoding. In a path, a plus sign doesn't stand for a space. */
    private static String normalizeEscapes(String pathSegment) throws HttpProtocolException {
        String decodedId = ItemsParameters.decode(pathSegment.replace("+", "%2B"));
        return URLEncoder.encode(decodedId, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /** Returns the feature as the server sent it, with its links replaced by these. */
    private static byte[] withLinks(byte[] feature, LinkList links) {
        var document = new ByteArrayOutputStream(feature.length + LINKS_BYTES);
        document.writeBytes(bytes("{" + links.member()));
        try {
            Json.object(feature, 0, feature.length).memberRanges().forEach((name, range) -> {
                if (!name.equals("links")) {
                    var key = new StringBuilder(",");
                    Json.quote(key, name);
                    document.writeBytes(bytes(key.append(':').toString()));
                    document.write(feature, range[0], range[1] - range[0]);
                }
            });
        } catch (Json.Malformed e) {
            throw new MalformedFeatureException(e);
        }
        document.write('}');
        return document.toByteArray();
    }
}
