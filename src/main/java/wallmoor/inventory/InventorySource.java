package wallmoor.inventory;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.core.WorkerEndpoint;
import wallmoor.decision.ShardLayout;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.endpoints.WatchEvent;
import wallmoor.http.Threads;
import wallmoor.sources.EndpointSource;

/**
 * Nodes, from a CSV or YAML file as configuration tools keep it: YAML has groups with hosts, variables
 * and child groups, nearer variables before farther ones; CSV has a host a row and its variables in columns. A file
 * that is wrong anywhere is not taken at all, and the last good one stands.
 */
public final class InventorySource implements EndpointSource {
    private static final int MOST_BYTES = 1 << 20;
    private static final int DEEPEST = 16;
    private static final long REREAD_MILLIS = 350;

    private final Path file;
    private final ShardLayout layout;
    private final List<String> zones;
    private final List<String> kinds;
    private final Logger log = LoggerFactory.getLogger(InventorySource.class);
    private byte[] seen;
    private byte[] coming;
    private boolean first = true;

    /**
     * An inventory; nothing is read yet.
     *
     * @param zones the zones' names, by index
     * @param kinds the machine kinds' names, by index
     */
    public InventorySource(Path file, ShardLayout layout, List<String> zones, List<String> kinds) {
        this.file = file;
        this.layout = layout;
        this.zones = zones;
        this.kinds = kinds;
    }

    @Override
    public String name() {
        return "inventory";
    }

    /**
     * What the file holds.
     *
     * @throws ConfigException if it is wrong anywhere: a program is not started on a faulty one
     */
    @Override
    public List<SourceEndpoint> initialEndpoints() {
        List<SourceEndpoint> all = pollForChange();
        return all == null ? List.of() : all;
    }

    @Override
    public void start(Consumer<WatchEvent> to) {
        Threads.start("inventory", () -> reread(to));
    }

