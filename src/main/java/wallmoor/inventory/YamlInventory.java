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
 * An inventory in YAML, as Ansible has it: groups with hosts, variables and child groups, where nearer variables go
 * before farther ones.
 */
final class YamlInventory {
    /** Child groups within each other. */
    private static final int MAX_DEPTH = 16;

    private final Path file;

    /** Makes it; the file is only named in faults. */
    YamlInventory(Path file) {
        this.file = file;
    }

    /** The variables of each host by the host's name, in the order of the file. */
    Map<String, Map<String, String>> parse(String text) {
        var hosts = new LinkedHashMap<String, Map<String, String>>();
        if (!(load(text) instanceof Map<?, ?> groups)) {
            throw InventoryParser.fault(file, "file", "holds no groups");
        }
        groups.forEach((name, group) -> addGroup("group " + name, group, Map.of(), hosts, 0));
        return hosts;
    }

    /** YAML as plain maps, lists and values; no type is made that the file names. */
    private Object load(String text) {
        try {
            var options = new LoaderOptions();
            options.setAllowDuplicateKeys(false);
            return new Yaml(new SafeConstructor(options)).load(text);
        } catch (YAMLException e) {
            throw InventoryParser.fault(file, "file", "is no YAML: " + e.getMessage().replaceAll("\\s+", " "));
        }
    }

    private void addGroup(String place, Object value, Map<String, String> inherited,
            Map<String, Map<String, String>> hosts, int depth) {
        if (value == null) {
            return;
        }
        if (!(value instanceof Map<?, ?> group) || depth > MAX_DEPTH) {
            throw InventoryParser.fault(file, place, "is no group");
        }
        var variables = new HashMap<>(inherited);
        variables.putAll(variables(place, group.get("vars")));
        mapping(place + " hosts", group.get("hosts"))
                .forEach((name, own) -> addHost(String.valueOf(name), own, variables, hosts));
        mapping(place + " children", group.get("children"))
                .forEach((name, child) -> addGroup("group " + name, child, variables, hosts, depth + 1));
    }

    /** A host may be in several groups: what a later one says is added, its own variables win. */
    private void addHost(String name, Object own, Map<String, String> inherited,
            Map<String, Map<String, String>> hosts) {
        Map<String, String> host = hosts.computeIfAbsent(name, n -> new HashMap<>());
        inherited.forEach(host::putIfAbsent);
        host.putAll(variables("host " + name, own));
    }

    private Map<?, ?> mapping(String place, Object value) {
        if (value == null) {
            return Map.of();
        }
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw InventoryParser.fault(file, place, "is no mapping");
    }

    private Map<String, String> variables(String place, Object value) {
        var variables = new HashMap<String, String>();
        mapping(place + " variables", value).forEach((key, each) -> {
            boolean plain = !(each instanceof Map || each instanceof List);
            if (plain) { // others are variables of somebody else's
                variables.put(String.valueOf(key), each == null ? "" : each.toString());
            }
        });
        return variables;
    }
}
