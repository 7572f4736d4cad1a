package wallmoor.rules;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import wallmoor.json.Json;
import wallmoor.rules.FieldValue.Amount;
import wallmoor.rules.FieldValue.Flag;
import wallmoor.rules.FieldValue.Names;
import wallmoor.rules.FieldValue.Text;

/**
 * A kind of document: reads and checks bodies, and knows of each field which way is careful. A body is a JSON object
 * without nesting. A field that the kind does not have is refused, not skipped: what one program skips another acts on.
 */
public final class DocumentSchema {
    private final String name;
    private final List<FieldSchema> fields;
    private final Function<RuleBody, String> rule;

    /**
     * A kind.
     *
     * @param name   of its documents
     * @param fields all that a body may have; the first that fits a name is that name's
     * @param rule   what is wrong between fields, or null
     */
    public DocumentSchema(String name, List<FieldSchema> fields, Function<RuleBody, String> rule) {
        this.name = name;
        this.fields = List.copyOf(fields);
        this.rule = rule;
    }

    /** The name of its documents. */
    public String name() {
        return name;
    }

    /** The table of fields. */
    public List<FieldSchema> fields() {
        return fields;
    }

    /** Reads a body. */
    public RuleBody parse(String json) throws InvalidRuleException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        var read = new TreeMap<String, FieldValue>();
        try {
            for (Map.Entry<String, Object> m : Json.object(bytes, 0, bytes.length).members().entrySet()) {
                FieldSchema field = field(m.getKey());
                if (field == null) {
                    throw new InvalidRuleException(name + ": " + m.getKey() + " is no field of this program's");
                }
                FieldValue value = value(m.getValue());
                String fault = value == null ? "is no number, text, yes or no, or list of names"
                        : field.violation(value);
                if (fault != null) {
                    throw new InvalidRuleException(name + ": " + m.getKey() + " " + fault);
                }
                read.put(m.getKey(), value);
            }
        } catch (Json.Malformed e) {
            throw new InvalidRuleException(name + ": " + e.getMessage());
        }
        var body = new RuleBody(read);
        String fault = rule.apply(body);
        if (fault != null) {
            throw new InvalidRuleException(name + ": " + fault);
        }
        return body;
    }

    /** Reads a document, both what it says and its fallback, which may be no bolder. Returns what it says. */
    public RuleBody validate(RuleDocument document) throws InvalidRuleException {
        RuleBody body = parse(document.body());
        if (!isAtMostAsPermissive(parse(document.fallback()), body)) {
            throw new InvalidRuleException(name + ": the fallback gives what the body does not");
        }
        return body;
    }

    /** Field by field the careful one of both. It need not keep the rule between fields: it only takes away. */
    public RuleBody meet(RuleBody a, RuleBody b) {
        var names = new TreeSet<>(a.fields().keySet());
        names.addAll(b.fields().keySet());
        var met = new TreeMap<String, FieldValue>();
        for (String n : names) {
            FieldValue v = field(n).meet(a.fields().get(n), b.fields().get(n));
            if (v != null) {
                met.put(n, v);
            }
        }
        return new RuleBody(met);
    }

    /** The boldest fallback that a body allows and that gives nothing: its bounds stay, what it gives goes. */
    public RuleBody minimalFallback(RuleBody body) {
        return meet(body, RuleBody.EMPTY);
    }

    /** Whether the first gives nothing that the second does not. */
    public boolean isAtMostAsPermissive(RuleBody a, RuleBody b) {
        return meet(a, b).equals(a);
    }

    /** The field of this name, or null. */
    FieldSchema field(String of) {
        for (FieldSchema f : fields) {
            if (f.matches(of)) {
                return f;
            }
        }
        return null;
    }

    private static FieldValue value(Object o) {
        if (o instanceof Number n && Double.isFinite(n.doubleValue())) {
            return new Amount(n.doubleValue());
        } else if (o instanceof Boolean b) {
            return new Flag(b);
        } else if (o instanceof String s) {
            return new Text(s);
        } else if (o instanceof List<?> l) {
            var names = new ArrayList<String>();
            for (Object e : l) {
                if (!(e instanceof String s)) {
                    return null;
                }
                names.add(s);
            }
            return Names.of(names);
        }
        return null;
    }
}
