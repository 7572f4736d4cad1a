package wallmoor.inventory;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;

/**
 * Parses an inventory in Ansible's YAML format: groups with hosts, variables and child groups. A group may stand in
 * several places, which add to it; {@link GroupHierarchy} decides which value of a variable applies.
 */
final class YamlInventory {
    /** The maximum nesting depth of child groups. */
    private static final int MAX_DEPTH = 16;

    private final Path file;
    private final GroupHierarchy hierarchy = new GroupHierarchy();

    /** Creates a parser; the file is only named in error messages. */
    YamlInventory(Path file) {
        this.file = file;
    }

    /** Returns the variables of each host by host name, in the order of the file. */
    Map<String, Map<String, String>> parse(String text) {
        if (!(load(text) instanceof Map<?, ?> groups)) {
            throw InventoryParser.fault(file, "file", "must be a mapping of group names to groups");
        }
        try {
            for (Map.Entry<?, ?> group : groups.entrySet()) {
                addGroup(String.valueOf(group.getKey()), group.getValue(), 0);
            }
            return hierarchy.hostVariables();
        } catch (GroupHierarchy.InvalidGroupException e) {
            throw InventoryParser.fault(file, "group " + e.group(), e.getMessage());
        }
    }

    /** Loads YAML as plain maps, lists and scalars; types that the file names are never instantiated. */
    private Object load(String text) {
        try {
            var options = new LoaderOptions();
            options.setAllowDuplicateKeys(false);
            return new Yaml(new SafeConstructor(options)).load(text);
        } catch (YAMLException e) {
            throw InventoryParser.fault(file, "file", "is not valid YAML: " + e.getMessage().replaceAll("\\s+", " "));
        } catch (RuntimeException e) { // the library's constructors of numbers, dates and bytes throw any kind
            throw InventoryParser.fault(file, "file", "has a scalar that its tag does not allow: " + e);
        }
    }

    private void addGroup(String name, Object value, int depth) throws GroupHierarchy.InvalidGroupException {
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
        for (Map.Entry<?, ?> host : mapping(location + " hosts", group.get("hosts")).entrySet()) {
            String hostName = String.valueOf(host.getKey());
            hierarchy.addHost(name, hostName, variables("host " + hostName, host.getValue()));
        }
        for (Map.Entry<?, ?> child : mapping(location + " children", group.get("children")).entrySet()) {
            String childName = String.valueOf(child.getKey());
            hierarchy.addChild(name, childName);
            addGroup(childName, child.getValue(), depth + 1);
        }
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
