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
 * Answers {@code /collections/ID/items/FEATURE}. The feature may be in any shard: not found means that all shards said
 * so, and those not heard are asked again.
 */
final class FeatureHandler {
    /** A guess at the links' size, in bytes. */
    private static final int LINKS_BYTES = 512;

    private final FeatureQueryRunner queries;

    FeatureHandler(FeatureQueryRunner queries) {
        this.queries = queries;
    }

    /**
     * Answers with the feature.
     *
     * @param pathSegment the feature's id as the path has it, escaped
     */
    void answer(HttpExchange exchange, HttpMessage request, Collection collection, String pathSegment, String base)
            throws IOException, HttpProtocolException, InterruptedException {
        String escapedId = normalized(pathSegment);
        List<Integer> unheard = new ArrayList<>(collection.shards());
        while (!unheard.isEmpty()) {
            Step.FinalStep end = queries.run(exchange, request, queries.nextId(), unheard,
                    new FeatureQuery(collection, "", escapedId, 1, Map.of(), queries.idempotent(collection)));
            if (!(end instanceof Step.Answer answer)) {
                HttpResponses.queryFailure(exchange, "", end);
                return;
            }
            for (Step.PartValue value : answer.values()) {
                List<byte[]> found = FeatureQuery.ShardFeatures.decode(value).features();
                if (!found.isEmpty()) {
                    LinkList links = new LinkList(base).add("self", GEOJSON, "This feature", request.target())
                            .add("collection", JSON, collection.title(), "/collections/" + collection.id());
                    HttpResponses.document(exchange, GEOJSON, "", withLinks(found.get(0), links));
                    return;
                }
                unheard.remove((Integer) value.shard());
            }
        }
        throw new HttpProtocolException(404, "no such feature");
    }

    /** The id escaped in one way, whatever the client escaped; a plus sign of a path is no space. */
    private static String normalized(String pathSegment) throws HttpProtocolException {
        String plain = ItemsParameters.decoded(pathSegment.replace("+", "%2B"));
        return URLEncoder.encode(plain, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /** A feature as it came, but for the links, which are ours. */
    private static byte[] withLinks(byte[] feature, LinkList links) {
        var document = new ByteArrayOutputStream(feature.length + LINKS_BYTES);
        document.writeBytes(bytes("{" + links.member()));
        try {
            Json.object(feature, 0, feature.length).places().forEach((name, place) -> {
                if (!name.equals("links")) {
                    var key = new StringBuilder(",");
                    Json.quote(key, name);
                    document.writeBytes(bytes(key.append(':').toString()));
                    document.write(feature, place[0], place[1] - place[0]);
                }
            });
        } catch (Json.Malformed e) {
            throw new MalformedFeatureException(e);
        }
        document.write('}');
        return document.toByteArray();
    }
}
