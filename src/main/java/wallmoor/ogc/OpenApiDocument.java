package wallmoor.ogc;

import java.util.ArrayList;
import wallmoor.config.OgcConfig;
import wallmoor.json.Json;

/** The API definition that the landing page links to: OpenAPI 3.0, one entry a resource. */
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
        for (OgcConfig.Collection c : config.collections().values()) {
            String at = "/collections/" + c.id();
            paths.add(path(at, "The collection " + c.id(), ""));
            paths.add(path(at + "/items", "Features of " + c.id(), LIMIT + "," + BBOX + "," + DATETIME + "," + CURSOR
                    + properties(c)));
            paths.add(path(at + "/items/{featureId}", "One feature of " + c.id(), ID));
        }
        var to = new StringBuilder("{\"openapi\":\"3.0.3\",\"info\":{\"title\":");
        Json.quote(to, config.title());
        to.append(",\"version\":\"1.0\"},\"servers\":[{\"url\":");
        Json.quote(to, base);
        return to.append("}],\"paths\":{").append(String.join(",", paths)).append("}}").toString();
    }

    private static String properties(OgcConfig.Collection c) {
        var to = new StringBuilder();
        c.properties().forEach(p -> to.append(',').append(parameter(p, "query", false, "\"type\":\"string\"")));
        return to.toString();
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
