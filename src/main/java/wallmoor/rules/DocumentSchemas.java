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

/** The schemas of all documents that gatherers agree on. docs/versions.md has the same table of fields. */
public final class DocumentSchemas {
    private static final long DAY_MS = 86_400_000;

    /** Settings that would otherwise be in each gatherer's own file. Durations are milliseconds. */
    public static final DocumentSchema SETTINGS = new DocumentSchema("settings", List.of(
            new FieldSchema("limits.*", LOWER, UNBOUND, 0, 1e9),
            new FieldSchema("allowances.*", LOWER, NOTHING, 0, 1e9), // queries per second of a tenant
            new FieldSchema("shares.*", LOWER, NOTHING, 0, 1), // such as of retries or of a cold node's load
            // such as before a retry or before a result is requested again
            new FieldSchema("waits.*", HIGHER, UNBOUND, 0, DAY_MS),
            FieldSchema.of("allow.*", OFF, NOTHING),
            FieldSchema.of("forbid.*", ON, UNBOUND),
            FieldSchema.of("values.*", NEITHER, NOTHING)), body -> null);

    /** The nodes that exist. */
    public static final DocumentSchema LIST = new DocumentSchema("list", List.of(
            FieldSchema.of("nodes", FEWER, NOTHING),
            FieldSchema.of("draining", MORE, UNBOUND),
            FieldSchema.of("address.*", NEITHER, NOTHING),
            FieldSchema.of("cell.*", NEITHER, NOTHING),
            new FieldSchema("size.*", LOWER, NOTHING, 0, 1e6)),
            body -> missingFrom(body, "draining", "nodes"));

    /** The sites that a query may skip because their summary shows that they have no data for it. */
    public static final DocumentSchema SUMMARIES = new DocumentSchema("summaries", List.of(
            FieldSchema.of("prunable", FEWER, NOTHING),
            FieldSchema.of("ask_again", MORE, UNBOUND),
            // label of a site's summary: while versions with different labels are in effect, the site is queried
            FieldSchema.of("summary.*", NEITHER, NOTHING),
            new FieldSchema("good_for.*", LOWER, UNBOUND, 0, DAY_MS)), // maximum age of a summary's promise
            body -> body.fields().get("prunable") instanceof Names p
                    && p.value().stream().anyMatch(s -> body.text("summary." + s) == null)
                            ? "prunable lists a site that has no summary.* field" : null);

    /** The owners of each block, and the moves in progress. */
    public static final DocumentSchema PLAN = new DocumentSchema("plan", List.of(
            FieldSchema.of("owners.*", FEWER, NOTHING),
            FieldSchema.of("frozen", MORE, UNBOUND), // blocks that are not moved
            FieldSchema.of("moves", FEWER, NOTHING),
            new FieldSchema("copies.*", HIGHER, UNBOUND, 1, 100), // copies that must exist before one is removed
            new FieldSchema("moves_at_once", LOWER, NOTHING, 0, 1_000),
            FieldSchema.of("paused", ON, UNBOUND),
            FieldSchema.of("stopped", ON, UNBOUND),
            new FieldSchema("mb.*", HIGHER, UNBOUND, 1, 1e9), // size of a block
            FieldSchema.of("goal", NEITHER, NOTHING)), // the rules and nodes for which moves are planned
            body -> body.fields().entrySet().stream().filter(e -> e.getKey().startsWith("owners.")
                    && ((Names) e.getValue()).value().isEmpty()).map(e -> e.getKey() + " lists no owner").findFirst()
                    .orElse(null));

    /** The machines that are taken out of service for maintenance, and the progress of each. */
    public static final DocumentSchema MAINTENANCE = new DocumentSchema("maintenance", List.of(
            FieldSchema.of("away", MORE, UNBOUND), // machines that receive no new work
            FieldSchema.of("order", NEITHER, NOTHING), // ids of the requests, in the order of execution
            FieldSchema.of("wish.*", NEITHER, NOTHING), // a maintenance request and its progress
            FieldSchema.of("held", ON, UNBOUND)), body -> null);

    private static final Map<String, DocumentSchema> ALL = Stream.of(SETTINGS, LIST, SUMMARIES, PLAN, MAINTENANCE)
            .collect(Collectors.toUnmodifiableMap(DocumentSchema::name, Function.identity()));

    private DocumentSchemas() {}

    /** Returns all schemas that this program knows, by document name. */
    public static Map<String, DocumentSchema> all() {
        return ALL;
    }

    /**
     * Returns the schema of the documents with this name.
     *
     * @throws InvalidRuleException if there is none
     */
    static DocumentSchema require(Map<String, DocumentSchema> schemas, String name) throws InvalidRuleException {
        DocumentSchema schema = schemas.get(name);
        if (schema == null) {
            throw new InvalidRuleException("this program has no schema for documents named " + name);
        }
        return schema;
    }

    /** Returns a voter's verdict on a pending version: its objection if a program with these schemas can't read it. */
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
        boolean isContained = body.fields().get(superset) instanceof Names all
                && all.value().containsAll(names.value());
        return isContained ? null : subset + " contains a name that is not in " + superset;
    }
}
