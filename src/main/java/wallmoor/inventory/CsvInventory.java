package wallmoor.inventory;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/** Parses an inventory in CSV: a header row, then one row per host with its variables in columns. */
final class CsvInventory {
    private static final String HOST_COLUMN = "host";

    private final Path file;

    /** Creates a parser; the file is only named in error messages. */
    CsvInventory(Path file) {
        this.file = file;
    }

    /** Returns the variables of each host by host name, in the order of the rows. */
    Map<String, Map<String, String>> parse(String text) {
        var hosts = new LinkedHashMap<String, Map<String, String>>();
        CSVFormat format = CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true)
                .setIgnoreSurroundingSpaces(true).setIgnoreEmptyLines(true).setCommentMarker('#').get();
        try (CSVParser rows = CSVParser.parse(text, format)) {
            for (CSVRecord row : rows) {
                addHost(row, hosts);
            }
        } catch (IOException | IllegalArgumentException | UncheckedIOException e) {
            throw InventoryParser.fault(file, "CSV", "is malformed: " + e.getMessage());
        }
        return hosts;
    }

    private void addHost(CSVRecord row, Map<String, Map<String, String>> hosts) {
        String location = "row " + (row.getRecordNumber() + 1);
        String name = row.isSet(HOST_COLUMN) ? row.get(HOST_COLUMN) : "";
        if (!row.isConsistent() || name.isEmpty()) {
            throw InventoryParser.fault(file, location,
                    "must have a value in column host and as many columns as the header");
        }
        if (hosts.put(name, row.toMap()) != null) {
            throw InventoryParser.fault(file, location, "repeats host " + name + ", which is already listed");
        }
    }
}
