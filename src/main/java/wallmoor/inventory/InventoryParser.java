package wallmoor.inventory;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wallmoor.config.ConfigException;
import wallmoor.endpoints.SourceEndpoint;

/** Parses the bytes of an inventory file, in the format that the file's name says, to endpoints. */
final class InventoryParser {
    private final Path file;
    private final HostMapper mapper;

    InventoryParser(Path file, HostMapper mapper) {
        this.file = file;
        this.mapper = mapper;
    }

    /**
     * The endpoints of all hosts, in the order of the file.
     *
     * @throws ConfigException if the file is wrong anywhere
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

    /** A fault of the file, which names the file and the place in it. */
    static ConfigException fault(Path file, String place, String what) {
        return new ConfigException("inventory", file.getFileName() + ": " + place + " " + what);
    }
}
