package wallmoor.versions;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import wallmoor.json.Json;
import wallmoor.versions.Value.Amount;
import wallmoor.versions.Value.Flag;
import wallmoor.versions.Value.Names;
import wallmoor.versions.Value.Text;

/**
 * A kind of document: reads and checks bodies, and knows of each field which way is careful. A body is a JSON object
 * without nesting. A field that the kind does not have is refused, not skipped: what one program skips another acts on.
 */
public final class Kind {
    private final String name;
    private final List<Field> fields;
    private final Function<Body, String> rule;

    /**
     * A kind.
     *
     * @param name   of its documents
     * @param fields all that a body may have; the first that fits a name is that name's
     * @param rule   what is wrong between fields, or null
     */
    public Kind(String name, List<Field> fields, Function<Body, String> rule) {
        this.name = name;
        this.fields = List.copyOf(fields);
        this.rule = rule;
    }

    /** The name of its documents. */
    public String name() {
        return name;
    }

    /** The table of fields. */
    public List<Field> fields() {
        return fields;
    }

    /** Reads a body. */
    public Body read(String json) throws UnreadableException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        var read = new TreeMap<String, Value>();
        try {
            for (Map.Entry<String, Object> m : Json.object(bytes, 0, bytes.length).members().entrySet()) {
                Field field = field(m.getKey());
                if (field == null) {
                    throw new UnreadableException(name + ": " + m.getKey() + " is no field of this program's");
                }
                Value value = value(m.getValue());
                String fault = value == null ? "is no number, text, yes or no, or list of names" : field.fault(value);
                if (fault != null) {
                    throw new UnreadableException(name + ": " + m.getKey() + " " + fault);
                }
                read.put(m.getKey(), value);
            }
        } catch (Json.Malformed e) {
            throw new UnreadableException(name + ": " + e.getMessage());
        }
        var body = new Body(read);
        String fault = rule.apply(body);
        if (fault != null) {
            throw new UnreadableException(name + ": " + fault);
        }
        return body;
    }

    /** Reads a document, both what it says and its fallback, which may be no bolder. Returns what it says. */
    public Body check(Document document) throws UnreadableException {
        Body body = read(document.body());
        if (!within(read(document.fallback()), body)) {
            throw new UnreadableException(name + ": the fallback gives what the body does not");
        }
        return body;
    }

    /** Field by field the careful one of both. It need not keep the rule between fields: it only takes away. */
    public Body meet(Body a, Body b) {
        var names = new TreeSet<>(a.fields().keySet());
        names.addAll(b.fields().keySet());
        var met = new TreeMap<String, Value>();
        for (String n : names) {
            Value v = field(n).meet(a.fields().get(n), b.fields().get(n));
            if (v != null) {
                met.put(n, v);
            }
        }
        return new Body(met);
    }

    /** The boldest fallback that a body allows and that gives nothing: its bounds stay, what it gives goes. */
    public Body least(Body body) {
        return meet(body, Body.EMPTY);
    }

    /** Whether the first gives nothing that the second does not. */
    public boolean within(Body a, Body b) {
        return meet(a, b).equals(a);
    }

    /** The field of this name, or null. */
    Field field(String of) {
        for (Field f : fields) {
            if (f.is(of)) {
                return f;
            }
        }
        return null;
    }

    private static Value value(Object o) {
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
