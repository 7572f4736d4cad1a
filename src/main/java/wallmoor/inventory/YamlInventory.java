package wallmoor.inventory;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;

/**
 * Parses an inventory in Ansible's YAML format: groups with hosts, variables and child groups. Variables of a host
 * override those of its group, and variables of a group override those of its parent group.
 */
final class YamlInventory {
    /** The maximum nesting depth of child groups. */
    private static final int MAX_DEPTH = 16;

    private final Path file;

    /** Creates a parser; the file is only named in error messages. */
    YamlInventory(Path file) {
        this.file = file;
    }

    /** Returns the variables of each host by host name, in the order of the file. */
    Map<String, Map<String, String>> parse(String text) {
        var hosts = new LinkedHashMap<String, Map<String, String>>();
        if (!(load(text) instanceof Map<?, ?> groups)) {
            throw InventoryParser.fault(file, "file", "must be a mapping of group names to groups");
        }
        groups.forEach((name, group) -> addGroup("group " + name, group, Map.of(), hosts, 0));
        return hosts;
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

    private void addGroup(String location, Object value, Map<String, String> inherited,
            Map<String, Map<String, String>> hosts, int depth) {
        if (value == null) {
            return;
        }
        if (!(value instanceof Map<?, ?> group) || depth > MAX_DEPTH) {
            throw InventoryParser.fault(file, location,
                    "must be a mapping, nested at most " + MAX_DEPTH + " levels deep");
        }
        var variables = new HashMap<>(inherited);
        variables.putAll(variables(location, group.get("vars")));
        mapping(location + " hosts", group.get("hosts"))
                .forEach((name, own) -> addHost(String.valueOf(name), own, variables, hosts));
        mapping(location + " children", group.get("children"))
                .forEach((name, child) -> addGroup("group " + name, child, variables, hosts, depth + 1));
    }

    /**
     * Adds a host. A host may be in several groups: a variable of a later group is added only if the host has no value
     * for it yet, and the host's own variables override all inherited ones.
     */
    private void addHost(String name, Object ownVariables, Map<String, String> inherited,
            Map<String, Map<String, String>> hosts) {
        Map<String, String> host = hosts.computeIfAbsent(name, n -> new HashMap<>());
        inherited.forEach(host::putIfAbsent);
        host.putAll(variables("host " + name, ownVariables));
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
