package wallmoor.adapter;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wallmoor.decision.RouterApi;
import wallmoor.decision.RouterApi.LoadFigure;

/** One line of the wire: a message's name and its values, taken in order. */
final class Line {
    final String name;
    private final long number;
    private final String[] values;
    private int next = 1;

    Line(long number, String text) {
        this.number = number;
        values = text.split(" ", -1);
        name = values[0];
    }

    String text(String field) {
        String value = optional(field);
        if (value == null) {
            throw bad(field, "is absent");
        }
        return value;
    }

    /** The next value, or null where it is absent. */
    String optional(String field) {
        if (next >= values.length) {
            throw bad(field, "is missing");
        }
        String value = values[next++];
        if (value.isEmpty()) {
            throw bad(field, "is empty");
        }
        return value.equals("-") ? null : value;
    }

    long whole(String field) {
        return whole(field, text(field));
    }

    long wholeOr(String field, long otherwise) {
        String value = optional(field);
        return value == null ? otherwise : whole(field, value);
    }

    int small(String field) {
        long value = whole(field);
        if (value != (int) value) {
            throw bad(field, "is out of range: " + value);
        }
        return (int) value;
    }

    int smallOr(String field, int otherwise) {
        return (int) wholeOr(field, otherwise);
    }

    double decimalOr(String field, double otherwise) {
        String value = optional(field);
        try {
            return value == null ? otherwise : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw bad(field, "is not a number: " + value);
        }
    }

    boolean flag(String field) {
        String value = text(field);
        if (!value.equals("0") && !value.equals("1")) {
            throw bad(field, "is not 0 or 1: " + value);
        }
        return value.equals("1");
    }

    /** A value from a table of wire words. */
    <T> T word(String field, Map<String, T> words) {
        String value = text(field);
        T found = words.get(value);
        if (found == null) {
            throw bad(field, "is unknown: " + value);
        }
        return found;
    }

    /** A load report, in the order of the columns; empty where none came. */
    Map<LoadFigure, Double> load(String field, List<LoadFigure> columns) {
        var figures = new EnumMap<LoadFigure, Double>(LoadFigure.class);
        String row = optional(field);
        if (row == null) {
            return figures;
        }
        String[] cells = row.split(",", -1);
        for (int i = 0; i < Math.min(cells.length, columns.size()); i++) {
            if (!cells[i].isEmpty() && !cells[i].equals("-")) {
                try {
                    figures.put(columns.get(i), Double.parseDouble(cells[i]));
                } catch (NumberFormatException e) {
                    throw bad(field, "is not a load report: " + row);
                }
            }
        }
        return figures;
    }

    /** The values not yet taken, as path=value pairs. */
    Map<String, String> pairs(String field) {
        var pairs = new HashMap<String, String>();
        for (; next < values.length; next++) {
            int equals = values[next].indexOf('=');
            if (equals < 1) {
                throw bad(field, "has no path=value pair in: " + values[next]);
            }
            pairs.put(values[next].substring(0, equals), values[next].substring(equals + 1));
        }
        return pairs;
    }

    WireException bad(String field, String what) {
        return new WireException("line " + number + ": " + name + " field " + field + " " + what);
    }

    private long whole(String field, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw bad(field, "is not a whole number: " + value);
        }
    }

    /** The wire's absent time is absent or 0. */
    long timeOrAbsent(String field) {
        long value = wholeOr(field, 0);
        return value <= 0 ? RouterApi.ABSENT : value;
    }
}