    private void reread(Consumer<WatchEvent> to) {
        String told = "";
        int read = 1;
        while (true) {
            try {
                Thread.sleep(REREAD_MILLIS);
                List<SourceEndpoint> list = pollForChange();
                if (list != null) {
                    to.accept(new WatchEvent.EndpointSnapshot(name(), "reading " + ++read, list, true));
                    log.info("{}: {} hosts", file.getFileName(), list.size());
                    told = "";
                }
            } catch (ConfigException e) {
                if (!told.equals(e.getMessage())) {
                    told = e.getMessage();
                    log.error("inventory not taken, the last one stands: {}", told);
                    to.accept(new WatchEvent.SourceFailure(name(), told));
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** The list if the file has changed since the last call, else null. */
    List<SourceEndpoint> pollForChange() {
        byte[] text;
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new ConfigException("inventory", file + " is larger than " + MOST_BYTES + " bytes");
            }
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new ConfigException("inventory", file + " can't be read: " + e);
        }
        if (Arrays.equals(text, seen)) {
            coming = null;
            return null;
        }
        if (!first && !Arrays.equals(text, coming)) {
            coming = text; // it may be half-written: hosts not yet in it must not seem gone
            return null;
        }
        seen = text; // a fault in it is told once
        Map<String, Map<String, String>> hosts = file.toString().endsWith(".csv")
                ? csv(new String(text, java.nio.charset.StandardCharsets.UTF_8)) : yaml(text);
        var entries = new LinkedHashMap<String, SourceEndpoint>();
        hosts.forEach((name, vars) -> entries.put(name, entry(name, vars)));
        first = false;
        return List.copyOf(entries.values());
    }

    private Map<String, Map<String, String>> csv(String text) {
        var hosts = new LinkedHashMap<String, Map<String, String>>();
        CSVFormat format = CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true)
                .setIgnoreSurroundingSpaces(true).setIgnoreEmptyLines(true).setCommentMarker('#').get();
        try (CSVParser rows = CSVParser.parse(text, format)) {
            for (CSVRecord row : rows) {
                String at = "row " + (row.getRecordNumber() + 1);
                String name = row.isSet("host") ? row.get("host") : "";
                if (!row.isConsistent() || name.isEmpty()) {
                    throw bad(at, "has no host or not as many cells as the header");
                }
                if (hosts.put(name, row.toMap()) != null) {
                    throw bad(at, "names host " + name + " again");
                }
            }
        } catch (IOException | IllegalArgumentException | java.io.UncheckedIOException e) {
            throw bad("CSV", "is malformed: " + e.getMessage());
        }
        return hosts;
    }

    private Map<String, Map<String, String>> yaml(byte[] text) {
        var hosts = new LinkedHashMap<String, Map<String, String>>();
        if (!(load(new String(text, java.nio.charset.StandardCharsets.UTF_8)) instanceof Map<?, ?> groups)) {
            throw bad("file", "holds no groups");
        }
        groups.forEach((name, group) -> group("group " + name, group, Map.of(), hosts, 0));
        return hosts;
    }

    /** YAML as plain maps, lists and values; no type is made that the file names. */
    private Object load(String text) {
        try {
            var options = new LoaderOptions();
            options.setAllowDuplicateKeys(false);
            return new Yaml(new SafeConstructor(options)).load(text);
        } catch (YAMLException e) {
            throw bad("file", "is no YAML: " + e.getMessage().replaceAll("\\s+", " "));
        }
    }

    private void group(String at, Object value, Map<String, String> inherited,
            Map<String, Map<String, String>> hosts, int depth) {
        if (value == null) {
            return;
        }
        if (!(value instanceof Map<?, ?> group) || depth > DEEPEST) {
            throw bad(at, "is no group");
        }
        var vars = new HashMap<>(inherited);
        vars.putAll(variables(at, group.get("vars")));
        named(at + " hosts", group.get("hosts")).forEach((name, own) -> {
            // a host may stand in several groups: what a later one says is added, its own variables win
            Map<String, String> host = hosts.computeIfAbsent("" + name, n -> new HashMap<>());
            vars.forEach((key, v) -> host.putIfAbsent(key, v));
            host.putAll(variables("host " + name, own));
        });
        named(at + " children", group.get("children"))
                .forEach((name, child) -> group("group " + name, child, vars, hosts, depth + 1));
    }

    private Map<?, ?> named(String at, Object value) {
        if (value == null) {
            return Map.of();
        }
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw bad(at, "is no mapping");
    }

    private Map<String, String> variables(String at, Object value) {
        var vars = new HashMap<String, String>();
        named(at + " variables", value).forEach((k, v) -> {
            if (v instanceof Map || v instanceof List) {
                return; // a variable of somebody else's: ours are plain
            }
            vars.put("" + k, v == null ? "" : v.toString());
        });
        return vars;
    }

    private SourceEndpoint entry(String name, Map<String, String> vars) {
        String at = "host " + name;
        String address = vars.getOrDefault("address", "");
        if (address.isEmpty()) {
            address = vars.getOrDefault("ansible_host", "") + ":"
                    + vars.getOrDefault("port", vars.getOrDefault("ansible_port", ""));
        }
        try {
            LaunchConfig.address("address", address);
        } catch (ConfigException e) {
            throw bad(at, "has no address that can be connected to: " + address);
        }
        WorkerEndpoint.EndpointState state = switch (vars.getOrDefault("state", "serving")
                .toLowerCase(java.util.Locale.ROOT)) {
            case "serving", "" -> WorkerEndpoint.EndpointState.SERVING;
            case "draining" -> WorkerEndpoint.EndpointState.DRAINING;
            case "gone" -> WorkerEndpoint.EndpointState.GONE;
            default -> throw bad(at, "has an unknown state: " + vars.get("state"));
        };
        String cell = vars.getOrDefault("cell", "");
        if (!cell.matches("[0-9]{1,6}") || Integer.parseInt(cell) >= layout.cells()) {
            throw bad(at, "has no cell from 0 to " + (layout.cells() - 1) + ": " + cell);
        }
        String zone = vars.getOrDefault("zone", "");
        int zoneIndex = zones.indexOf(zone);
        if (zoneIndex < 0 && !zone.isEmpty()) {
            throw bad(at, "has an unknown zone: " + zone);
        }
        String kind = vars.getOrDefault("kind", "");
        if (!kind.isEmpty() && kinds.indexOf(kind) < 0) {
            throw bad(at, "has an unknown kind: " + kind);
        }
        return new SourceEndpoint(name, address, Math.max(0, zoneIndex), Math.max(0, kinds.indexOf(kind)),
                Integer.parseInt(cell), state, 1, SourceEndpoint.UNKNOWN_START, 0);
    }

    private ConfigException bad(String row, String what) {
        return new ConfigException("inventory", file.getFileName() + ": " + row + " " + what);
    }
}
