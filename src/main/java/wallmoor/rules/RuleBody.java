package wallmoor.rules;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import wallmoor.json.Json;
import wallmoor.rules.FieldValue.Amount;
import wallmoor.rules.FieldValue.Flag;
import wallmoor.rules.FieldValue.Names;
import wallmoor.rules.FieldValue.Text;

/** What a document says, by field. Immutable: traffic reads it without waiting. */
public record RuleBody(SortedMap<String, FieldValue> fields) {
    /** Whole numbers below are told without a fraction. */
    private static final double EXACT = 1e15;
    /** A body that says nothing. */
    public static final RuleBody EMPTY = new RuleBody(new TreeMap<>());

    /** Keeps a copy that nobody changes. */
    public RuleBody {
        fields = Collections.unmodifiableSortedMap(new TreeMap<>(fields));
    }

    /** As a JSON object, which {@link DocumentSchema#parse} reads as this body again. */
    public String toJson() {
        var to = new StringBuilder("{");
        fields.forEach((name, value) -> {
            to.append(to.length() == 1 ? "" : ",");
            Json.quote(to, name);
            to.append(':');
            if (value instanceof Amount a) {
                double n = a.value();
                to.append(n == Math.rint(n) && Math.abs(n) < EXACT ? Long.toString((long) n) : Double.toString(n));
            } else if (value instanceof Flag f) {
                to.append(f.value());
            } else if (value instanceof Text t) {
                Json.quote(to, t.value());
            } else if (value instanceof Names names) {
                String separator = "[";
                for (String n : names.value()) {
                    to.append(separator);
                    Json.quote(to, n);
                    separator = ",";
                }
                to.append(names.value().isEmpty() ? "[]" : "]");
            }
        });
        return to.append('}').toString();
    }

    /** A number, or the other where it is not there. */
    public double amount(String field, double otherwise) {
        return fields.get(field) instanceof Amount a ? a.value() : otherwise;
    }

    /** Yes or no, or the other where it is not there. */
    public boolean flag(String field, boolean otherwise) {
        return fields.get(field) instanceof Flag f ? f.value() : otherwise;
    }

    /** A text, or null where it is not there. */
    public String text(String field) {
        return fields.get(field) instanceof Text t ? t.value() : null;
    }

    /** Whether a field has this name in it; not where the field is not there. */
    public boolean containsName(String field, String name) {
        return fields.get(field) instanceof Names n && n.value().contains(name);
    }
}
