package wallmoor.ogc;

import java.util.ArrayList;
import wallmoor.config.OgcConfig;
import wallmoor.json.Json;

/** Builds the API definition that the landing page links to: OpenAPI 3.0, with one path per resource. */
final class OpenApiDocument {
    private static final String LIMIT = parameter("limit", "query", false,
            "\"type\":\"integer\",\"minimum\":1,\"maximum\":" + ItemsParameters.MAX_LIMIT + ",\"default\":10");
    private static final String BBOX = parameter("bbox", "query", false,
            "\"type\":\"array\",\"minItems\":4,\"maxItems\":6,\"items\":{\"type\":\"number\"}")
            .replace("\"in\"", "\"style\":\"form\",\"explode\":false,\"in\"");
    private static final String DATETIME = parameter("datetime", "query", false, "\"type\":\"string\"");
    private static final String CURSOR = parameter("cursor", "query", false, "\"type\":\"string\"");
    private static final String ID = parameter("featureId", "path", true, "\"type\":\"string\"");

    private OpenApiDocument() {}

    static String text(OgcConfig config, String base) {
        var paths = new ArrayList<String>();
        paths.add(path("/", "Landing page", ""));
        paths.add(path("/conformance", "Conformance classes", ""));
        paths.add(path("/collections", "Collections", ""));
        for (OgcConfig.Collection collection : config.collections().values()) {
            String path = "/collections/" + collection.id();
            paths.add(path(path, "The collection " + collection.id(), ""));
            paths.add(path(path + "/items", "Features of " + collection.id(),
                    LIMIT + "," + BBOX + "," + DATETIME + "," + CURSOR + properties(collection)));
            paths.add(path(path + "/items/{featureId}", "One feature of " + collection.id(), ID));
        }
        var text = new StringBuilder("{\"openapi\":\"3.0.3\",\"info\":{\"title\":");
        Json.quote(text, config.title());
        text.append(",\"version\":\"1.0\"},\"servers\":[{\"url\":");
        Json.quote(text, base);
        return text.append("}],\"paths\":{").append(String.join(",", paths)).append("}}").toString();
    }

    private static String properties(OgcConfig.Collection collection) {
        var text = new StringBuilder();
        collection.properties().forEach(property -> text.append(',')
                .append(parameter(property, "query", false, "\"type\":\"string\"")));
        return text.toString();
    }

    private static String path(String path, String summary, String parameters) {
        return "\"" + path + "\":{\"get\":{\"summary\":\"" + summary + "\",\"parameters\":[" + parameters
                + "],\"responses\":{\"200\":{\"description\":\"answered\"},\"400\":{\"description\":\"bad request\"},"
                + "\"default\":{\"description\":\"refused or failed\"}}}}";
    }

    private static String parameter(String name, String in, boolean required, String schema) {
        return "{\"name\":\"" + name + "\",\"in\":\"" + in + "\",\"required\":" + required + ",\"schema\":{" + schema
                + "}}";
    }
}
