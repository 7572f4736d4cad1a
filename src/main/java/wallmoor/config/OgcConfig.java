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
 * The second front's section of the operators' file: where it listens, its collections and its inventory.
 *
 * @param base      what links begin with, or null for the host that the client named
 * @param inventory the file of feature servers
 */
public record OgcConfig(InetSocketAddress listen, String base, String title, Path inventory, ShardLayout layout,
        Map<String, Collection> collections) {
    private static final String SHARD = "{shard}";
    /** Shards and cells at most: one that is larger is a slip of the pen. */
    private static final int MAX_SHARDS = 1_000_000;
    /** Parameters of the standard, or of what pages are asked by. */
    private static final Set<String> RESERVED = Set.of("limit", "offset", "bbox", "datetime", "cursor", "crs", "f",
            "filter");
    /** Each is a parameter of the API definition, and a query may have a condition on each. */
    private static final int MAX_PROPERTIES = 32;

    /**
     * A collection of features, spread over shards.
     *
     * @param source     the upstream collection that is a shard's share, with {shard} for its number
     * @param queryClass the index of the class whose rules its queries keep
     * @param properties what clients may ask for by equality, as parameters of these names
     */
    public record Collection(String id, String title, String description, String source, int queryClass,
            List<Integer> shards, List<String> properties) {

        /** The upstream collection that is a shard's share: the region block that its servers hold. */
        public String upstreamCollection(int shard) {
            return source.replace(SHARD, "" + shard);
        }

        /** Where a feature server has a shard's features. */
        public String itemsPath(int shard) {
            return "/collections/" + upstreamCollection(shard) + "/items";
        }
    }

    /** The section {@code ogc}, or null where it is off; faults are noted in it. */
    static OgcConfig of(ConfigSection section, Path folder, LaunchConfig launch) {
        boolean on = section.flag("enabled", true);
        ShardLayout site = launch.settings().layout();
        var layout = new ShardLayout(section.integer("shards", site.shards(), 1, MAX_SHARDS),
                section.integer("cells", site.cells(), 1, MAX_SHARDS),
                section.integer("reach", site.cellsPerShard(), 1, MAX_SHARDS));
        if (layout.cellsPerShard() > layout.cells()) {
            section.addFault("reach", "must be at most cells");
        }
        var collections = new LinkedHashMap<String, Collection>();
        ConfigSection all = section.section("collections");
        for (String id : all.keys()) {
            if (!id.matches("[A-Za-z0-9_-]{1,64}")) {
                all.addFault(id, "is no name for a path");
            }
            collections.put(id, collection(id, all.section(id), layout, launch));
        }
        if (collections.isEmpty()) {
            section.addFault("collections", "is absent or empty");
        }
        String base = section.text("base", null);
        if (base != null && !base.matches("https?://[!-~]+[^/]")) {
            section.addFault("base", "is no URL without a slash at its end: " + base);
        }
        section.requiredText("listen");
        InetSocketAddress listen = section.address("listen");
        var config = new OgcConfig(listen, base, section.text("title", launch.name()),
                folder.resolve(section.requiredText("inventory")), layout, collections);
        section.reportUnknownKeys();
        return on ? config : null;
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
                section.addFault("shards", "holds no shard, or one twice: " + text);
            } else {
                shards.add(Integer.valueOf(text));
            }
        }
        if (shards.isEmpty()) {
            section.addFault("shards", "is absent, empty or no list");
        }
        String source = section.text("source", id + "-" + SHARD);
        if (!source.replace(SHARD, "").matches("[A-Za-z0-9._-]*") || (shards.size() > 1 && !source.contains(SHARD))) {
            section.addFault("source", "must be a name with " + SHARD + ": " + source);
        }
        List<String> properties = section.texts("properties");
        if (properties.size() > MAX_PROPERTIES || Set.copyOf(properties).size() < properties.size()) {
            section.addFault("properties", "holds more than " + MAX_PROPERTIES + ", or one twice");
        }
        for (String name : properties) {
            if (!name.matches("[A-Za-z_][A-Za-z0-9_.-]{0,63}") || RESERVED.contains(name)) {
                section.addFault("properties", "holds what can be no parameter of its own: " + name);
            }
        }
        var made = new Collection(id, section.text("title", id), section.text("description", ""), source, queryClass,
                List.copyOf(shards), List.copyOf(properties));
        section.reportUnknownKeys();
        return made;
    }
}
