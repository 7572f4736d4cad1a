package wallmoor.ogc;

import wallmoor.json.Json;

/** Builds the lists of links that the standard's resources carry. */
final class LinkList {
    private final String base;
    private final StringBuilder text = new StringBuilder();

    LinkList(String base) {
        this.base = base;
    }

    LinkList add(String rel, String type, String title, String target) {
        text.append(text.length() == 0 ? "" : ",").append("{\"href\":");
        Json.quote(text, base + target);
        text.append(",\"rel\":\"").append(rel).append("\",\"type\":\"").append(type).append("\",\"title\":");
        Json.quote(text, title);
        text.append('}');
        return this;
    }

    /** The member to put in an object. */
    String member() {
        return "\"links\":[" + text + "]";
    }
}
