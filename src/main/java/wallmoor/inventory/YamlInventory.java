package wallmoor.inventory;

import java.io.StringReader;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.events.Event;
import org.yaml.snakeyaml.events.NodeEvent;
import wallmoor.config.ConfigException;

/**
 * Parses an inventory in Ansible's YAML format: groups with hosts, variables and child groups. A group may stand in
 * several places, which add to it; {@link GroupHierarchy} decides which value of a variable applies.
 */
final class YamlInventory {
    /** The maximum nesting depth of child groups. */
    private static final int MAX_DEPTH = 16;
    /** Some four times what a loaded value takes, as other data need the rest of the heap. */
    private static final int HEAP_BYTES_PER_VALUE = 1024;

    private final Path file;
    private final GroupHierarchy hierarchy;

    /** Creates a parser; the file is only named in error messages. */
    YamlInventory(Path file) {
        this.file = file;
        hierarchy = new GroupHierarchy(file);
    }

    /** Returns the variables of each host by host name, in the order of the file. */
    Map<String, Map<String, String>> parse(String text) {
        if (!(load(text) instanceof Map<?, ?> groups)) {
            throw InventoryParser.fault(file, "file", "must be a mapping of group names to groups");
        }
        groups.forEach((name, group) -> addGroup(String.valueOf(name), group, 0));
        return hierarchy.hostVariables();
    }

    /** Loads YAML as plain maps, lists and scalars; types that the file names are never instantiated. */
    private Object load(String text) {
        try {
            var options = new LoaderOptions();
            options.setAllowDuplicateKeys(false);
            var yaml = new Yaml(new SafeConstructor(options));
            checkSize(yaml.parse(new StringReader(text)));
            return yaml.load(text);
        } catch (ConfigException e) { // of the check of the size
            throw e;
        } catch (YAMLException e) {
            throw InventoryParser.fault(file, "file", "is not valid YAML: " + e.getMessage().replaceAll("\\s+", " "));
        } catch (RuntimeException e) { // the library's constructors of numbers, dates and bytes throw any kind
            throw InventoryParser.fault(file, "file", "has a scalar that its tag does not allow: " + e);
        }
    }

    /** Rejects a text whose values would fill the heap once they are loaded; its events are parsed one at a time. */
    private void checkSize(Iterable<Event> events) {
        long remaining = Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_VALUE;
        for (Event event : events) {
            remaining -= event instanceof NodeEvent ? 1 : 0;
            if (remaining < 0) {
                throw InventoryParser.fault(file, "file", "has more values than fit into the heap: remove hosts or"
                        + " variables, or raise memory_mb");
            }
        }
    }

    private void addGroup(String name, Object value, int depth) {
        String location = "group " + name;
        if (value == null) {
            hierarchy.addGroup(name, Map.of()); // another place of the file may add to it
            return;
        }
        if (!(value instanceof Map<?, ?> group) || depth > MAX_DEPTH) {
            throw InventoryParser.fault(file, location,
                    "must be a mapping, nested at most " + MAX_DEPTH + " levels deep");
        }
        hierarchy.addGroup(name, variables(location, group.get("vars")));
        mapping(location + " hosts", group.get("hosts")).forEach(
                (host, own) -> hierarchy.addHost(name, String.valueOf(host), variables("host " + host, own)));
        mapping(location + " children", group.get("children")).forEach((child, content) -> {
            hierarchy.addChild(name, String.valueOf(child));
            addGroup(String.valueOf(child), content, depth + 1);
        });
    }

    private Map<?, ?> mapping(String location, Object value) {
        if (value == null) {
            return Map.of();
        }
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw InventoryParser.fault(file, location, "must be a mapping");
    }

    private Map<String, String> variables(String location, Object value) {
        var variables = new HashMap<String, String>();
        mapping(location + " variables", value).forEach((key, variable) -> {
            boolean isScalar = !(variable instanceof Map || variable instanceof List);
            if (isScalar) { // lists and maps are variables for other tools
                variables.put(String.valueOf(key), variable == null ? "" : variable.toString());
            }
        });
        return variables;
    }
}
