package wallmoor.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * A mapping of the operators' file. Reading a key makes it known; {@link #reportUnknownKeys} faults those that nobody read. A fault
 * is noted with its key's path and line, and reading goes on with the default, so that one reading finds all faults.
 */
final class ConfigSection {
    /** Names stand in messages and log lines: a longer one is a mistake. */
    private static final int MAX_ID_LENGTH = 200;
    /** A fault of the file. */
    record Fault(int line, String key, String what) {
        @Override
        public String toString() {
            return "line " + line + ": " + key + ": " + what;
        }
    }

    /** A key this unlike a known one was not meant to be it. */
    private static final int MAX_EDITS = 3;
    private static final double MILLIS_PER_SECOND = 1000;

    private final String path;
    private final int line;
    private final Map<String, Node> values = new LinkedHashMap<>();
    private final Map<String, Integer> lines = new LinkedHashMap<>();
    private final Set<String> read = new HashSet<>();
    private final List<Fault> faults;

    /** The mapping at {@code node}; null stands for an empty one. */
    ConfigSection(String path, Node node, List<Fault> faults) {
        this.path = path;
        this.faults = faults;
        line = node == null ? 0 : node.getStartMark().getLine() + 1;
        if (node instanceof MappingNode map) {
            for (NodeTuple t : map.getValue()) {
                String key = t.getKeyNode() instanceof ScalarNode s ? s.getValue() : "?";
                int at = t.getKeyNode().getStartMark().getLine() + 1;
                if (values.put(key, t.getValueNode()) != null) {
                    faults.add(new Fault(at, path(key), "stands twice"));
                }
                lines.put(key, at);
            }
        } else if (node != null && !node.getTag().equals(Tag.NULL)) {
            faults.add(new Fault(line, path.isEmpty() ? "the file" : path, "is no mapping"));
        }
    }

    String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    void addFault(String key, String what) {
        faults.add(new Fault(lines.getOrDefault(key, line), path(key), what));
    }

    boolean has(String key) {
        return values.containsKey(key);
    }

    Set<String> keys() {
        return values.keySet();
    }

    ConfigSection section(String key) {
        read.add(key);
        return new ConfigSection(path(key), values.get(key), faults);
    }

    /** The items of a list, each with its own path; empty where there is none. */
    List<Node> items(String key) {
        read.add(key);
        Node node = values.get(key);
        if (node == null) {
            return List.of();
        }
        if (node instanceof SequenceNode s) {
            return s.getValue();
        }
        addFault(key, "is no list");
        return List.of();
    }

    /** The mappings of a list. */
    List<ConfigSection> sections(String key) {
        var all = new ArrayList<ConfigSection>();
        for (Node item : items(key)) {
            all.add(new ConfigSection(path(key) + "." + all.size(), item, faults));
        }
        return all;
    }

    /** The same, where there must be one and may be so many; beyond that none is read. */
    List<ConfigSection> nonEmptySections(String key, int max) {
        List<ConfigSection> all = sections(key);
        if (all.isEmpty()) {
            addFault(key, "is absent or empty");
        } else if (all.size() > max) {
            addFault(key, "holds more than " + max);
            return List.of();
        }
        return all;
    }

    /** Its {@code id}, which none before it in the same list has. */
    String uniqueId(Set<String> seen) {
        String id = requiredText("id");
        if (id.length() > MAX_ID_LENGTH) {
            addFault("id", "is longer than " + MAX_ID_LENGTH);
        } else if (!id.isEmpty() && !seen.add(id)) {
            addFault("id", "stands twice: " + id);
        }
        return id;
    }

    /** The plain values of a list. */
    List<String> texts(String key) {
        var all = new ArrayList<String>();
        for (Node item : items(key)) {
            if (item instanceof ScalarNode s) {
                all.add(s.getValue());
            } else {
                faults.add(new Fault(item.getStartMark().getLine() + 1, path(key) + "." + all.size(), "is no text"));
            }
        }
        return all;
    }

