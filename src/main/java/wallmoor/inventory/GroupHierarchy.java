package wallmoor.inventory;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wallmoor.config.ConfigException;

/**
 * The groups of an inventory and the variables that hosts get from them, by Ansible's precedence: a host's own
 * variables override those of its groups, and a group overrides every group of lesser depth, parents included. Among
 * groups of the same depth the higher {@code ansible_group_priority} wins, then the name that sorts last. The order of
 * the file decides only between several values of the same group or host: the last one wins.
 */
final class GroupHierarchy {
    /** The group that all others are below, whether or not the file names it. */
    private static final String ROOT = "all";
    private static final String PRIORITY_VARIABLE = "ansible_group_priority";
    private static final int DEFAULT_PRIORITY = 1;
    private static final int UNKNOWN_DEPTH = -1;

    /** The order in which groups override each other, the weakest first. */
    private static final Comparator<Group> PRECEDENCE = Comparator.<Group>comparingInt(group -> group.depth)
            .thenComparingInt(group -> group.priority).thenComparing(group -> group.name);

    private final Path file;
    private final Map<String, Group> groups = new HashMap<>();
    private final Map<String, Host> hosts = new LinkedHashMap<>();

    /** Creates a hierarchy without groups; the file is only named in error messages. */
    GroupHierarchy(Path file) {
        this.file = file;
    }

    private static final class Group {
        private final String name;
        private final Set<Group> parents = new HashSet<>();
        private final Map<String, String> variables = new HashMap<>();
        private int priority = DEFAULT_PRIORITY;
        /** The length of the longest path from the root. */
        private int depth = UNKNOWN_DEPTH;
        private boolean isVisited;

        Group(String name) {
            this.name = name;
        }
    }

    private static final class Host {
        private final Set<Group> groups = new HashSet<>();
        private final Map<String, String> variables = new HashMap<>();
    }

    /**
     * Adds a group, or variables to one that was added before.
     *
     * @throws ConfigException if its priority is not an integer
     */
    void addGroup(String name, Map<String, String> variables) {
        Group group = group(name);
        group.variables.putAll(variables);
        String priority = group.variables.remove(PRIORITY_VARIABLE);
        if (priority != null) {
            try {
                group.priority = Integer.parseInt(priority);
            } catch (NumberFormatException e) {
                throw fault(name, PRIORITY_VARIABLE + " must be an integer: " + priority);
            }
        }
    }

    /** Places a group below another one. */
    void addChild(String parent, String child) {
        group(child).parents.add(group(parent));
    }

    /** Adds a host to a group. */
    void addHost(String group, String name, Map<String, String> variables) {
        Host host = hosts.computeIfAbsent(name, unused -> new Host());
        host.groups.add(group(group));
        host.variables.putAll(variables);
    }

    /**
     * Returns the variables of each host by host name, in the order in which the hosts were added.
     *
     * @throws ConfigException if a group is below itself
     */
    Map<String, Map<String, String>> hostVariables() {
        for (Group group : groups.values()) {
            findDepth(group);
        }
        var variables = new LinkedHashMap<String, Map<String, String>>();
        hosts.forEach((name, host) -> variables.put(name, variables(host)));
        return variables;
    }

    private ConfigException fault(String group, String problem) {
        return InventoryParser.fault(file, "group " + group, problem);
    }

    private Group group(String name) {
        return groups.computeIfAbsent(name, Group::new);
    }

    private int findDepth(Group group) {
        if (group.depth != UNKNOWN_DEPTH) {
            return group.depth;
        }
        if (group.isVisited) {
            throw fault(group.name, "is below itself");
        }
        group.isVisited = true;
        int depth = group.name.equals(ROOT) ? 0 : 1;
        for (Group parent : group.parents) {
            depth = Math.max(depth, findDepth(parent) + 1);
        }
        group.depth = depth;
        return depth;
    }

    private Map<String, String> variables(Host host) {
        var variables = new HashMap<String, String>();
        for (Group group : groupsInOrder(host)) {
            variables.putAll(group.variables);
        }
        variables.putAll(host.variables);
        return variables;
    }

    /** Returns the groups that a host is in, directly or through others; each overrides those before it. */
    private List<Group> groupsInOrder(Host host) {
        var found = new HashSet<Group>();
        Group root = groups.get(ROOT);
        if (root != null) {
            found.add(root);
        }
        var pending = new ArrayList<>(host.groups);
        while (!pending.isEmpty()) {
            Group group = pending.remove(pending.size() - 1);
            if (found.add(group)) {
                pending.addAll(group.parents);
            }
        }
        var ordered = new ArrayList<>(found);
        ordered.sort(PRECEDENCE);
        return ordered;
    }
}
