package wallmoor.inventory;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.Test;
import wallmoor.config.ConfigException;

/** Tests which value of a variable a host gets, for groups in any order and at any depth. */
public class GroupHierarchyTest {
    private static final int MAX_GROUPS = 7;
    private static final List<String> VARIABLES = List.of("state", "zone", "port");

    private static Map<String, Map<String, String>> parse(String yaml) {
        return new YamlInventory(Path.of("inventory.yaml")).parse(yaml);
    }

    /** Guards against a drained server that gets new requests because another of its groups is read first (case 10). */
    @Test
    public void letsTheOwnValueOfALaterGroupOverrideAnInheritedOne() {
        String inventory = """
                feature_servers:
                  vars: {state: serving}
                  children:
                    clifton: {vars: {zone: khi-clifton}, hosts: {fs1: {port: 9101}, fs2: {port: 9102}}}
                    maintenance: {vars: {state: draining}, hosts: {fs1: }}
                """;
        assertEquals(Map.of("state", "draining", "zone", "khi-clifton", "port", "9101"), parse(inventory).get("fs1"));
        assertEquals(Map.of("state", "serving", "zone", "khi-clifton", "port", "9102"), parse(inventory).get("fs2"));
    }

    @Test
    public void ranksAllBelowGroupsAndGroupsByDepthPriorityAndName() {
        assertEquals("deeper", "c", parse("""
                z: {vars: {state: z}, hosts: {h: }}
                a: {children: {c: {vars: {state: c}, hosts: {h: }}}}
                all: {vars: {state: all}}
                """).get("h").get("state"));
        assertEquals("by name", "y", parse("y: {vars: {state: y}, hosts: {h: }}\nx: {vars: {state: x}, hosts: {h: }}")
                .get("h").get("state"));
        assertEquals("by priority", Map.of("state", "x"), parse("""
                y: {vars: {state: y}, hosts: {h: }}
                x: {vars: {state: x, ansible_group_priority: 5}, hosts: {h: }}
                """).get("h"));
        assertEquals("the group all", "all", parse("all: {vars: {state: all}}\nx: {hosts: {h: }}")
                .get("h").get("state"));
    }

    @Test
    public void refusesAGroupBelowItselfAndAPriorityThatIsNoNumber() {
        var cycle = assertThrows(ConfigException.class, () -> parse("a: {children: {b: {children: {a: }}}}"));
        assertEquals("is below itself", cycle.getMessage().replaceAll(".*group [ab] ", ""));
        var priority = assertThrows(ConfigException.class, () -> parse("a: {vars: {ansible_group_priority: high}}"));
        assertEquals("inventory.yaml: group a ansible_group_priority must be an integer: high", priority.getMessage());
    }

    /** A group of the random inventories. */
    private static final class RandomGroup {
        private final String name;
        private final int priority;
        private final Map<String, String> variables = new HashMap<>();
        private final List<RandomGroup> children = new ArrayList<>();
        private final boolean hasHost;

        RandomGroup(String name, Random random) {
            this.name = name;
            priority = random.nextInt(3);
            hasHost = random.nextInt(3) == 0;
            VARIABLES.stream().filter(v -> random.nextInt(3) == 0).forEach(v -> variables.put(v, name + "-" + v));
        }

        private String yaml(Set<RandomGroup> written) {
            if (!written.add(this)) {
                return "";
            }
            var text = new StringBuilder("{vars: {ansible_group_priority: " + priority);
            variables.forEach((key, value) -> text.append(", ").append(key).append(": ").append(value));
            text.append("}, hosts: {").append(hasHost ? "h: " : "").append("}, children: {");
            for (RandomGroup child : children) {
                text.append(child.name).append(": ").append(child.yaml(written)).append(", ");
            }
            return text.append("}}").toString();
        }
    }

    /** Returns the longest path from the root to each group above the host, by visiting every path. */
    private static void visit(RandomGroup group, List<RandomGroup> path, Map<RandomGroup, Integer> depths,
            Set<RandomGroup> aboveHost) {
        path.add(group);
        depths.merge(group, path.size(), Math::max);
        if (group.hasHost) {
            aboveHost.addAll(path);
        }
        group.children.forEach(child -> visit(child, path, depths, aboveHost));
        path.remove(path.size() - 1);
    }

    private static String expected(String variable, Set<RandomGroup> aboveHost, Map<RandomGroup, Integer> depths) {
        RandomGroup best = null;
        for (RandomGroup group : aboveHost) {
            if (group.variables.containsKey(variable) && (best == null || overrides(group, best, depths))) {
                best = group;
            }
        }
        return best == null ? null : best.variables.get(variable);
    }

    private static boolean overrides(RandomGroup one, RandomGroup other, Map<RandomGroup, Integer> depths) {
        if (!depths.get(one).equals(depths.get(other))) {
            return depths.get(one) > depths.get(other);
        }
        return one.priority == other.priority ? one.name.compareTo(other.name) > 0 : one.priority > other.priority;
    }

    @Property
    void agreesWithAPlainReferenceForGroupsInAnyOrder(@ForAll long seed) {
        var random = new Random(seed);
        var groups = new ArrayList<RandomGroup>();
        var roots = new HashSet<RandomGroup>();
        var names = new ArrayList<>(
                List.of("a", "b", "c", "d", "e", "f", "g").subList(0, 1 + random.nextInt(MAX_GROUPS)));
        Collections.shuffle(names, random);
        for (String name : names) {
            var group = new RandomGroup(name, random);
            groups.stream().filter(parent -> random.nextInt(3) == 0).forEach(parent -> parent.children.add(group));
            if (groups.stream().noneMatch(parent -> parent.children.contains(group))) {
                roots.add(group);
            }
            groups.add(group);
        }
        var depths = new HashMap<RandomGroup, Integer>();
        var aboveHost = new HashSet<RandomGroup>();
        roots.forEach(root -> visit(root, new ArrayList<>(), depths, aboveHost));

        var order = new ArrayList<>(random.nextBoolean() ? groups : roots);
        Collections.shuffle(order, random);
        var text = new StringBuilder();
        var written = new HashSet<RandomGroup>();
        order.forEach(group -> text.append(group.name).append(": ").append(group.yaml(written)).append('\n'));
        Map<String, String> actual = parse(text.toString()).getOrDefault("h", Map.of());
        for (String variable : VARIABLES) {
            assertEquals(variable + " of\n" + text, expected(variable, aboveHost, depths), actual.get(variable));
        }
    }
}
