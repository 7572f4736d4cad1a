package wallmoor.ogc;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import wallmoor.core.Attempt;
import wallmoor.http.ByteSlice;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;

/**
 * Reads all upstream pages of one part, one after another. If a later page fails, the part fails, and may have run
 * already, so it is not reported as rejected or not sent. If the server starts to drain, the part ends with the pages
 * read until then.
 */
final class ShardPageReader {
    /** The maximum number of upstream pages of one part; features beyond them are for the client's next page. */
    private static final int MAX_PAGES = 64;
    /** The maximum number of features per request, as an upstream page must fit the maximum body size. */
    private static final int MAX_FEATURES_PER_REQUEST = 50;
    /** A page that was too long is requested again with the limit divided by this. */
    private static final int LIMIT_DIVISOR = 4;

    private final Attempt attempt;
    private final FetchConnection connection;
    private final FeatureQuery query;
    private final List<ByteSlice> features = new ArrayList<>();
    private int featureBytes;
    /** Whether a feature was left out because the client's page has no room for it. */
    private boolean hasDropped;
    /** The number of features per request; smaller after a page that was too long. */
    private int limit;
    /** The version of the server's data as its last response had it, or null. */
    private String dataVersion;

    ShardPageReader(Attempt attempt, FetchConnection connection, FeatureQuery query) {
        this.attempt = attempt;
        this.connection = connection;
        this.query = query;
        limit = Math.min(MAX_FEATURES_PER_REQUEST, query.maxFeatures());
    }

    /** Reads the shard's share of a page, or the one feature that the query requests. */
    FeatureQuery.ShardFeatures read() throws IOException, HttpProtocolException, ServerRejectedException,
            SendNotPermittedException {
        return query.featureId() != null ? readFeature() : readPages();
    }

    private FeatureQuery.ShardFeatures readFeature() throws IOException, HttpProtocolException,
            ServerRejectedException, SendNotPermittedException {
        HttpMessage response = get(query.collection().itemsPath(attempt.shard()) + "/" + query.featureId());
        if (response.status() != 404) {
            addFeature(FeatureJsonReader.feature(response.body()));
        }
        return result(false);
    }

    private FeatureQuery.ShardFeatures readPages() throws IOException, HttpProtocolException,
            ServerRejectedException, SendNotPermittedException {
        int offset = query.offsets().get(attempt.shard());
        String target = pageTarget(offset);
        for (int page = 0; page < MAX_PAGES; page++) {
            FeatureJsonReader.FeaturePage upstreamPage;
            try {
                upstreamPage = FeatureJsonReader.page(get(target).body());
            } catch (SendNotPermittedException e) {
                if (features.isEmpty() || !e.isServerLeaving()) {
                    throw e;
                }
                return result(true); // the features of later pages are for the client's next page, by another server
            } catch (HttpProtocolException e) {
                reduceLimit(e);
                target = pageTarget(offset + features.size());
                continue;
            }
            upstreamPage.features().forEach(this::addFeature);
            String next = upstreamPage.nextLink();
            if (next == null || hasDropped || features.size() >= query.maxFeatures()) {
                return result(next != null);
            }
            target = resolveOnThisServer(next, target);
        }
        if (features.isEmpty()) {
            throw new HttpProtocolException(502, "no features in the first " + MAX_PAGES + " pages");
        }
        return result(true);
    }

    private HttpMessage get(String target) throws IOException, HttpProtocolException, ServerRejectedException,
            SendNotPermittedException {
        HttpMessage response = connection.get(target);
        dataVersion = response.header("Wallmoor-Data");
        return response;
    }

    /** Reduces the limit if a page was too long for a body. Rethrows any other failure, which ends the part. */
    private void reduceLimit(HttpProtocolException failure) throws HttpProtocolException {
        if (failure.status() != 413 || limit == 1 || !query.idempotent()) {
            throw failure;
        }
        limit = Math.max(1, limit / LIMIT_DIVISOR);
        connection.reconnectBeforeNextRequest();
    }

    private String pageTarget(int offset) {
        return query.collection().itemsPath(attempt.shard()) + "?limit=" + limit + "&offset=" + offset
                + query.filterQuery();
    }

    /** Keeps a copy of a feature if the client's page may have room for it, given this shard's earlier features. */
    private void addFeature(ByteSlice feature) {
        boolean hasRoom = features.isEmpty() || (features.size() < query.maxFeatures()
                && featureBytes + feature.length() <= ItemsPage.MAX_FEATURES_BYTES);
        if (hasDropped || !hasRoom) {
            hasDropped = true;
            return;
        }
        features.add(feature.copy());
        featureBytes += feature.length();
    }

    /** Creates the part's result; it has more features if the server has, or if some were left out. */
    private FeatureQuery.ShardFeatures result(boolean serverHasMore) {
        return FeatureQuery.ShardFeatures.of(serverHasMore || hasDropped, features, attempt.worker().id(), dataVersion);
    }

    /** Resolves a link to the next page. All pages of a part come from its attempt's server, so others are rejected. */
    private String resolveOnThisServer(String next, String currentTarget) throws HttpProtocolException {
        try {
            URI uri = URI.create("http://" + attempt.worker().address() + currentTarget).resolve(next);
            boolean isSameServer = attempt.worker().address().equals(uri.getRawAuthority());
            if (!isSameServer || uri.getRawPath() == null || uri.getRawPath().isEmpty()) {
                throw new HttpProtocolException(502, "link to the next page is for another server: " + next);
            }
            return uri.getRawPath() + (uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery());
        } catch (IllegalArgumentException e) {
            throw new HttpProtocolException(502, "link to the next page is malformed: " + next);
        }
    }
}
