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

/** A document's body: its values by field name. Immutable, so any thread reads it without locking. */
public record RuleBody(SortedMap<String, FieldValue> fields) {
    /** A body without fields. */
    public static final RuleBody EMPTY = new RuleBody(new TreeMap<>());

    /** Integers below this bound are written without a fraction; a double represents each of them exactly. */
    private static final double MAX_EXACT_INTEGER = 1e15;

    /** Copies the map. */
    public RuleBody {
        fields = Collections.unmodifiableSortedMap(new TreeMap<>(fields));
    }

    /** Returns a JSON object, which {@link DocumentSchema#parse} parses into an equal body. */
    public String toJson() {
        var json = new StringBuilder("{");
        fields.forEach((name, value) -> {
            json.append(json.length() == 1 ? "" : ",");
            Json.quote(json, name);
            json.append(':');
            append(json, value);
        });
        return json.append('}').toString();
    }

    private static void append(StringBuilder json, FieldValue value) {
        if (value instanceof Amount amount) {
            double number = amount.value();
            boolean isInteger = number == Math.rint(number) && Math.abs(number) < MAX_EXACT_INTEGER;
            json.append(isInteger ? Long.toString((long) number) : Double.toString(number));
        } else if (value instanceof Flag flag) {
            json.append(flag.value());
        } else if (value instanceof Text text) {
            Json.quote(json, text.value());
        } else if (value instanceof Names names) {
            appendNames(json, names.value());
        }
    }

    private static void appendNames(StringBuilder json, SortedSet<String> names) {
        String separator = "";
        json.append('[');
        for (String name : names) {
            json.append(separator);
            Json.quote(json, name);
            separator = ",";
        }
        json.append(']');
    }

    /** Returns a number, or the default if the field is missing. */
    public double amount(String field, double defaultValue) {
        return fields.get(field) instanceof Amount amount ? amount.value() : defaultValue;
    }

    /** Returns a flag, or the default if the field is missing. */
    public boolean flag(String field, boolean defaultValue) {
        return fields.get(field) instanceof Flag flag ? flag.value() : defaultValue;
    }

    /** Returns a text, or null if the field is missing. */
    public String text(String field) {
        return fields.get(field) instanceof Text text ? text.value() : null;
    }

    /** Returns whether a set of names contains a name; false if the field is missing. */
    public boolean containsName(String field, String name) {
        return fields.get(field) instanceof Names names && names.value().contains(name);
    }
}
