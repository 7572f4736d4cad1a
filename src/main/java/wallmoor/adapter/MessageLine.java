package wallmoor.adapter;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wallmoor.decision.Absent;
import wallmoor.decision.LoadMetric;

/** A line of the wire protocol: a message's name and its values, which are read in order. */
final class MessageLine {
    /** The text of an absent value. */
    static final String ABSENT = "-";

    final String name;
    private final long lineNumber;
    private final String[] values;
    private int nextIndex = 1;

    MessageLine(long lineNumber, String text) {
        this.lineNumber = lineNumber;
        values = text.split(" ", -1);
        name = values[0];
    }

    String text(String field) {
        String value = optionalText(field);
        if (value == null) {
            throw malformed(field, "is absent");
        }
        return value;
    }

    /** Returns the next value, or null if it is absent. */
    String optionalText(String field) {
        if (nextIndex >= values.length) {
            throw malformed(field, "is missing");
        }
        String value = values[nextIndex++];
        if (value.isEmpty()) {
            throw malformed(field, "is empty");
        }
        return value.equals(ABSENT) ? null : value;
    }

    long longValue(String field) {
        return longValue(field, text(field));
    }

    long longOr(String field, long defaultValue) {
        String value = optionalText(field);
        return value == null ? defaultValue : longValue(field, value);
    }

    int intValue(String field) {
        long value = longValue(field);
        if (value != (int) value) {
            throw malformed(field, "is out of range: " + value);
        }
        return (int) value;
    }

    int intOr(String field, int defaultValue) {
        return (int) longOr(field, defaultValue);
    }

    double doubleOr(String field, double defaultValue) {
        String value = optionalText(field);
        try {
            return value == null ? defaultValue : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw malformed(field, "is not a number: " + value);
        }
    }

    boolean flag(String field) {
        String value = text(field);
        if (!value.equals("0") && !value.equals("1")) {
            throw malformed(field, "is not 0 or 1: " + value);
        }
        return value.equals("1");
    }

    /** Returns the constant that the next value names. */
    <T> T keyword(String field, Map<String, T> constants) {
        String value = text(field);
        T constant = constants.get(value);
        if (constant == null) {
            throw malformed(field, "has an unknown value: " + value);
        }
        return constant;
    }

    /** Returns the load report of the next value by metric; empty if it is absent. */
    Map<LoadMetric, Double> loadReport(String field, List<LoadMetric> columns) {
        var report = new EnumMap<LoadMetric, Double>(LoadMetric.class);
        String row = optionalText(field);
        if (row == null) {
            return report;
        }
        String[] cells = row.split(",", -1);
        for (int i = 0; i < Math.min(cells.length, columns.size()); i++) {
            if (!cells[i].isEmpty() && !cells[i].equals(ABSENT)) {
                try {
                    report.put(columns.get(i), Double.parseDouble(cells[i]));
                } catch (NumberFormatException e) {
                    throw malformed(field, "has a column that is not a number: " + row);
                }
            }
        }
        return report;
    }

    /** Returns the values not yet read, which are path=value pairs. */
    Map<String, String> remainingPairs(String field) {
        var pairs = new HashMap<String, String>();
        for (; nextIndex < values.length; nextIndex++) {
            int equals = values[nextIndex].indexOf('=');
            if (equals < 1) {
                throw malformed(field, "has an entry that is not path=value: " + values[nextIndex]);
            }
            pairs.put(values[nextIndex].substring(0, equals), values[nextIndex].substring(equals + 1));
        }
        return pairs;
    }

    WireFormatException malformed(String field, String problem) {
        return new WireFormatException("line " + lineNumber + ": " + name + " field " + field + " " + problem);
    }

    private long longValue(String field, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw malformed(field, "is not an integer: " + value);
        }
    }

    /** Returns the next value as a time; an absent or non-positive value is {@link Absent#VALUE}. */
    long timeOrAbsent(String field) {
        long value = longOr(field, 0);
        return value <= 0 ? Absent.VALUE : value;
    }
}
