package wallmoor.adapter;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wallmoor.decision.Absent;
import wallmoor.decision.LoadMetric;

/** One line of the wire: a message's name and its values, taken in order. */
final class MessageLine {
    /** Stands for a value that was not given. */
    static final String ABSENT = "-";

    final String name;
    private final long number;
    private final String[] values;
    private int next = 1;

    MessageLine(long number, String text) {
        this.number = number;
        values = text.split(" ", -1);
        name = values[0];
    }

    String text(String field) {
        String value = optional(field);
        if (value == null) {
            throw malformed(field, "is absent");
        }
        return value;
    }

    /** The next value, or null where it is absent. */
    String optional(String field) {
        if (next >= values.length) {
            throw malformed(field, "is missing");
        }
        String value = values[next++];
        if (value.isEmpty()) {
            throw malformed(field, "is empty");
        }
        return value.equals(ABSENT) ? null : value;
    }

    long longValue(String field) {
        return longValue(field, text(field));
    }

    long longOr(String field, long otherwise) {
        String value = optional(field);
        return value == null ? otherwise : longValue(field, value);
    }

    int intValue(String field) {
        long value = longValue(field);
        if (value != (int) value) {
            throw malformed(field, "is out of range: " + value);
        }
        return (int) value;
    }

    int intOr(String field, int otherwise) {
        return (int) longOr(field, otherwise);
    }

    double doubleOr(String field, double otherwise) {
        String value = optional(field);
        try {
            return value == null ? otherwise : Double.parseDouble(value);
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

    /** A value from a table of wire words. */
    <T> T keyword(String field, Map<String, T> words) {
        String value = text(field);
        T found = words.get(value);
        if (found == null) {
            throw malformed(field, "is unknown: " + value);
        }
        return found;
    }

    /** A load report, in the order of the columns; empty where none came. */
    Map<LoadMetric, Double> loadReport(String field, List<LoadMetric> columns) {
        var figures = new EnumMap<LoadMetric, Double>(LoadMetric.class);
        String row = optional(field);
        if (row == null) {
            return figures;
        }
        String[] cells = row.split(",", -1);
        for (int i = 0; i < Math.min(cells.length, columns.size()); i++) {
            if (!cells[i].isEmpty() && !cells[i].equals(ABSENT)) {
                try {
                    figures.put(columns.get(i), Double.parseDouble(cells[i]));
                } catch (NumberFormatException e) {
                    throw malformed(field, "is not a load report: " + row);
                }
            }
        }
        return figures;
    }

    /** The values not yet taken, as path=value pairs. */
    Map<String, String> remainingPairs(String field) {
        var pairs = new HashMap<String, String>();
        for (; next < values.length; next++) {
            int equals = values[next].indexOf('=');
            if (equals < 1) {
                throw malformed(field, "has no path=value pair in: " + values[next]);
            }
            pairs.put(values[next].substring(0, equals), values[next].substring(equals + 1));
        }
        return pairs;
    }

    WireFormatException malformed(String field, String what) {
        return new WireFormatException("line " + number + ": " + name + " field " + field + " " + what);
    }

    private long longValue(String field, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw malformed(field, "is not a whole number: " + value);
        }
    }

    /** The wire's absent time is absent or 0. */
    long timeOrAbsent(String field) {
        long value = longOr(field, 0);
        return value <= 0 ? Absent.VALUE : value;
    }
}
