package wallmoor.inventory;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.core.WorkerEndpoint;
import wallmoor.endpoints.SourceEndpoint;

/** Maps a host of an inventory with its variables to an endpoint; each variable is checked. */
final class HostMapper {
    /** All endpoints of an inventory are of one size and tier. */
    private static final double SIZE = 1;
    private static final int TIER = 0;

    private final Path file;
    private final int cells;
    private final List<String> zones;
    private final List<String> kinds;

    /**
     * Makes it; the file is only named in faults.
     *
     * @param cells how many cells there are
     * @param zones the zones' names, by index
     * @param kinds the machine kinds' names, by index
     */
    HostMapper(Path file, int cells, List<String> zones, List<String> kinds) {
        this.file = file;
        this.cells = cells;
        this.zones = zones;
        this.kinds = kinds;
    }

    /**
     * The endpoint of a host.
     *
     * @throws ConfigException if a variable is missing or wrong
     */
    SourceEndpoint endpoint(String name, Map<String, String> variables) {
        String place = "host " + name;
        String address = address(place, variables);
        WorkerEndpoint.EndpointState state = state(place, variables);
        int cell = cell(place, variables);
        int zone = index(place, "zone", zones, variables);
        int kind = index(place, "kind", kinds, variables);
        return new SourceEndpoint(name, address, zone, kind, cell, state, SIZE, SourceEndpoint.UNKNOWN_START, TIER);
    }

    private String address(String place, Map<String, String> variables) {
        String address = variables.getOrDefault("address", "");
        if (address.isEmpty()) {
            address = variables.getOrDefault("ansible_host", "") + ":"
                    + variables.getOrDefault("port", variables.getOrDefault("ansible_port", ""));
        }
        try {
            LaunchConfig.address("address", address);
            return address;
        } catch (ConfigException e) {
            throw fault(place, "has no address that can be connected to: " + address);
        }
    }

    private WorkerEndpoint.EndpointState state(String place, Map<String, String> variables) {
        String state = variables.getOrDefault("state", "serving");
        return switch (state.toLowerCase(Locale.ROOT)) {
            case "serving", "" -> WorkerEndpoint.EndpointState.SERVING;
            case "draining" -> WorkerEndpoint.EndpointState.DRAINING;
            case "gone" -> WorkerEndpoint.EndpointState.GONE;
            default -> throw fault(place, "has an unknown state: " + state);
        };
    }

    private int cell(String place, Map<String, String> variables) {
        String cell = variables.getOrDefault("cell", "");
        if (!cell.matches("[0-9]{1,6}") || Integer.parseInt(cell) >= cells) {
            throw fault(place, "has no cell from 0 to " + (cells - 1) + ": " + cell);
        }
        return Integer.parseInt(cell);
    }

    /** The index of a variable's value in these names; the first where none is given. */
    private int index(String place, String key, List<String> names, Map<String, String> variables) {
        String name = variables.getOrDefault(key, "");
        int index = names.indexOf(name);
        if (index < 0 && !name.isEmpty()) {
            throw fault(place, "has an unknown " + key + ": " + name);
        }
        return Math.max(0, index);
    }

    private ConfigException fault(String place, String what) {
        return InventoryParser.fault(file, place, what);
    }
}
