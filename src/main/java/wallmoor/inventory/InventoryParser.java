package wallmoor.inventory;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wallmoor.config.ConfigException;
import wallmoor.endpoints.SourceEndpoint;

/** Parses an inventory file to endpoints, as CSV if the file's name ends with {@code .csv}, else as YAML. */
final class InventoryParser {
    private final Path file;
    private final HostMapper mapper;

    InventoryParser(Path file, HostMapper mapper) {
        this.file = file;
        this.mapper = mapper;
    }

    /**
     * Returns the endpoints of all hosts, in the order of the file.
     *
     * @throws ConfigException if any part of the file is invalid
     */
    List<SourceEndpoint> parse(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        Map<String, Map<String, String>> hosts = file.toString().endsWith(".csv")
                ? new CsvInventory(file).parse(text)
                : new YamlInventory(file).parse(text);
        var endpoints = new ArrayList<SourceEndpoint>(hosts.size());
        for (Map.Entry<String, Map<String, String>> host : hosts.entrySet()) {
            endpoints.add(mapper.endpoint(host.getKey(), host.getValue()));
        }
        return List.copyOf(endpoints);
    }

    /** Creates an exception that names the file, the location in it and the problem. */
    static ConfigException fault(Path file, String location, String problem) {
        return new ConfigException("inventory", file.getFileName() + ": " + location + " " + problem);
    }
}
