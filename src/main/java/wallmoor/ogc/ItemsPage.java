package wallmoor.ogc;

import static wallmoor.ogc.HttpResponses.GEOJSON;
import static wallmoor.ogc.HttpResponses.JSON;
import static wallmoor.ogc.HttpResponses.bytes;

import java.io.ByteArrayOutputStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wallmoor.config.OgcConfig.Collection;
import wallmoor.http.ByteSlice;
import wallmoor.http.HttpReader;

/**
 * One page of features, merged shard by shard up to the page's limit and maximum size; the rest is for the next page. A
 * page that lacks a shard's share lists that shard, and its next link requests that share again. So no features are
 * lost without notice.
 */
final class ItemsPage {
    /** The maximum total size of a page's features: the maximum body size less room for the other members. */
    static final int MAX_FEATURES_BYTES = HttpReader.MAX_BODY_BYTES - 8 * 1024;
    /** The estimated size of a page's other members, for the initial buffer. */
    private static final int ENVELOPE_BYTES = 1024;

    private final Collection collection;
    private final ItemsParameters parameters;
    private final ByteArrayOutputStream features = new ByteArrayOutputStream();
    private final Map<Integer, Integer> nextOffsets = new LinkedHashMap<>();
    private final List<Integer> missingShards = new ArrayList<>();
    private int returned;

    /**
     * Merges a page.
     *
     * @param offsets for each shard of this page, how many features earlier pages have taken
     * @param results the result of each shard; a shard without one is missing
     */
    ItemsPage(Collection collection, ItemsParameters parameters, Map<Integer, Integer> offsets,
            Map<Integer, FeatureQuery.ShardFeatures> results) {
        this.collection = collection;
        this.parameters = parameters;
        offsets.forEach((shard, offset) -> merge(shard, offset, results.get(shard)));
    }

    private void merge(Integer shard, int offset, FeatureQuery.ShardFeatures result) {
        if (result == null) {
            missingShards.add(shard);
            nextOffsets.put(shard, offset);
            return;
        }
        int taken = 0;
        for (ByteSlice feature : result.features()) {
            if (!hasRoom(feature)) {
                break;
            }
            add(feature);
            taken++;
        }
        if (result.hasMore() || taken < result.features().size()) {
            nextOffsets.put(shard, offset + taken);
        }
    }

    /** Returns whether the feature fits this page; the first one always does. */
    private boolean hasRoom(ByteSlice feature) {
        return returned < parameters.limit()
                && (returned == 0 || features.size() + feature.length() <= MAX_FEATURES_BYTES);
    }

    private void add(ByteSlice feature) {
        if (returned > 0) {
            features.write(',');
        }
        features.write(feature.buffer(), feature.from(), feature.length());
        returned++;
    }

    /**
     * Returns the page as a GeoJSON feature collection.
     *
     * @param base          the prefix of all links
     * @param target        the request's target, for the link to this page
     * @param pruningMember the member about pruned shards with a comma before it, or an empty string
     */
    byte[] document(String base, String target, String pruningMember) {
        boolean complete = missingShards.isEmpty();
        var document = new ByteArrayOutputStream(features.size() + ENVELOPE_BYTES);
        document.writeBytes(bytes("{\"type\":\"FeatureCollection\",\"timeStamp\":\"" + timeStamp()
                + "\",\"numberReturned\":" + returned + ",\"complete\":" + complete
                + (complete ? "" : ",\"missingShards\":" + missingShards) + pruningMember + ","
                + links(base, target).member() + ",\"features\":["));
        document.writeBytes(features.toByteArray());
        document.writeBytes(bytes("]}"));
        return document.toByteArray();
    }

    private LinkList links(String base, String target) {
        String path = "/collections/" + collection.id();
        var links = new LinkList(base).add("self", GEOJSON, "This page", target)
                .add("collection", JSON, collection.title(), path);
        if (!nextOffsets.isEmpty()) {
            links.add("next", GEOJSON, "Next page", path + "/items" + parameters.nextPageQuery(nextOffsets));
        }
        return links;
    }

    private static String timeStamp() {
        return Instant.now().truncatedTo(ChronoUnit.SECONDS).toString();
    }
}
