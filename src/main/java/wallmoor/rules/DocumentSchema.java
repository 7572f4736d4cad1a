package wallmoor.rules;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import wallmoor.json.Json;

/**
 * Schema of one kind of document: parses and validates bodies, and merges the bodies of several versions in effect. A
 * body is a JSON object without nesting. A field that the schema lacks makes the body invalid instead of being ignored,
 * as a release that ignored the field would act differently from one that knows it.
 */
public final class DocumentSchema {
    private final String name;
    private final List<FieldSchema> fields;
    private final Function<RuleBody, String> invariant;

    /**
     * Creates a schema.
     *
     * @param name      name of the documents that have this schema
     * @param fields    the fields that a body may have; the first one that matches a field's name applies to it
     * @param invariant check across several fields: returns the error in a body, or null
     */
    public DocumentSchema(String name, List<FieldSchema> fields, Function<RuleBody, String> invariant) {
        this.name = name;
        this.fields = List.copyOf(fields);
        this.invariant = invariant;
    }

    /** Returns the name of the documents that have this schema. */
    public String name() {
        return name;
    }

    /** Returns the fields that a body may have. */
    public List<FieldSchema> fields() {
        return fields;
    }

    /**
     * Parses a body and validates it against this schema.
     *
     * @throws InvalidRuleException if it is not a JSON object, has a field or value that the schema does not allow, or
     *                              breaks the invariant
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
        String error = invariant.apply(body);
        if (error != null) {
            throw invalid(error);
        }
        return body;
    }

    private FieldValue parseField(String fieldName, Object json) throws InvalidRuleException {
        FieldSchema field = field(fieldName);
        if (field == null) {
            throw invalid(fieldName + " is not a field that this program knows");
        }
        FieldValue value = FieldValue.ofJson(json);
        String violation = value == null ? "is not a finite number, a text, true or false, or a list of texts"
                : field.violation(value);
        if (violation != null) {
            throw invalid(fieldName + " " + violation);
        }
        return value;
    }

    private InvalidRuleException invalid(String error) {
        return new InvalidRuleException(name + ": " + error);
    }

    /**
     * Parses a document's body and its fallback, and checks that the fallback permits nothing that the body does not
     * permit.
     *
     * @return the body
     */
    public RuleBody validate(RuleDocument document) throws InvalidRuleException {
        RuleBody body = parse(document.body());
        if (!isAtMostAsPermissive(parse(document.fallback()), body)) {
            throw invalid("the fallback permits something that the body does not permit");
        }
        return body;
    }

    /**
     * Merges two bodies field by field: the result has the more restrictive value of each field. It may break the
     * schema's invariant.
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

    /** Returns the most restrictive fallback of a body: it has all restrictions of the body and permits nothing. */
    public RuleBody minimalFallback(RuleBody body) {
        return meet(body, RuleBody.EMPTY);
    }

    /** Returns whether the first body permits nothing that the second one does not permit. */
    public boolean isAtMostAsPermissive(RuleBody a, RuleBody b) {
        return meet(a, b).equals(a);
    }

    /** Returns the schema of the field with this name, or null. */
    FieldSchema field(String fieldName) {
        for (FieldSchema field : fields) {
            if (field.matches(fieldName)) {
                return field;
            }
        }
        return null;
    }
}
