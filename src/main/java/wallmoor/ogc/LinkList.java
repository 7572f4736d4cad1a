package wallmoor.ogc;

import wallmoor.json.Json;

/** Builds the list of links of a resource. */
final class LinkList {
    private final String base;
    private final StringBuilder text = new StringBuilder();

    LinkList(String base) {
        this.base = base;
    }

    /** Adds a link whose URL is the base followed by {@code target}. */
    LinkList add(String rel, String type, String title, String target) {
        text.append(text.length() == 0 ? "" : ",").append("{\"href\":");
        Json.quote(text, base + target);
        text.append(",\"rel\":\"").append(rel).append("\",\"type\":\"").append(type).append("\",\"title\":");
        Json.quote(text, title);
        text.append('}');
        return this;
    }

    /** Returns the list as the member {@code links} of a JSON object. */
    String member() {
        return "\"links\":[" + text + "]";
    }
}
