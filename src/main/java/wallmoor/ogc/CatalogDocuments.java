package wallmoor.ogc;

import static wallmoor.ogc.HttpResponses.GEOJSON;
import static wallmoor.ogc.HttpResponses.JSON;
import static wallmoor.ogc.HttpResponses.OPENAPI;

import java.util.ArrayList;
import wallmoor.config.OgcConfig;
import wallmoor.config.OgcConfig.Collection;
import wallmoor.json.Json;

/** Builds the documents that describe the service: landing page, conformance classes and collections. */
final class CatalogDocuments {
    /** The conformance classes of OGC API - Features Part 1 that this front implements. */
    static final String CONFORMANCE = "{\"conformsTo\":["
            + "\"http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core\","
            + "\"http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/geojson\"]}";

    private CatalogDocuments() {}

    static String landingPage(OgcConfig config, String base) {
        var text = new StringBuilder("{\"title\":");
        Json.quote(text, config.title());
        return text.append(",\"description\":\"Features gathered from feature servers\",")
                .append(new LinkList(base).add("self", JSON, "This page", "/")
                        .add("service-desc", OPENAPI, "API definition", "/api")
                        .add("conformance", JSON, "Conformance classes", "/conformance")
                        .add("data", JSON, "Collections", "/collections").member())
                .append('}').toString();
    }

    static String collections(OgcConfig config, String base) {
        var documents = new ArrayList<String>();
        config.collections().values().forEach(collection -> documents.add(collection(collection, base)));
        return "{" + new LinkList(base).add("self", JSON, "Collections", "/collections").member()
                + ",\"collections\":[" + String.join(",", documents) + "]}";
    }

    static String collection(Collection collection, String base) {
        String path = "/collections/" + collection.id();
        var text = new StringBuilder("{\"id\":\"" + collection.id() + "\",\"title\":");
        Json.quote(text, collection.title());
        text.append(",\"description\":");
        Json.quote(text, collection.description());
        return text.append(",\"itemType\":\"feature\",\"crs\":[\"http://www.opengis.net/def/crs/OGC/1.3/CRS84\"],")
                .append(new LinkList(base).add("self", JSON, collection.title(), path)
                        .add("items", GEOJSON, collection.title(), path + "/items").member())
                .append('}').toString();
    }
}
