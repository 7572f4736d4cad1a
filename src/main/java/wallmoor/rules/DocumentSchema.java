package wallmoor.rules;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import wallmoor.json.Json;

/**
 * Schema of one kind of document: parses and checks bodies, and merges the bodies of several versions in effect. A body
 * is a JSON object without nesting. A field that the schema lacks makes the body invalid instead of being skipped: what
 * one program skips another acts on.
 */
public final class DocumentSchema {
    private final String name;
    private final List<FieldSchema> fields;
    private final Function<RuleBody, String> invariant;

    /**
     * Creates a schema.
     *
     * @param name      of its documents
     * @param fields    all that a body may have; the first that matches a name is that name's
     * @param invariant between fields: returns what is wrong with a body, or null
     */
    public DocumentSchema(String name, List<FieldSchema> fields, Function<RuleBody, String> invariant) {
        this.name = name;
        this.fields = List.copyOf(fields);
        this.invariant = invariant;
    }

    /** Returns the name of its documents. */
    public String name() {
        return name;
    }

    /** Returns the fields that a body may have. */
    public List<FieldSchema> fields() {
        return fields;
    }

    /**
     * Parses a body and checks it against this schema.
     *
     * @throws InvalidRuleException if it is no JSON object, has a field or value that the schema lacks, or breaks the
     *                              invariant between fields
     */
    public RuleBody parse(String json) throws InvalidRuleException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        var values = new TreeMap<String, FieldValue>();
        try {
            for (Map.Entry<String, Object> member : Json.object(bytes, 0, bytes.length).members().entrySet()) {
                values.put(member.getKey(), parseField(member.getKey(), member.getValue()));
            }
        } catch (Json.Malformed e) {
            throw invalid(e.getMessage());
        }
        var body = new RuleBody(values);
        String fault = invariant.apply(body);
        if (fault != null) {
            throw invalid(fault);
        }
        return body;
    }

    private FieldValue parseField(String fieldName, Object json) throws InvalidRuleException {
        FieldSchema field = field(fieldName);
        if (field == null) {
            throw invalid(fieldName + " is no field of this program's");
        }
        FieldValue value = FieldValue.ofJson(json);
        String violation = value == null ? "is no number, text, yes or no, or list of names" : field.violation(value);
        if (violation != null) {
            throw invalid(fieldName + " " + violation);
        }
        return value;
    }

    private InvalidRuleException invalid(String fault) {
        return new InvalidRuleException(name + ": " + fault);
    }

    /**
     * Parses a document's body and its fallback, and checks that the fallback permits nothing that the body does not.
     *
     * @return the body
     */
    public RuleBody validate(RuleDocument document) throws InvalidRuleException {
        RuleBody body = parse(document.body());
        if (!isAtMostAsPermissive(parse(document.fallback()), body)) {
            throw invalid("the fallback gives what the body does not");
        }
        return body;
    }

    /**
     * Merges two bodies field by field into the more restrictive of each. The result need not keep the invariant
     * between fields.
     */
    public RuleBody meet(RuleBody a, RuleBody b) {
        var names = new TreeSet<>(a.fields().keySet());
        names.addAll(b.fields().keySet());
        var merged = new TreeMap<String, FieldValue>();
        for (String fieldName : names) {
            FieldValue value = field(fieldName).meet(a.fields().get(fieldName), b.fields().get(fieldName));
            if (value != null) {
                merged.put(fieldName, value);
            }
        }
        return new RuleBody(merged);
    }

    /** Returns the fallback that keeps all restrictions of a body and permits nothing. */
    public RuleBody minimalFallback(RuleBody body) {
        return meet(body, RuleBody.EMPTY);
    }

    /** Returns whether the first body permits nothing that the second does not. */
    public boolean isAtMostAsPermissive(RuleBody a, RuleBody b) {
        return meet(a, b).equals(a);
    }

    /** Returns the schema of the field of this name, or null. */
    FieldSchema field(String fieldName) {
        for (FieldSchema field : fields) {
            if (field.matches(fieldName)) {
                return field;
            }
        }
        return null;
    }
}
