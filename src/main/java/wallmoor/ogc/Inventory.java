package wallmoor.ogc;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import wallmoor.config.ConfigException;
import wallmoor.config.Launch;
import wallmoor.config.OgcConfig;
import wallmoor.core.Member;
import wallmoor.decision.RouterApi.Layout;

/**
 * The feature servers, from a CSV or YAML file as configuration tools keep it: YAML has groups with hosts, variables
 * and child groups, nearer variables before farther ones; CSV has a host a row and its variables in columns. A file
 * that is wrong anywhere is not taken at all, and the last good one stands.
 */
final class Inventory {
    private static final int MOST_BYTES = 1 << 20;
    private static final int DEEPEST = 16;

    private final Path file;
    private final Layout layout;
    private final List<String> zones;
    private final Map<String, Member> last = new HashMap<>();
    private byte[] seen;
    private byte[] coming;
    private boolean first = true;

    Inventory(Path file, Layout layout, List<String> zones) {
        this.file = file;
        this.layout = layout;
        this.zones = zones;
    }

    /** The list if the file has changed since the last call, else null. */
    List<Member> changed(long now) {
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
                ? csv(new String(text, java.nio.charset.StandardCharsets.UTF_8)) : yaml();
        var members = new LinkedHashMap<String, Member>();
        hosts.forEach((name, vars) -> members.put(name, member(name, vars, now)));
        last.clear();
        last.putAll(members);
        first = false;
        return List.copyOf(members.values());
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

    private Map<String, Map<String, String>> yaml() {
        var hosts = new LinkedHashMap<String, Map<String, String>>();
        if (!(OgcConfig.yaml(file) instanceof Map<?, ?> groups)) {
            throw bad("file", "holds no groups");
        }
        groups.forEach((name, group) -> group("group " + name, group, Map.of(), hosts, 0));
        return hosts;
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

    private Member member(String name, Map<String, String> vars, long now) {
        String at = "host " + name;
        String address = vars.getOrDefault("address", "");
        if (address.isEmpty()) {
            address = vars.getOrDefault("ansible_host", "") + ":"
                    + vars.getOrDefault("port", vars.getOrDefault("ansible_port", ""));
        }
        try {
            Launch.address("address", address);
        } catch (ConfigException e) {
            throw bad(at, "has no address that can be connected to: " + address);
        }
        Member.State state = switch (vars.getOrDefault("state", "serving").toLowerCase(java.util.Locale.ROOT)) {
            case "serving", "" -> Member.State.SERVING;
            case "draining" -> Member.State.DRAINING;
            case "gone" -> Member.State.GONE;
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
        return new Member(name, address, Math.max(0, zoneIndex), 0, Integer.parseInt(cell), state, 1,
                upSince(name, state, now));
    }

    /** The file does not say when a server started: one that comes or comes back later counts as cold from then. */
    private long upSince(String name, Member.State state, long now) {
        Member before = last.get(name);
        boolean back = state == Member.State.SERVING && (before == null || before.state() != Member.State.SERVING);
        return back && !first ? now : before == null ? 0 : before.upSince();
    }

    private ConfigException bad(String row, String what) {
        return new ConfigException("inventory", file.getFileName() + ": " + row + " " + what);
    }
}
