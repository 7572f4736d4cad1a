package wallmoor.ogc;

import java.io.IOException;
import wallmoor.config.OgcConfig;
import wallmoor.config.OgcConfig.Collection;
import wallmoor.http.HttpExchange;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;

/** Routes a request to the resource that its path names. */
final class ResourceRouter {
    private final OgcConfig config;
    private final ItemsHandler items;
    private final FeatureHandler features;

    ResourceRouter(OgcConfig config, ItemsHandler items, FeatureHandler features) {
        this.config = config;
        this.items = items;
        this.features = features;
    }

    /** Answers a request, with an exception document if it is malformed or names no resource. */
    void handle(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        try {
            route(request, exchange);
        } catch (HttpProtocolException e) {
            HttpResponses.exception(exchange, e.status(), "", e.getMessage());
        }
    }

    private void route(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        if (!request.method().equals("GET") && !request.method().equals("HEAD")) {
            HttpResponses.exception(exchange, 405, "Allow: GET, HEAD\r\n", "method not allowed");
            return;
        }
        String target = request.target();
        String path = target.split("\\?", 2)[0];
        String base = baseUrl(request);
        switch (path) {
            case "/" -> {
                ItemsParameters.requireNone(target);
                HttpResponses.document(exchange, HttpResponses.JSON, CatalogDocuments.landingPage(config, base));
            }
            case "/conformance" -> {
                ItemsParameters.requireNone(target);
                HttpResponses.document(exchange, HttpResponses.JSON, CatalogDocuments.CONFORMANCE);
            }
            case "/api" -> {
                ItemsParameters.requireNone(target);
                HttpResponses.document(exchange, HttpResponses.OPENAPI, OpenApiDocument.text(config, base));
            }
            case "/collections" -> {
                ItemsParameters.requireNone(target);
                HttpResponses.document(exchange, HttpResponses.JSON, CatalogDocuments.collections(config, base));
            }
            default -> routeCollection(request, exchange, path.split("/", -1), base);
        }
    }

    /** Answers {@code /collections/ID}, {@code /collections/ID/items} and {@code /collections/ID/items/FEATURE}. */
    private void routeCollection(HttpMessage request, HttpExchange exchange, String[] segments, String base)
            throws IOException, HttpProtocolException, InterruptedException {
        if (segments.length < 3 || !segments[1].equals("collections")
                || !config.collections().containsKey(segments[2])) {
            throw noSuchResource();
        }
        Collection collection = config.collections().get(segments[2]);
        if (segments.length == 3) {
            ItemsParameters.requireNone(request.target());
            HttpResponses.document(exchange, HttpResponses.JSON, CatalogDocuments.collection(collection, base));
            return;
        }
        if (!segments[3].equals("items")) {
            throw noSuchResource();
        }
        if (segments.length == 4) {
            items.handle(exchange, request, collection, base);
        } else if (segments.length == 5 && !segments[4].isEmpty()) {
            ItemsParameters.requireNone(request.target());
            features.handle(exchange, request, collection, segments[4], base);
        } else {
            throw noSuchResource();
        }
    }

    private static HttpProtocolException noSuchResource() {
        return new HttpProtocolException(404, "no such resource");
    }

    /** Returns the prefix of all links: the configured base URL, or else the host that the client requested. */
    private String baseUrl(HttpMessage request) throws HttpProtocolException {
        if (config.base() != null) {
            return config.base();
        }
        String host = request.header("Host");
        if (host == null || !host.matches("[A-Za-z0-9.:\\[\\]-]{1,255}")) {
            throw new HttpProtocolException(400, "Host is absent or malformed");
        }
        return "http://" + host;
    }
}
