package wallmoor.inventory;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wallmoor.config.ConfigException;
import wallmoor.config.LaunchConfig;
import wallmoor.core.WorkerEndpoint;
import wallmoor.endpoints.SourceEndpoint;

/** Maps an inventory host to an endpoint and validates the host's variables. */
final class HostMapper {
    /** The relative capacity of every endpoint of an inventory. */
    private static final double SIZE = 1;
    /** The priority tier of every endpoint of an inventory. */
    private static final int TIER = 0;

    private final Path file;
    private final int cells;
    private final List<String> zones;
    private final List<String> kinds;

    /**
     * Creates a mapper; the file is only named in error messages.
     *
     * @param cells the number of cells
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
     * Returns the endpoint of a host.
     *
     * @throws ConfigException if a variable is missing or invalid
     */
    SourceEndpoint endpoint(String name, Map<String, String> variables) {
        String location = "host " + name;
        String address = address(location, variables);
        WorkerEndpoint.EndpointState state = state(location, variables);
        int cell = cell(location, variables);
        int zone = index(location, "zone", zones, variables);
        int kind = index(location, "kind", kinds, variables);
        return new SourceEndpoint(name, address, zone, kind, cell, state, SIZE, SourceEndpoint.UNKNOWN_START, TIER);
    }

    private String address(String location, Map<String, String> variables) {
        String address = variables.getOrDefault("address", "");
        if (address.isEmpty()) {
            address = variables.getOrDefault("ansible_host", "") + ":"
                    + variables.getOrDefault("port", variables.getOrDefault("ansible_port", ""));
        }
        try {
            LaunchConfig.address("address", address);
            return address;
        } catch (ConfigException e) {
            throw fault(location, "has an invalid address, must be HOST:PORT: " + address);
        }
    }

    private WorkerEndpoint.EndpointState state(String location, Map<String, String> variables) {
        String state = variables.getOrDefault("state", "serving");
        return switch (state.toLowerCase(Locale.ROOT)) {
            case "serving", "" -> WorkerEndpoint.EndpointState.SERVING;
            case "draining" -> WorkerEndpoint.EndpointState.DRAINING;
            case "gone" -> WorkerEndpoint.EndpointState.GONE;
            default -> throw fault(location, "has an unknown state, must be serving, draining or gone: " + state);
        };
    }

    private int cell(String location, Map<String, String> variables) {
        String cell = variables.getOrDefault("cell", "");
        if (!cell.matches("[0-9]{1,6}") || Integer.parseInt(cell) >= cells) {
            throw fault(location, "has an invalid cell, must be from 0 to " + (cells - 1) + ": " + cell);
        }
        return Integer.parseInt(cell);
    }

    /** Returns the index of a variable's value in these names, or 0 if the host doesn't set the variable. */
    private int index(String location, String key, List<String> names, Map<String, String> variables) {
        String name = variables.getOrDefault(key, "");
        int index = names.indexOf(name);
        if (index < 0 && !name.isEmpty()) {
            throw fault(location, "has an unknown " + key + ", must be one of " + names + ": " + name);
        }
        return Math.max(0, index);
    }

    private ConfigException fault(String location, String problem) {
        return InventoryParser.fault(file, location, problem);
    }
}
