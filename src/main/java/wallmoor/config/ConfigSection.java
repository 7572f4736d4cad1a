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
 * A mapping in a YAML file. Each key that is read counts as known; {@link #reportUnknownKeys} adds a fault for every
 * other key. A fault is recorded with the path and the line of its key, and reading continues with the default, so that
 * one pass finds all faults.
 */
final class ConfigSection {
    /** The maximum length of an id in characters; ids appear in messages and log lines. */
    private static final int MAX_ID_LENGTH = 200;
    /** A fault in the file: the line, the path of the key, and what is wrong with its value. */
    record Fault(int line, String key, String message) {
        @Override
        public String toString() {
            return "line " + line + ": " + key + ": " + message;
        }
    }

    /** The maximum edit distance at which a known key is suggested for an unknown one. */
    private static final int MAX_EDITS = 3;
    private static final double MILLIS_PER_SECOND = 1000;

    private final String path;
    private final int line;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<String, Integer> lines = new LinkedHashMap<>();
    private final Set<String> readKeys = new HashSet<>();
    private final List<Fault> faults;

    /**
     * Creates a section.
     *
     * @param path   the path of the mapping, empty for the root
     * @param node   the mapping; null counts as an empty one
     * @param faults receives the faults
     */
    ConfigSection(String path, Node node, List<Fault> faults) {
        this.path = path;
        this.faults = faults;
        line = node == null ? 0 : node.getStartMark().getLine() + 1;
        if (node instanceof MappingNode map) {
            for (NodeTuple entry : map.getValue()) {
                String key = entry.getKeyNode() instanceof ScalarNode s ? s.getValue() : "?";
                int keyLine = entry.getKeyNode().getStartMark().getLine() + 1;
                if (nodes.put(key, entry.getValueNode()) != null) {
                    faults.add(new Fault(keyLine, path(key), "is a duplicate key"));
                }
                lines.put(key, keyLine);
            }
        } else if (node != null && !node.getTag().equals(Tag.NULL)) {
            faults.add(new Fault(line, path.isEmpty() ? "the file" : path, "must be a mapping"));
        }
    }

    /** Returns the path of a key, from the root of the file. */
    String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Records a fault at a key, on the key's line, or on the section's line where the key is absent. */
    void addFault(String key, String message) {
        faults.add(new Fault(lines.getOrDefault(key, line), path(key), message));
    }

    boolean has(String key) {
        return nodes.containsKey(key);
    }

    Set<String> keys() {
        return nodes.keySet();
    }

    /** Returns the mapping at a key; an empty one where the key is absent. */
    ConfigSection section(String key) {
        readKeys.add(key);
        return new ConfigSection(path(key), nodes.get(key), faults);
    }

    /** Returns the items of a list; an empty list where the key is absent. */
    List<Node> items(String key) {
        readKeys.add(key);
        Node node = nodes.get(key);
        if (node == null) {
            return List.of();
        }
        if (node instanceof SequenceNode s) {
            return s.getValue();
        }
        addFault(key, "must be a list");
        return List.of();
    }

    /** Returns the items of a list of mappings; the path of an item ends in its index. */
    List<ConfigSection> sections(String key) {
        var all = new ArrayList<ConfigSection>();
        for (Node item : items(key)) {
            all.add(new ConfigSection(path(key) + "." + all.size(), item, faults));
        }
        return all;
    }

    /** Returns the items of a list of 1 to {@code max} mappings; none of them where there are more. */
    List<ConfigSection> nonEmptySections(String key, int max) {
        List<ConfigSection> all = sections(key);
        if (all.isEmpty()) {
            addFault(key, "is absent or empty");
        } else if (all.size() > max) {
            addFault(key, "has more than " + max + " items");
            return List.of();
        }
        return all;
    }

    /** Returns the value of {@code id}, and adds it to {@code seen}; an id that is already there is a fault. */
    String uniqueId(Set<String> seen) {
        String id = requiredText("id");
        if (id.length() > MAX_ID_LENGTH) {
            addFault("id", "is longer than " + MAX_ID_LENGTH + " characters");
        } else if (!id.isEmpty() && !seen.add(id)) {
            addFault("id", "is a duplicate: " + id);
        }
        return id;
    }

    /** Returns the items of a list of scalars. */
    List<String> texts(String key) {
        var all = new ArrayList<String>();
        for (Node item : items(key)) {
            if (item instanceof ScalarNode s) {
                all.add(s.getValue());
            } else {
                faults.add(new Fault(item.getStartMark().getLine() + 1, path(key) + "." + all.size(),
                        "must be a scalar"));
            }
        }
        return all;
    }

    String text(String key, String defaultValue) {
        return value(key, defaultValue, Function.identity(), "must be a scalar");
    }

    /** Returns an optional address; null where the key is absent, or where its value is not an address, a fault. */
    InetSocketAddress address(String key) {
        return has(key) ? address(key, text(key, ""), "is not") : null;
    }

    /** Returns the addresses of a list; an item that is not an address is a fault and is left out. */
    List<InetSocketAddress> addresses(String key) {
        return texts(key).stream().map(t -> address(key, t, "contains a value that is not"))
                .filter(Objects::nonNull).toList();
    }

    private InetSocketAddress address(String key, String text, String fault) {
        try {
            return LaunchConfig.address(key, text);
        } catch (ConfigException e) {
            addFault(key, fault + " ADDRESS:PORT: " + text);
            return null;
        }
    }

    /** Returns a required text; where it is absent or empty, that is a fault, and the result is empty. */
    String requiredText(String key) {
        String text = text(key, null);
        if (text == null || text.isEmpty()) {
            addFault(key, "is absent or empty");
            return "";
        }
        return text;
    }

    /** Returns a boolean, written as {@code true} or {@code false}. */
    boolean flag(String key, boolean defaultValue) {
        return value(key, defaultValue, t -> switch (t) {
            case "true" -> true;
            case "false" -> false;
            default -> throw new IllegalArgumentException();
        }, "must be true or false");
    }

    /** Returns an integer from {@code min} to {@code max}. */
    int integer(String key, int defaultValue, int min, int max) {
        return value(key, defaultValue, t -> {
            int n = Integer.parseInt(t);
            if (n < min || n > max) {
                throw new IllegalArgumentException();
            }
            return n;
        }, "must be an integer from " + min + " to " + max);
    }

    /** Returns a number from {@code min} to {@code max}. */
    double decimal(String key, double defaultValue, double min, double max) {
        return value(key, defaultValue, t -> {
            double n = Double.parseDouble(t);
            if (!(n >= min && n <= max)) {
                throw new IllegalArgumentException();
            }
            return n;
        }, "must be a number from " + min + " to " + max);
    }

    /** Returns a duration in milliseconds, written as a number and its unit: ms, s, m or h. */
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
        }, "must be a duration from " + min + "ms to " + max + "ms (such as 500ms, 10s, 5m or 1h)");
    }

    /**
     * Returns a parsed scalar, or the default where the key is absent or faulty.
     *
     * @param parse throws an IllegalArgumentException for a text that it does not accept
     * @param fault the message for such a text; the text is appended
     */
    <T> T value(String key, T defaultValue, Function<String, T> parse, String fault) {
        readKeys.add(key);
        Node node = nodes.get(key);
        if (node == null) {
            return defaultValue;
        }
        try {
            if (node instanceof ScalarNode s && !s.getTag().equals(Tag.NULL)) {
                return parse.apply(s.getValue());
            }
            addFault(key, fault);
        } catch (IllegalArgumentException e) {
            addFault(key, fault + ", not " + ((ScalarNode) node).getValue());
        }
        return defaultValue;
    }

    /** Adds a fault for each key that was not read, with the most similar known key as a suggestion. */
    void reportUnknownKeys() {
        for (String key : nodes.keySet()) {
            if (!readKeys.contains(key)) {
                var distance = new LevenshteinDistance(MAX_EDITS);
                String closest = null;
                int minEdits = MAX_EDITS + 1;
                for (String known : readKeys) {
                    int edits = distance.apply(key, known);
                    if (edits >= 0 && (edits < minEdits || (edits == minEdits && known.compareTo(closest) < 0))) {
                        minEdits = edits;
                        closest = known;
                    }
                }
                addFault(key, "is unknown" + (closest == null ? "" : "; did you mean " + closest + "?"));
            }
        }
    }
}
