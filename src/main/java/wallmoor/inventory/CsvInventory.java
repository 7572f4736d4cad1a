package wallmoor.inventory;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/** An inventory in CSV: a header, then a host a row, with its variables in columns. */
final class CsvInventory {
    private static final String HOST_COLUMN = "host";

    private final Path file;

    /** Makes it; the file is only named in faults. */
    CsvInventory(Path file) {
        this.file = file;
    }

    /** The variables of each host by the host's name, in the order of the rows. */
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
        String place = "row " + (row.getRecordNumber() + 1);
        String name = row.isSet(HOST_COLUMN) ? row.get(HOST_COLUMN) : "";
        if (!row.isConsistent() || name.isEmpty()) {
            throw InventoryParser.fault(file, place, "has no host or not as many cells as the header");
        }
        if (hosts.put(name, row.toMap()) != null) {
            throw InventoryParser.fault(file, place, "names host " + name + " again");
        }
    }
}
