package wallmoor.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.decision.ShardLayout;

/**
 * The section {@code ogc} of the operators' file: the front that serves features, its collections and its inventory.
 *
 * @param base        the URL that links begin with, or null to use the host that the client named
 * @param title       the title of the landing page
 * @param inventory   the file that lists the feature servers
 * @param layout      the layout of the shards of the feature servers
 * @param collections the collections by id
 */
public record OgcConfig(InetSocketAddress listen, String base, String title, Path inventory, ShardLayout layout,
        Map<String, Collection> collections) {
    private static final String SHARD_PLACEHOLDER = "{shard}";
    /** The maximum number of shards and of cells; a larger number is taken for a typing error. */
    private static final int MAX_SHARDS = 1_000_000;
    /** Query parameters of the OGC API standard and of paging; a property can't have such a name. */
    private static final Set<String> RESERVED_PARAMETERS = Set.of("limit", "offset", "bbox", "datetime",
            "cursor", "crs", "f", "filter");
    /** Each property is a parameter of the API definition, and a query may have a condition on each. */
    private static final int MAX_PROPERTIES = 32;

    /**
     * A collection of features, spread over shards.
     *
     * @param source     the name of the upstream collection of a shard, with {shard} for the number of the shard
     * @param queryClass the index of the class of its queries
     * @param properties the properties that clients may filter by equality, with query parameters of these names
     */
    public record Collection(String id, String title, String description, String source, int queryClass,
            List<Integer> shards, List<String> properties) {

        /** Returns the name of the upstream collection of a shard: the region block that its servers hold. */
        public String upstreamCollection(int shard) {
            return source.replace(SHARD_PLACEHOLDER, "" + shard);
        }

        /** Returns the path of a shard's features on a feature server. */
        public String itemsPath(int shard) {
            return "/collections/" + upstreamCollection(shard) + "/items";
        }
    }

    /** Reads the section; returns null where it is disabled. Faults are recorded in the section. */
    static OgcConfig of(ConfigSection section, Path folder, LaunchConfig launch) {
        boolean isEnabled = section.flag("enabled", true);
        ShardLayout defaults = launch.settings().layout();
        var layout = new ShardLayout(section.integer("shards", defaults.shards(), 1, MAX_SHARDS),
                section.integer("cells", defaults.cells(), 1, MAX_SHARDS),
                section.integer("reach", defaults.cellsPerShard(), 1, MAX_SHARDS));
        if (layout.cellsPerShard() > layout.cells()) {
            section.addFault("reach", "must be at most cells");
        }
        var collections = new LinkedHashMap<String, Collection>();
        ConfigSection collectionsSection = section.section("collections");
        for (String id : collectionsSection.keys()) {
            if (!id.matches("[A-Za-z0-9_-]{1,64}")) {
                collectionsSection.addFault(id, "must be 1 to 64 letters, digits, _ or -");
            }
            collections.put(id, collection(id, collectionsSection.section(id), layout, launch));
        }
        if (collections.isEmpty()) {
            section.addFault("collections", "is absent or empty");
        }
        String base = section.text("base", null);
        if (base != null && !base.matches("https?://[!-~]+[^/]")) {
            section.addFault("base", "must be an HTTP URL without a slash at its end, not " + base);
        }
        section.requiredText("listen");
        InetSocketAddress listen = section.address("listen");
        var config = new OgcConfig(listen, base, section.text("title", launch.name()),
                folder.resolve(section.requiredText("inventory")), layout, collections);
        section.reportUnknownKeys();
        return isEnabled ? config : null;
    }

    private static Collection collection(String id, ConfigSection section, ShardLayout layout, LaunchConfig launch) {
        int queryClass = launch.classes().indexOf(section.requiredText("class"));
        if (queryClass < 0) {
            section.addFault("class", "is not in the settings: " + section.text("class", ""));
        }
        var shards = new ArrayList<Integer>();
        for (String text : section.texts("shards")) {
            if (!text.matches("[0-9]{1,6}") || Integer.parseInt(text) >= layout.shards()
                    || shards.contains(Integer.valueOf(text))) {
                section.addFault("shards", "contains an unknown or duplicate shard: " + text);
            } else {
                shards.add(Integer.valueOf(text));
            }
        }
        if (shards.isEmpty()) {
            section.addFault("shards", "is absent, empty or not a list");
        }
        String source = section.text("source", id + "-" + SHARD_PLACEHOLDER);
        if (!source.replace(SHARD_PLACEHOLDER, "").matches("[A-Za-z0-9._-]*")
                || (shards.size() > 1 && !source.contains(SHARD_PLACEHOLDER))) {
            section.addFault("source", "must be a name with " + SHARD_PLACEHOLDER + ", not " + source);
        }
        List<String> properties = section.texts("properties");
        if (properties.size() > MAX_PROPERTIES || Set.copyOf(properties).size() < properties.size()) {
            section.addFault("properties", "has more than " + MAX_PROPERTIES + " items or a duplicate");
        }
        for (String name : properties) {
            if (!name.matches("[A-Za-z_][A-Za-z0-9_.-]{0,63}") || RESERVED_PARAMETERS.contains(name)) {
                section.addFault("properties", "contains a name that cannot be a query parameter: " + name);
            }
        }
        var collection = new Collection(id, section.text("title", id), section.text("description", ""), source,
                queryClass, List.copyOf(shards), List.copyOf(properties));
        section.reportUnknownKeys();
        return collection;
    }
}
