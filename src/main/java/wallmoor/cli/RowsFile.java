package wallmoor.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import org.apache.commons.csv.DuplicateHeaderMode;
import wallmoor.summaries.Row;
import wallmoor.summaries.TimeSpan;

/**
 * Reads a site's rows from a CSV file with a header, in UTF-8. The columns {@code lon} and {@code lat} are the
 * coordinates in degrees. A column whose cells all parse as numbers holds numbers, unless it is declared to hold texts.
 * The file is read twice, so that it need not fit into memory.
 */
final class RowsFile {
    private final Path file;
    private final Set<String> declaredTextColumns;
    private final String timeColumn;

    /**
     * Creates a reader; {@link #read} opens the file.
     *
     * @param declaredTextColumns columns that hold texts even if all their cells parse as numbers
     * @param timeColumn          the column that holds a time, a day or an interval
     */
    RowsFile(Path file, List<String> declaredTextColumns, String timeColumn) {
        this.file = file;
        this.declaredTextColumns = Set.copyOf(declaredTextColumns);
        this.timeColumn = timeColumn;
    }

    /** Thrown if the file is malformed or can't be read; the message names the file, the line and the problem. */
    static final class InvalidRowException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidRowException(String message) {
            super(message);
        }
    }

    private interface RowConsumer {
        void accept(CSVRecord row, long line) throws InvalidRowException;
    }

    /** Passes each row to the consumer. */
    void read(Consumer<Row> consumer) throws InvalidRowException {
        var textColumns = new HashSet<>(declaredTextColumns);
        forEachRow((row, line) -> row.toMap().forEach((name, cell) -> {
            if (!cell.isBlank() && Row.number(cell) == null) {
                textColumns.add(name);
            }
        }));
        forEachRow((row, line) -> {
            var values = new HashMap<String, Object>();
            row.toMap().forEach((name, cell) -> values.put(name, cell.isEmpty() ? null
                    : textColumns.contains(name) ? cell : Row.number(cell)));
            values.keySet().removeAll(Set.of("lon", "lat", timeColumn));
            consumer.accept(new Row(values, coordinates(row, line), timeSpan(row, line)));
        });
    }

    private void forEachRow(RowConsumer consumer) throws InvalidRowException {
        CSVFormat format = CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).setIgnoreEmptyLines(true)
                .setDuplicateHeaderMode(DuplicateHeaderMode.DISALLOW).get();
        long line = 1;
        try (BufferedReader in = Files.newBufferedReader(file)) {
            in.mark(1);
            if (in.read() != '\uFEFF') { // some spreadsheets begin the file with a byte order mark
                in.reset();
            }
            try (CSVParser rows = CSVParser.parse(in, format)) {
                if (rows.getHeaderNames().isEmpty()) {
                    throw invalid(1, "has no header");
                }
                for (String name : declaredTextColumns) {
                    if (!rows.getHeaderMap().containsKey(name)) {
                        throw invalid(1, "has no column " + name);
                    }
                }
                line = rows.getCurrentLineNumber() + 1;
                for (CSVRecord row : rows) {
                    if (!row.isConsistent()) {
                        throw invalid(line, "has " + row.size() + " cells, but the header has " + rows.getHeaderNames()
                                .size());
                    }
                    consumer.accept(row, line);
                    line = rows.getCurrentLineNumber() + 1;
                }
            }
        } catch (UncheckedIOException | IllegalArgumentException e) {
            throw invalid(line, "is not valid CSV: " + (e.getCause() instanceof MalformedInputException ? "not UTF-8"
                    : e.getMessage()));
        } catch (MalformedInputException e) {
            throw invalid(line, "is not UTF-8");
        } catch (IOException e) {
            throw new InvalidRowException(file + " can't be read: " + e);
        }
    }

    private Row.Coordinates coordinates(CSVRecord row, long line) throws InvalidRowException {
        String lon = cell(row, "lon");
        String lat = cell(row, "lat");
        if (lon.isBlank() && lat.isBlank()) {
            return null;
        }
        Double x = Row.number(lon);
        Double y = Row.number(lat);
        Row.Coordinates coordinates = x == null || y == null ? null : Row.Coordinates.of(x, y);
        if (coordinates == null) {
            throw invalid(line, "has invalid coordinates: lon '" + lon + "', lat '" + lat
                    + "'; must be from -180 to 180 and from -90 to 90 degrees, or both empty");
        }
        return coordinates;
    }

    private TimeSpan timeSpan(CSVRecord row, long line) throws InvalidRowException {
        String text = cell(row, timeColumn);
        try {
            return text.isBlank() ? null : TimeSpan.parse(text.strip());
        } catch (IllegalArgumentException e) {
            throw invalid(line, "has an invalid " + timeColumn + ": " + e.getMessage());
        }
    }

    private static String cell(CSVRecord row, String column) {
        return row.isMapped(column) ? row.get(column) : "";
    }

    private InvalidRowException invalid(long line, String problem) {
        return new InvalidRowException(file + " line " + line + " " + problem);
    }
}
