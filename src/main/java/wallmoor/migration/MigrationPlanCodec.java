package wallmoor.migration;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import wallmoor.json.Json;
import wallmoor.rules.FieldValue;
import wallmoor.rules.RuleBody;

/**
 * The stored form of a {@link MigrationPlan}: body and fallback of the document {@code plan}, whose fields {@code
 * rules.DocumentSchemas.PLAN} validates.
 */
final class MigrationPlanCodec {
    private static final String OWNERS = "owners.";
    private static final String SIZE_MB = "mb.";
    private static final String MIN_COPIES = "copies.";
    private static final String MIGRATIONS = "moves";
    private static final String FROZEN_BLOCKS = "frozen";
    private static final String MAX_CONCURRENT = "moves_at_once";
    private static final String PAUSED = "paused";
    private static final String STOPPED = "stopped";
    private static final String TARGET = "goal";

    private MigrationPlanCodec() {}

    static String body(MigrationPlan plan) {
        return encode(plan, plan.migrations().values(), plan.paused());
    }

    static String fallback(MigrationPlan plan) {
        return encode(plan, List.of(), true);
    }

    /**
     * Returns an upper bound of the length of body and fallback together, in characters. It assumes that each migration
     * is fenced, is at the stage with the longest name, and has both its source and its target as owners.
     */
    static int maxEncodedLength(MigrationPlan plan) {
        int growth = (plan.paused() ? 1 : 0) + (plan.stopped() ? 2 : 0); // "false" is longer than "true"
        for (Migration m : plan.migrations().values()) {
            growth += m.maxEncodedLength() - m.encode().length();
            if (!plan.owners().getOrDefault(m.block(), Collections.emptySortedSet()).contains(m.to())) {
                var owner = new StringBuilder(",");
                Json.quote(owner, m.to());
                growth += 2 * owner.length();
            }
        }
        return body(plan).length() + fallback(plan).length() + growth;
    }

    private static String encode(MigrationPlan plan, Collection<Migration> migrations, boolean paused) {
        var json = new StringBuilder("{");
        plan.owners().forEach((block, nodes) -> appendNames(appendField(json, OWNERS + block), nodes));
        plan.sizesMb().forEach((block, sizeMb) -> appendField(json, SIZE_MB + block).append(sizeMb));
        plan.minCopies().forEach((block, copies) -> appendField(json, MIN_COPIES + block).append(copies));
        appendNames(appendField(json, MIGRATIONS), migrations.stream().map(Migration::encode).toList());
        appendNames(appendField(json, FROZEN_BLOCKS), plan.frozenBlocks());
        appendField(json, MAX_CONCURRENT).append(plan.maxConcurrent());
        appendField(json, PAUSED).append(paused);
        appendField(json, STOPPED).append(plan.stopped());
        if (plan.target() != null) {
            Json.quote(appendField(json, TARGET), plan.target().encode());
        }
        return json.append('}').toString();
    }

    private static StringBuilder appendField(StringBuilder json, String name) {
        Json.quote(json.append(json.length() == 1 ? "" : ","), name);
        return json.append(':');
    }

    private static void appendNames(StringBuilder json, Collection<String> names) {
        json.append('[');
        names.forEach(name -> Json.quote(json.append(json.charAt(json.length() - 1) == '[' ? "" : ","), name));
        json.append(']');
    }

    static MigrationPlan decode(RuleBody body) throws UnreadablePlanException {
        var owners = new TreeMap<String, SortedSet<String>>();
        var sizesMb = new TreeMap<String, Long>();
        var minCopies = new TreeMap<String, Integer>();
        for (Map.Entry<String, FieldValue> entry : body.fields().entrySet()) {
            String field = entry.getKey();
            if (field.startsWith(OWNERS)) {
                owners.put(field.substring(OWNERS.length()), ((FieldValue.Names) entry.getValue()).value());
            } else if (field.startsWith(SIZE_MB)) {
                sizesMb.put(field.substring(SIZE_MB.length()), (long) ((FieldValue.Amount) entry.getValue()).value());
            } else if (field.startsWith(MIN_COPIES)) {
                minCopies.put(field.substring(MIN_COPIES.length()),
                        (int) ((FieldValue.Amount) entry.getValue()).value());
            }
        }
        var migrations = new TreeMap<String, Migration>();
        for (String text : names(body, MIGRATIONS)) {
            Migration migration = Migration.decode(text);
            migrations.put(migration.block(), migration);
        }
        String target = body.text(TARGET);
        return new MigrationPlan(owners, sizesMb, minCopies, migrations, names(body, FROZEN_BLOCKS),
                (int) body.amount(MAX_CONCURRENT, 0), body.flag(PAUSED, false), body.flag(STOPPED, false),
                target == null ? null : PlacementTarget.decode(target));
    }

    private static SortedSet<String> names(RuleBody body, String field) {
        return body.fields().get(field) instanceof FieldValue.Names names ? names.value()
                : Collections.emptySortedSet();
    }
}
