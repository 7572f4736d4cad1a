package wallmoor.ogc;

import static wallmoor.ogc.HttpResponses.GEOJSON;
import static wallmoor.ogc.HttpResponses.JSON;
import static wallmoor.ogc.HttpResponses.bytes;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import wallmoor.config.OgcConfig.Collection;
import wallmoor.core.Step;
import wallmoor.http.ByteSlice;
import wallmoor.http.HttpExchange;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;

/**
 * Handles {@code /collections/ID/items/FEATURE}. The feature may be in any shard, so 404 is answered only once every
 * shard has reported that it lacks the feature, and a feature is answered as soon as a shard has returned it. All of
 * this is one query, so that what its class allows for a part holds for the whole request.
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
        LinkList links = new LinkList(base).add("self", GEOJSON, "This feature", request.target())
                .add("collection", JSON, collection.title(), "/collections/" + collection.id());
        Lookup lookup;
        try {
            lookup = lookUpWithMemory(exchange, request, collection, escapedId, links);
        } catch (MemoryExhaustedException e) {
            HttpResponses.memoryExhausted(exchange, "", e);
            return;
        }
        if (lookup.failure() != null) {
            HttpResponses.queryFailure(exchange, "", lookup.failure());
        } else if (lookup.document() != null) {
            HttpResponses.document(exchange, GEOJSON, "", lookup.document());
        } else {
            throw new HttpProtocolException(404, "no such feature");
        }
    }

    /** The outcome of a look-up: the failed query, or the feature's document; neither if no shard has the feature. */
    private record Lookup(Step.FinalStep failure, byte[] document) {}

    /** Looks up a feature. The memory that this needs is free again when this returns. */
    private Lookup lookUpWithMemory(HttpExchange exchange, HttpMessage request, Collection collection,
            String escapedId, LinkList links) throws InterruptedException, MemoryExhaustedException {
        QueryMemory.Reservation reservation = queries.reserveMemory(request, collection, collection.shards().size());
        try {
            return lookUp(exchange, request, collection, escapedId, links);
        } finally {
            reservation.release();
        }
    }

    private Lookup lookUp(HttpExchange exchange, HttpMessage request, Collection collection, String escapedId,
            LinkList links) throws InterruptedException {
        Step.FinalStep finalStep = queries.runUntilDecided(exchange, request, queries.nextId(), collection.shards(),
                new FeatureQuery(collection, "", escapedId, 1, Map.of(), queries.isIdempotent(collection)),
                FeatureHandler::hasFeature);
        if (!(finalStep instanceof Step.Answer answer)) {
            return new Lookup(finalStep, null);
        }
        for (Step.PartValue value : answer.values()) {
            List<ByteSlice> features = FeatureQuery.ShardFeatures.decode(value.bytes()).features();
            if (!features.isEmpty()) {
                return new Lookup(null, withLinks(features.get(0), links));
            }
        }
        return new Lookup(null, null);
    }

    private static boolean hasFeature(byte[] partValue) {
        return !FeatureQuery.ShardFeatures.decode(partValue).features().isEmpty();
    }

    /** Returns the id with normalized percent-encoding. In a path, a plus sign doesn't stand for a space. */
    private static String normalizeEscapes(String pathSegment) throws HttpProtocolException {
        String decodedId = ItemsParameters.decode(pathSegment.replace("+", "%2B"));
        return URLEncoder.encode(decodedId, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /** Returns the feature as the server sent it, with its links replaced by these. */
    private static byte[] withLinks(ByteSlice feature, LinkList links) {
        var document = new ByteArrayOutputStream(feature.length() + LINKS_BYTES);
        document.writeBytes(bytes("{" + links.member()));
        FeatureJsonReader.copyMembersExcept("links", feature, document);
        document.write('}');
        return document.toByteArray();
    }
}
