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
 * A site's rows in CSV with a header, in UTF-8. {@code lon} and {@code lat} are the place in degrees; a column whose
 * cells all read as numbers holds numbers, unless it is said to hold texts. It is read twice, and never held.
 */
final class RowsFile {
    private final Path file;
    private final Set<String> texts;
    private final String time;

    /**
     * Nothing is read yet.
     *
     * @param texts columns that hold texts though they read as numbers
     * @param time  the column with a time, a day or an interval
     */
    RowsFile(Path file, List<String> texts, String time) {
        this.file = file;
        this.texts = Set.copyOf(texts);
        this.time = time;
    }

    /** What is wrong, and in which line. */
    static final class InvalidRowException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidRowException(String what) {
            super(what);
        }
    }

    private interface RowConsumer {
        void take(CSVRecord row, long line) throws InvalidRowException;
    }

    /** Hands over each row. */
    void read(Consumer<Row> to) throws InvalidRowException {
        var others = new HashSet<>(texts);
        each((row, line) -> row.toMap().forEach((name, cell) -> {
            if (!cell.isBlank() && Row.number(cell) == null) {
                others.add(name);
            }
        }));
        each((row, line) -> {
            var values = new HashMap<String, Object>();
            row.toMap().forEach((name, cell) -> values.put(name, cell.isEmpty() ? null
                    : others.contains(name) ? cell : Row.number(cell)));
            values.keySet().removeAll(Set.of("lon", "lat", time));
            to.accept(new Row(values, place(row, line), time(row, line)));
        });
    }

    private void each(RowConsumer taker) throws InvalidRowException {
        CSVFormat format = CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).setIgnoreEmptyLines(true)
                .setDuplicateHeaderMode(DuplicateHeaderMode.DISALLOW).get();
        long line = 1;
        try (BufferedReader in = Files.newBufferedReader(file)) {
            in.mark(1);
            if (in.read() != '\uFEFF') { // a mark of byte order, as some tables begin with
                in.reset();
            }
            try (CSVParser rows = CSVParser.parse(in, format)) {
                if (rows.getHeaderNames().isEmpty()) {
                    throw bad(1, "has no header");
                }
                for (String name : texts) {
                    if (!rows.getHeaderMap().containsKey(name)) {
                        throw bad(1, "has no column " + name);
                    }
                }
                line = rows.getCurrentLineNumber() + 1;
                for (CSVRecord row : rows) {
                    if (!row.isConsistent()) {
                        throw bad(line, "has " + row.size() + " cells where the header has " + rows.getHeaderNames()
                                .size());
                    }
                    taker.take(row, line);
                    line = rows.getCurrentLineNumber() + 1;
                }
            }
        } catch (UncheckedIOException | IllegalArgumentException e) {
            throw bad(line, "is no CSV: " + (e.getCause() instanceof MalformedInputException ? "not UTF-8"
                    : e.getMessage()));
        } catch (MalformedInputException e) {
            throw bad(line, "is not UTF-8");
        } catch (IOException e) {
            throw new InvalidRowException(file + " can't be read: " + e);
        }
    }

    private Row.Coordinates place(CSVRecord row, long line) throws InvalidRowException {
        String lon = cell(row, "lon");
        String lat = cell(row, "lat");
        if (lon.isBlank() && lat.isBlank()) {
            return null;
        }
        Double x = Row.number(lon);
        Double y = Row.number(lat);
        Row.Coordinates place = x == null || y == null ? null : Row.Coordinates.of(x, y);
        if (place == null) {
            throw bad(line, "has no place: lon " + lon + ", lat " + lat
                    + "; degrees from -180 to 180 and -90 to 90, or neither");
        }
        return place;
    }

    private TimeSpan time(CSVRecord row, long line) throws InvalidRowException {
        String text = cell(row, time);
        try {
            return text.isBlank() ? null : TimeSpan.parse(text.strip());
        } catch (IllegalArgumentException e) {
            throw bad(line, "has no " + time + ": " + e.getMessage());
        }
    }

    private static String cell(CSVRecord row, String column) {
        return row.isMapped(column) ? row.get(column) : "";
    }

    private InvalidRowException bad(long line, String what) {
        return new InvalidRowException(file + " line " + line + " " + what);
    }
}