    String text(String key, String defaultValue) {
        return value(key, defaultValue, Function.identity(), "is no text");
    }

    /** An address that need not be there: null without it, or where it is none, which is a fault. */
    InetSocketAddress address(String key) {
        return has(key) ? address(key, text(key, ""), "is not") : null;
    }

    /** The addresses of a list; those that are none are faults and left out. */
    List<InetSocketAddress> addresses(String key) {
        return texts(key).stream().map(t -> address(key, t, "holds what is not")).filter(Objects::nonNull).toList();
    }

    private InetSocketAddress address(String key, String text, String fault) {
        try {
            return LaunchConfig.address(key, text);
        } catch (ConfigException e) {
            addFault(key, fault + " ADDRESS:PORT: " + text);
            return null;
        }
    }

    /** A text that must be there; its absence is a fault, and gives an empty one. */
    String requiredText(String key) {
        String text = text(key, null);
        if (text == null || text.isEmpty()) {
            addFault(key, "is absent or empty");
            return "";
        }
        return text;
    }

    boolean flag(String key, boolean defaultValue) {
        return value(key, defaultValue, t -> switch (t) {
            case "true" -> true;
            case "false" -> false;
            default -> throw new IllegalArgumentException();
        }, "is neither true nor false");
    }

    int integer(String key, int defaultValue, int min, int max) {
        return value(key, defaultValue, t -> {
            int n = Integer.parseInt(t);
            if (n < min || n > max) {
                throw new IllegalArgumentException();
            }
            return n;
        }, "is no whole number from " + min + " to " + max);
    }

    double decimal(String key, double defaultValue, double min, double max) {
        return value(key, defaultValue, t -> {
            double n = Double.parseDouble(t);
            if (!(n >= min && n <= max)) {
                throw new IllegalArgumentException();
            }
            return n;
        }, "is no number from " + min + " to " + max);
    }

    /** A time as a number and its unit: ms, s, m or h. Returns milliseconds. */
    long durationMillis(String key, long defaultValue, long min, long max) {
        return value(key, defaultValue, t -> {
            String number = t.replaceAll("[a-z]+$", "");
            double unit = switch (t.substring(number.length())) {
                case "ms" -> 1;
                case "s" -> MILLIS_PER_SECOND;
                case "m" -> 60 * MILLIS_PER_SECOND;
                case "h" -> 3600 * MILLIS_PER_SECOND;
                default -> throw new IllegalArgumentException();
            };
            long millis = Math.round(Double.parseDouble(number) * unit);
            if (millis < min || millis > max) {
                throw new IllegalArgumentException();
            }
            return millis;
        }, "is no time from " + min + "ms to " + max + "ms (such as 500ms, 10s, 5m or 1h)");
    }

    /** A value that {@code parse} takes or refuses by an IllegalArgumentException. */
    <T> T value(String key, T defaultValue, Function<String, T> parse, String fault) {
        read.add(key);
        Node node = values.get(key);
        if (node == null) {
            return defaultValue;
        }
        try {
            if (node instanceof ScalarNode s && !s.getTag().equals(Tag.NULL)) {
                return parse.apply(s.getValue());
            }
            addFault(key, fault);
        } catch (IllegalArgumentException e) {
            addFault(key, fault + ": " + ((ScalarNode) node).getValue());
        }
        return defaultValue;
    }

    /** Faults the keys that were not read: each with the known one that is most like it. */
    void reportUnknownKeys() {
        for (String key : values.keySet()) {
            if (!read.contains(key)) {
                var distance = new LevenshteinDistance(MAX_EDITS);
                String near = null;
                int least = MAX_EDITS + 1;
                for (String known : read) {
                    int d = distance.apply(key, known);
                    if (d >= 0 && (d < least || (d == least && known.compareTo(near) < 0))) {
                        least = d;
                        near = known;
                    }
                }
                addFault(key, "is unknown" + (near == null ? "" : "; did you mean " + near + "?"));
            }
        }
    }
}
