package wallmoor.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;
import wallmoor.decision.RouterApi.Layout;

/**
 * The second front's file: where it listens, its collections and its inventory. {@code WALLMOOR_OGC} names it; without
 * it {@code deploy/ogc.yaml} is read where there is one.
 *
 * @param base      what links begin with, or null for the host that the client named
 * @param inventory the file of feature servers
 */
public record OgcConfig(InetSocketAddress listen, String base, String title, Path inventory, Layout layout,
        Map<String, Collection> collections) {
    private static final String SHARD = "{shard}";
    private static final String DEFAULT_FILE = "deploy/ogc.yaml";

    /**
     * A collection of features, spread over shards.
     *
     * @param source     the upstream collection that is a shard's share, with {shard} for its number
     * @param queryClass the index of the class whose rules its queries keep
     */
    public record Collection(String id, String title, String description, String source, int queryClass,
            List<Integer> shards) {

        /** Where a feature server has a shard's features. */
        public String items(int shard) {
            return "/collections/" + source.replace(SHARD, "" + shard) + "/items";
        }
    }

    /** Reads the file, or gives null where the front is off. */
    public static OgcConfig read(Map<String, String> env, Launch launch) {
        String named = env.get("WALLMOOR_OGC");
        Path file = Path.of(named != null ? named : DEFAULT_FILE);
        if (named == null && !Files.exists(file)) {
            return null;
        }
        Map<?, ?> root = map("", yaml(file));
        if (!flag(root, "enabled")) {
            return null;
        }
        Layout site = launch.settings().layout();
        var layout = new Layout(whole(root, "shards", site.shards(), 1), whole(root, "cells", site.cells(), 1),
                whole(root, "reach", site.reach(), 1));
        if (layout.reach() > layout.cells()) {
            throw new ConfigException("reach", "reach must be at most cells");
        }
        var collections = new LinkedHashMap<String, Collection>();
        map("collections", root.get("collections")).forEach((id, value) ->
                collections.put("" + id, collection("" + id, map("collections." + id, value), layout, launch)));
        if (collections.isEmpty()) {
            throw new ConfigException("collections", "collections is empty");
        }
        Path folder = file.toAbsolutePath().getParent();
        String base = text(root, "", "base", null);
        if (base != null && !base.matches("https?://[!-~]+[^/]")) {
            throw new ConfigException("base", "base is no URL without a slash at its end: " + base);
        }
        return new OgcConfig(Launch.address("listen", text(root, "", "listen", null)), base,
                text(root, "", "title", launch.name()), folder.resolve(required(root, "", "inventory")), layout,
                collections);
    }

    /** A YAML file as plain maps, lists and values; no type is made that the file names. */
    public static Object yaml(Path file) {
        try {
            var options = new LoaderOptions();
            options.setAllowDuplicateKeys(false);
            return new Yaml(new SafeConstructor(options)).load(Files.readString(file));
        } catch (IOException e) {
            throw new ConfigException(file.toString(), file + " can't be read: " + e);
        } catch (YAMLException e) {
            throw new ConfigException(file.toString(),
                    file + " is no YAML: " + e.getMessage().replaceAll("\\s+", " "));
        }
    }

    private static Collection collection(String id, Map<?, ?> at, Layout layout, Launch launch) {
        String path = "collections." + id + ".";
        if (!id.matches("[A-Za-z0-9_-]{1,64}")) {
            throw new ConfigException("collections." + id, "collections." + id + " is no name for a path");
        }
        String className = required(at, path, "class");
        int queryClass = launch.classes().indexOf(className);
        if (queryClass < 0) {
            throw new ConfigException(path + "class", path + "class is not in the settings: " + className);
        }
        var shards = new ArrayList<Integer>();
        if (!(at.get("shards") instanceof List<?> list) || list.isEmpty()) {
            throw new ConfigException(path + "shards", path + "shards is absent or no list");
        }
        for (Object shard : list) {
            if (!(shard instanceof Integer s) || s < 0 || s >= layout.shards() || shards.contains(s)) {
                throw new ConfigException(path + "shards", path + "shards holds no shard, or one twice: " + shard);
            }
            shards.add(s);
        }
        String source = text(at, path, "source", id + "-" + SHARD);
        if (!source.replace(SHARD, "").matches("[A-Za-z0-9._-]*") || shards.size() > 1 && !source.contains(SHARD)) {
            throw new ConfigException(path + "source", path + "source must be a name with " + SHARD + ": " + source);
        }
        return new Collection(id, text(at, path, "title", id), text(at, path, "description", ""), source, queryClass,
                List.copyOf(shards));
    }

    private static Map<?, ?> map(String key, Object value) {
        if (value instanceof Map<?, ?> m) {
            return m;
        }
        throw new ConfigException(key, (key.isEmpty() ? "the file" : key) + " is absent or no mapping");
    }

    private static boolean flag(Map<?, ?> in, String key) {
        Object value = in.get(key);
        if (value instanceof Boolean b) {
            return b;
        }
        throw new ConfigException(key, key + " is absent or neither true nor false");
    }

    private static int whole(Map<?, ?> in, String key, int otherwise, int least) {
        Object value = in.get(key);
        if (value == null) {
            return otherwise;
        }
        if (value instanceof Integer i && i >= least) {
            return i;
        }
        throw new ConfigException(key, key + " must be a whole number of at least " + least + ": " + value);
    }

    private static String required(Map<?, ?> in, String path, String key) {
        String value = text(in, path, key, null);
        if (value == null) {
            throw new ConfigException(path + key, path + key + " is absent");
        }
        return value;
    }

    private static String text(Map<?, ?> in, String path, String key, String otherwise) {
        Object value = in.get(key);
        if (value instanceof Map || value instanceof List) {
            throw new ConfigException(path + key, path + key + " is no text");
        }
        return value == null ? otherwise : value.toString();
    }
}
