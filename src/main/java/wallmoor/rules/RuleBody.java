package wallmoor.rules;

import java.util.Collections;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import wallmoor.json.Json;
import wallmoor.rules.FieldValue.Amount;
import wallmoor.rules.FieldValue.Flag;
import wallmoor.rules.FieldValue.Names;
import wallmoor.rules.FieldValue.Text;

/** A rule's body: its values by field. Immutable, so that any thread reads it without waiting. */
public record RuleBody(SortedMap<String, FieldValue> fields) {
    /** A body without fields. */
    public static final RuleBody EMPTY = new RuleBody(new TreeMap<>());

    /** Integers below this are written without a fraction; a double holds them all exactly. */
    private static final double MAX_EXACT_INTEGER = 1e15;

    /** Copies the map. */
    public RuleBody {
        fields = Collections.unmodifiableSortedMap(new TreeMap<>(fields));
    }

    /** Returns a JSON object, which {@link DocumentSchema#parse} reads as this body again. */
    public String toJson() {
        var to = new StringBuilder("{");
        fields.forEach((name, value) -> {
            to.append(to.length() == 1 ? "" : ",");
            Json.quote(to, name);
            to.append(':');
            append(to, value);
        });
        return to.append('}').toString();
    }

    private static void append(StringBuilder to, FieldValue value) {
        if (value instanceof Amount amount) {
            double number = amount.value();
            boolean isInteger = number == Math.rint(number) && Math.abs(number) < MAX_EXACT_INTEGER;
            to.append(isInteger ? Long.toString((long) number) : Double.toString(number));
        } else if (value instanceof Flag flag) {
            to.append(flag.value());
        } else if (value instanceof Text text) {
            Json.quote(to, text.value());
        } else if (value instanceof Names names) {
            appendNames(to, names.value());
        }
    }

    private static void appendNames(StringBuilder to, SortedSet<String> names) {
        String separator = "";
        to.append('[');
        for (String name : names) {
            to.append(separator);
            Json.quote(to, name);
            separator = ",";
        }
        to.append(']');
    }

    /** Returns a number, or the default where the field is missing. */
    public double amount(String field, double defaultValue) {
        return fields.get(field) instanceof Amount amount ? amount.value() : defaultValue;
    }

    /** Returns a flag, or the default where the field is missing. */
    public boolean flag(String field, boolean defaultValue) {
        return fields.get(field) instanceof Flag flag ? flag.value() : defaultValue;
    }

    /** Returns a text, or null where the field is missing. */
    public String text(String field) {
        return fields.get(field) instanceof Text text ? text.value() : null;
    }

    /** Returns whether a set of names contains this one; false where the field is missing. */
    public boolean containsName(String field, String name) {
        return fields.get(field) instanceof Names names && names.value().contains(name);
    }
}
