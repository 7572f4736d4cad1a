package wallmoor.ogc;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import wallmoor.core.Attempt;
import wallmoor.http.ByteSlice;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.json.Json;

/**
 * Reads all upstream pages of one part, one after another. The part counts only when all of them are in; a later page
 * that fails may not pass for a part that never ran.
 */
final class ShardPageReader {
    /** Upstream pages of one part at most: what a server has beyond them is for the client's next page. */
    private static final int MAX_PAGES = 64;
    /** Features asked for at once: a page must fit the longest body. */
    private static final int MAX_FEATURES_PER_REQUEST = 50;
    /** A page that was too long is asked for again with a limit so many times smaller. */
    private static final int LIMIT_DIVISOR = 4;

    private final Attempt attempt;
    private final FetchConnection connection;
    private final FeatureQuery query;
    private final List<byte[]> features = new ArrayList<>();
    private int featureBytes;
    /** Features asked for at once; smaller after a page that was too long. */
    private int limit;
    /** The version of its data that the server told with its last page, or null. */
    private String dataVersion;

    ShardPageReader(Attempt attempt, FetchConnection connection, FeatureQuery query) {
        this.attempt = attempt;
        this.connection = connection;
        this.query = query;
        limit = Math.min(MAX_FEATURES_PER_REQUEST, query.maxFeatures());
    }

    /** Reads the shard's part of a page, or the one feature that the query names. */
    FeatureQuery.ShardFeatures read() throws IOException, HttpProtocolException, Json.Malformed,
            ServerRejectedException, SendNotPermittedException {
        return query.featureId() != null ? readFeature() : readPages();
    }

    private FeatureQuery.ShardFeatures readFeature() throws IOException, HttpProtocolException, Json.Malformed,
            ServerRejectedException, SendNotPermittedException {
        HttpMessage answer = get(query.collection().itemsPath(attempt.shard()) + "/" + query.featureId());
        if (answer.status() != 404) {
            ByteSlice body = answer.body();
            addFeature(Json.object(body.buffer(), body.from(), body.length()), body);
        }
        return share(1, false);
    }

    private FeatureQuery.ShardFeatures readPages() throws IOException, HttpProtocolException, Json.Malformed,
            ServerRejectedException, SendNotPermittedException {
        int offset = query.offsets().get(attempt.shard());
        String target = target(offset);
        for (int page = 0; page < MAX_PAGES; page++) {
            ByteSlice body;
            try {
                body = get(target).body();
            } catch (HttpProtocolException e) {
                reduceLimit(e);
                target = target(offset + features.size());
                continue;
            }
            Json.Obj json = Json.object(body.buffer(), body.from(), body.length());
            addFeatures(json, body);
            String next = nextLink(json);
            if (next == null || features.size() >= query.maxFeatures()
                    || featureBytes > ItemsPage.MAX_FEATURES_BYTES) {
                return share(query.maxFeatures(), next != null);
            }
            target = resolveOnThisServer(next, target);
        }
        if (features.isEmpty()) {
            throw new HttpProtocolException(502, "pages without end");
        }
        return share(query.maxFeatures(), true);
    }

    private HttpMessage get(String target) throws IOException, HttpProtocolException, ServerRejectedException,
            SendNotPermittedException {
        HttpMessage answer = connection.get(target);
        dataVersion = answer.header("Wallmoor-Data");
        return answer;
    }

    /** So many features don't fit a body: fewer may. Any other failure ends the part. */
    private void reduceLimit(HttpProtocolException failure) throws HttpProtocolException {
        if (failure.status() != 413 || limit == 1 || !query.idempotent()) {
            throw failure;
        }
        limit = Math.max(1, limit / LIMIT_DIVISOR);
        connection.reconnectBeforeNextRequest();
    }

    private String target(int offset) {
        return query.collection().itemsPath(attempt.shard()) + "?limit=" + limit + "&offset=" + offset + query.query();
    }

    private void addFeatures(Json.Obj page, ByteSlice body) throws HttpProtocolException {
        if (!"FeatureCollection".equals(page.text("type")) || page.list("features") == null) {
            throw new HttpProtocolException(502, "no FeatureCollection");
        }
        for (Object item : page.list("features")) {
            if (!(item instanceof Json.Obj feature)) {
                throw new HttpProtocolException(502, "no Feature");
            }
            addFeature(feature, body);
        }
    }

    private void addFeature(Json.Obj feature, ByteSlice body) throws HttpProtocolException {
        if (!"Feature".equals(feature.text("type")) || !feature.members().containsKey("geometry")) {
            throw new HttpProtocolException(502, "no Feature");
        }
        features.add(Arrays.copyOfRange(body.buffer(), feature.start(), feature.end()));
        featureBytes += feature.end() - feature.start();
    }

    /** At most the features wanted; those beyond are still to come. */
    private FeatureQuery.ShardFeatures share(int wanted, boolean more) {
        return FeatureQuery.ShardFeatures.of(more || features.size() > wanted,
                features.subList(0, Math.min(features.size(), wanted)), attempt.worker().id(), dataVersion);
    }

    /** Pages of a part belong to its attempt: a link to another machine is not followed. */
    private String resolveOnThisServer(String next, String from) throws HttpProtocolException {
        try {
            URI uri = URI.create("http://" + attempt.worker().address() + from).resolve(next);
            boolean here = attempt.worker().address().equals(uri.getRawAuthority());
            if (!here || uri.getRawPath() == null || uri.getRawPath().isEmpty()) {
                throw new HttpProtocolException(502, "next page on another server");
            }
            return uri.getRawPath() + (uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery());
        } catch (IllegalArgumentException e) {
            throw new HttpProtocolException(502, "malformed link");
        }
    }

    private static String nextLink(Json.Obj page) {
        List<?> links = page.list("links");
        for (Object link : links == null ? List.of() : links) {
            if (link instanceof Json.Obj object && "next".equals(object.text("rel"))) {
                return object.text("href");
            }
        }
        return null;
    }
}
