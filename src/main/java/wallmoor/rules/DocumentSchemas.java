package wallmoor.rules;

import static wallmoor.rules.FieldSchema.MissingFieldMeaning.NOTHING;
import static wallmoor.rules.FieldSchema.MissingFieldMeaning.UNBOUND;
import static wallmoor.rules.RestrictiveMerge.FEWER;
import static wallmoor.rules.RestrictiveMerge.HIGHER;
import static wallmoor.rules.RestrictiveMerge.LOWER;
import static wallmoor.rules.RestrictiveMerge.MORE;
import static wallmoor.rules.RestrictiveMerge.NEITHER;
import static wallmoor.rules.RestrictiveMerge.OFF;
import static wallmoor.rules.RestrictiveMerge.ON;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import wallmoor.rules.FieldValue.Names;

/** The schemas of all documents that gatherers agree on. docs/versions.md shows the same table of fields. */
public final class DocumentSchemas {
    private static final long DAY_MS = 86_400_000;

    /** Settings that would otherwise stand in each gatherer's own file. Times are milliseconds. */
    public static final DocumentSchema SETTINGS = new DocumentSchema("settings", List.of(
            new FieldSchema("limits.*", LOWER, UNBOUND, 0, 1e9),
            new FieldSchema("allowances.*", LOWER, NOTHING, 0, 1e9), // of a tenant, in queries a second
            new FieldSchema("shares.*", LOWER, NOTHING, 0, 1), // of repeats, of a cold node's load
            // before a repeat, before an answer is asked for again
            new FieldSchema("waits.*", HIGHER, UNBOUND, 0, DAY_MS),
            FieldSchema.of("allow.*", OFF, NOTHING),
            FieldSchema.of("forbid.*", ON, UNBOUND),
            FieldSchema.of("values.*", NEITHER, NOTHING)), body -> null);

    /** Which nodes there are. */
    public static final DocumentSchema LIST = new DocumentSchema("list", List.of(
            FieldSchema.of("nodes", FEWER, NOTHING),
            FieldSchema.of("draining", MORE, UNBOUND),
            FieldSchema.of("address.*", NEITHER, NOTHING),
            FieldSchema.of("cell.*", NEITHER, NOTHING),
            new FieldSchema("size.*", LOWER, NOTHING, 0, 1e6)),
            body -> missingFrom(body, "draining", "nodes"));

    /** Which sites may be left out of a query because their summary says that they hold nothing for it. */
    public static final DocumentSchema SUMMARIES = new DocumentSchema("summaries", List.of(
            FieldSchema.of("prunable", FEWER, NOTHING),
            FieldSchema.of("ask_again", MORE, UNBOUND),
            // a label: a site is asked while versions with two of them hold
            FieldSchema.of("summary.*", NEITHER, NOTHING),
            new FieldSchema("good_for.*", LOWER, UNBOUND, 0, DAY_MS)), // age of a promise
            body -> body.fields().get("prunable") instanceof Names p
                    && p.value().stream().anyMatch(s -> body.text("summary." + s) == null)
                            ? "a site is prunable without a summary" : null);

    /** Who owns which block, and what is being moved. */
    public static final DocumentSchema PLAN = new DocumentSchema("plan", List.of(
            FieldSchema.of("owners.*", FEWER, NOTHING),
            FieldSchema.of("frozen", MORE, UNBOUND), // blocks that nothing is moved of
            FieldSchema.of("moves", FEWER, NOTHING),
            new FieldSchema("copies.*", HIGHER, UNBOUND, 1, 100), // that must be there before one is taken away
            new FieldSchema("moves_at_once", LOWER, NOTHING, 0, 1_000),
            FieldSchema.of("paused", ON, UNBOUND),
            FieldSchema.of("stopped", ON, UNBOUND),
            new FieldSchema("mb.*", HIGHER, UNBOUND, 1, 1e9), // of a block
            FieldSchema.of("goal", NEITHER, NOTHING)), // the rules and the nodes that moves are planned for
            body -> body.fields().entrySet().stream().filter(e -> e.getKey().startsWith("owners.")
                    && ((Names) e.getValue()).value().isEmpty()).map(e -> e.getKey() + " is empty").findFirst()
                    .orElse(null));

    /** Which machines are taken out for work, and how far each is. */
    public static final DocumentSchema MAINTENANCE = new DocumentSchema("maintenance", List.of(
            FieldSchema.of("away", MORE, UNBOUND), // machines that get nothing new
            FieldSchema.of("order", NEITHER, NOTHING),
            FieldSchema.of("wish.*", NEITHER, NOTHING), // and where it stands
            FieldSchema.of("held", ON, UNBOUND)), body -> null);

    private static final Map<String, DocumentSchema> ALL = Stream.of(SETTINGS, LIST, SUMMARIES, PLAN, MAINTENANCE)
            .collect(Collectors.toUnmodifiableMap(DocumentSchema::name, Function.identity()));

    private DocumentSchemas() {}

    /** Returns all schemas of this program, by name. */
    public static Map<String, DocumentSchema> all() {
        return ALL;
    }

    /**
     * Returns the schema of a document's name.
     *
     * @throws InvalidRuleException if there is none
     */
    static DocumentSchema require(Map<String, DocumentSchema> schemas, String name) throws InvalidRuleException {
        DocumentSchema schema = schemas.get(name);
        if (schema == null) {
            throw new InvalidRuleException("this program has no kind " + name);
        }
        return schema;
    }

    /** Returns a voter's verdict on a pending version: whether a program with these schemas can read it. */
    public static LogEntry.VoterVerdict verdict(String voter, Map<String, DocumentSchema> schemas,
            RuleDocument document) {
        String objection = "";
        try {
            require(schemas, document.name()).validate(document);
        } catch (InvalidRuleException e) {
            objection = e.getMessage();
        }
        return new LogEntry.VoterVerdict(voter, document.name(), document.version(), document.hash(), objection);
    }

    private static String missingFrom(RuleBody body, String subset, String superset) {
        if (!(body.fields().get(subset) instanceof Names names)) {
            return null;
        }
        boolean contained = body.fields().get(superset) instanceof Names all
                && all.value().containsAll(names.value());
        return contained ? null : subset + " holds what " + superset + " does not";
    }
}
