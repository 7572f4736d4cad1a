package wallmoor.versions;

import static wallmoor.versions.Careful.FEWER;
import static wallmoor.versions.Careful.HIGHER;
import static wallmoor.versions.Careful.LOWER;
import static wallmoor.versions.Careful.MORE;
import static wallmoor.versions.Careful.NEITHER;
import static wallmoor.versions.Careful.OFF;
import static wallmoor.versions.Careful.ON;
import static wallmoor.versions.Field.Missing.NOTHING;
import static wallmoor.versions.Field.Missing.UNBOUND;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import wallmoor.versions.Value.Names;

/** The kinds of documents that gatherers agree on, each with its table of fields. */
public final class Kinds {
    private static final long DAY_MS = 86_400_000;

    /** What would be in each gatherer's own file. Times are milliseconds. */
    public static final Kind SETTINGS = new Kind("settings", List.of(
            new Field("limits.*", LOWER, UNBOUND, 0, 1e9),
            new Field("allowances.*", LOWER, NOTHING, 0, 1e9), // of a tenant, in queries a second
            new Field("shares.*", LOWER, NOTHING, 0, 1), // of repeats, of a cold node's load
            new Field("waits.*", HIGHER, UNBOUND, 0, DAY_MS), // before a repeat, before an answer is asked for again
            Field.of("allow.*", OFF, NOTHING),
            Field.of("forbid.*", ON, UNBOUND),
            Field.of("values.*", NEITHER, NOTHING)), body -> null);

    /** Which nodes there are. */
    public static final Kind LIST = new Kind("list", List.of(
            Field.of("nodes", FEWER, NOTHING),
            Field.of("draining", MORE, UNBOUND),
            Field.of("address.*", NEITHER, NOTHING),
            Field.of("cell.*", NEITHER, NOTHING),
            new Field("size.*", LOWER, NOTHING, 0, 1e6)),
            body -> lacks(body, "draining", "nodes"));

    /** Which sites may be left out of a query because their summary says that they hold nothing for it. */
    public static final Kind SUMMARIES = new Kind("summaries", List.of(
            Field.of("prunable", FEWER, NOTHING),
            Field.of("ask_again", MORE, UNBOUND),
            Field.of("summary.*", NEITHER, NOTHING), // a label: a site is asked while versions with two of them hold
            new Field("good_for.*", LOWER, UNBOUND, 0, DAY_MS)), // age of a promise
            body -> body.fields().get("prunable") instanceof Names p
                    && p.value().stream().anyMatch(s -> body.text("summary." + s) == null)
                            ? "a site is prunable without a summary" : null);

    /** Who owns which block, and what is being moved. */
    public static final Kind PLAN = new Kind("plan", List.of(
            Field.of("owners.*", FEWER, NOTHING),
            Field.of("frozen", MORE, UNBOUND), // blocks that nothing is moved of
            Field.of("moves", FEWER, NOTHING),
            new Field("copies.*", HIGHER, UNBOUND, 1, 100), // that must be there before one is taken away
            new Field("moves_at_once", LOWER, NOTHING, 0, 1_000),
            Field.of("paused", ON, UNBOUND),
            Field.of("stopped", ON, UNBOUND),
            new Field("mb.*", HIGHER, UNBOUND, 1, 1e9), // of a block
            Field.of("goal", NEITHER, NOTHING)), // the rules and the nodes that moves are planned for
            body -> body.fields().entrySet().stream().filter(e -> e.getKey().startsWith("owners.")
                    && ((Names) e.getValue()).value().isEmpty()).map(e -> e.getKey() + " is empty").findFirst()
                    .orElse(null));

    /** Which machines are taken out for work, and how far each is. */
    public static final Kind MAINTENANCE = new Kind("maintenance", List.of(
            Field.of("away", MORE, UNBOUND), // machines that get nothing new
            Field.of("order", NEITHER, NOTHING),
            Field.of("wish.*", NEITHER, NOTHING), // and where it stands
            Field.of("held", ON, UNBOUND)), body -> null);

    private static final Map<String, Kind> ALL = Stream.of(SETTINGS, LIST, SUMMARIES, PLAN, MAINTENANCE)
            .collect(Collectors.toUnmodifiableMap(Kind::name, Function.identity()));

    private Kinds() {}

    /** All kinds of this program, by name. */
    public static Map<String, Kind> all() {
        return ALL;
    }

    /** What a voter says of a document that was proposed: whether its own program can read it. */
    public static Entry.Verdict verdict(String member, Map<String, Kind> kinds, Document document) {
        String why = "";
        Kind kind = kinds.get(document.name());
        try {
            if (kind == null) {
                throw new UnreadableException("this program has no kind " + document.name());
            }
            kind.check(document);
        } catch (UnreadableException e) {
            why = e.getMessage();
        }
        return new Entry.Verdict(member, document.name(), document.number(), document.hash(), why);
    }

    private static String lacks(Body body, String part, String whole) {
        return body.fields().get(part) instanceof Names p && !(body.fields().get(whole) instanceof Names w
                && w.value().containsAll(p.value())) ? part + " holds what " + whole + " does not" : null;
    }
}
