package wallmoor.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import wallmoor.rules.FieldSchema.MissingFieldMeaning;
import wallmoor.rules.FieldValue.Amount;
import wallmoor.rules.FieldValue.Flag;
import wallmoor.rules.FieldValue.Names;
import wallmoor.rules.FieldValue.Text;

/**
 * Tests the field-by-field merge of versions in effect against an independent implementation, and the fields' merge
 * rules against the documented table.
 */
class RestrictiveMergeTest {
    /** Returns the more restrictive of two values; implemented independently of {@link RestrictiveMerge#meet}. */
    private static FieldValue moreRestrictive(RestrictiveMerge merge, FieldValue a, FieldValue b) {
        return switch (merge) {
            case LOWER -> ((Amount) a).value() <= ((Amount) b).value() ? a : b;
            case HIGHER -> ((Amount) a).value() >= ((Amount) b).value() ? a : b;
            case OFF -> new Flag(((Flag) a).value() && ((Flag) b).value());
            case ON -> new Flag(((Flag) a).value() || ((Flag) b).value());
            case FEWER -> {
                var both = new TreeSet<>(((Names) a).value());
                both.retainAll(((Names) b).value());
                yield new Names(both);
            }
            case MORE -> {
                var all = new TreeSet<>(((Names) a).value());
                all.addAll(((Names) b).value());
                yield new Names(all);
            }
            case NEITHER -> a.equals(b) ? a : null;
        };
    }

    private static FieldValue value(FieldSchema field, int draw) {
        Class<? extends FieldValue> type = field.merge().valueType;
        if (type == Amount.class) {
            return new Amount(Math.min(field.maximum(), field.minimum() + draw % 5 * 0.25));
        } else if (type == Flag.class) {
            return new Flag(draw % 2 == 0);
        } else if (type == Text.class) {
            return new Text("t" + draw % 3);
        }
        var names = new ArrayList<String>();
        for (int i = 0; i < 4; i++) {
            if ((draw >> i & 1) != 0) {
                names.add("n" + i);
            }
        }
        return Names.of(names);
    }

    /** Returns a body in which each field, and two fields of each pattern, is present or missing. */
    private static RuleBody body(DocumentSchema schema, List<Integer> draws) {
        var fields = new TreeMap<String, FieldValue>();
        int i = 0;
        for (FieldSchema field : schema.fields()) {
            for (String name : field.path().endsWith("*")
                    ? List.of(field.path().replace("*", "n1"), field.path().replace("*", "n2"))
                    : List.of(field.path())) {
                int draw = draws.get(i++ % draws.size());
                if (draw % 4 != 3) {
                    fields.put(name, value(field, draw / 4));
                }
            }
        }
        return new RuleBody(fields);
    }

    @Provide
    Arbitrary<List<Integer>> draws() {
        return Arbitraries.integers().between(0, 63).list().ofSize(17);
    }

    @Property(tries = 300, seed = "5")
    void mergesToMoreRestrictiveValueOfEachField(@ForAll("draws") List<Integer> drawsA,
            @ForAll("draws") List<Integer> drawsB) {
        for (DocumentSchema schema : DocumentSchemas.all().values()) {
            RuleBody a = body(schema, drawsA);
            RuleBody b = body(schema, drawsB);
            RuleBody merged = schema.meet(a, b);
            var names = new TreeSet<>(a.fields().keySet());
            names.addAll(b.fields().keySet());
            for (String name : names) {
                FieldSchema field = schema.field(name);
                FieldValue left = a.fields().get(name);
                FieldValue right = b.fields().get(name);
                boolean isMissing = left == null || right == null;
                FieldValue expected = !isMissing ? moreRestrictive(field.merge(), left, right)
                        : field.missing() == MissingFieldMeaning.NOTHING ? null : left == null ? right : left;
                assertEquals(expected, merged.fields().get(name), schema.name() + " " + name);
            }
        }
    }

    @Property(tries = 300, seed = "6")
    void mergeIsCommutativeIdempotentAndAssociative(@ForAll("draws") List<Integer> drawsA,
            @ForAll("draws") List<Integer> drawsB, @ForAll("draws") List<Integer> drawsC) {
        for (DocumentSchema schema : DocumentSchemas.all().values()) {
            RuleBody a = body(schema, drawsA);
            RuleBody b = body(schema, drawsB);
            RuleBody c = body(schema, drawsC);
            assertEquals(schema.meet(a, b), schema.meet(b, a));
            assertEquals(a, schema.meet(a, a));
            assertEquals(schema.meet(schema.meet(a, b), c), schema.meet(a, schema.meet(b, c)));
            assertTrue(schema.isAtMostAsPermissive(schema.meet(a, b), a)
                    && schema.isAtMostAsPermissive(schema.meet(a, b), b));
        }
    }

    /** Guards against an unnoticed change of a field's merge rule: the documentation has the same table. */
    @Example
    void tableOfFieldsMatchesDocumentation() throws Exception {
        var text = new StringBuilder();
        for (DocumentSchema schema : List.of(DocumentSchemas.SETTINGS, DocumentSchemas.LIST, DocumentSchemas.SUMMARIES,
                DocumentSchemas.PLAN, DocumentSchemas.MAINTENANCE)) {
            for (FieldSchema field : schema.fields()) {
                String row = "| `" + schema.name() + "` | `" + field.path() + "` | "
                        + field.merge().name().toLowerCase(Locale.ROOT)
                        + " | "
                        + field.missing().name().toLowerCase(Locale.ROOT) + " |";
                text.append(row).append('\n');
            }
        }
        String page = java.nio.file.Files.readString(java.nio.file.Path.of("docs/versions.md"));
        assertTrue(page.contains(text), "docs/versions.md lacks the table:\n" + text);
    }

    @Example
    void rejectsBodiesThatViolateTheirSchema() throws Exception {
        for (Map.Entry<DocumentSchema, String> invalid : List.<Map.Entry<DocumentSchema, String>>of(
                Map.entry(DocumentSchemas.SETTINGS, "{\"limits.open\": true}"),
                Map.entry(DocumentSchemas.SETTINGS, "{\"unknown\": 1}"),
                Map.entry(DocumentSchemas.SETTINGS, "{\"shares.cold\": 1.5}"),
                Map.entry(DocumentSchemas.SETTINGS, "[]"),
                Map.entry(DocumentSchemas.SETTINGS, "{\"limits.open\": null}"),
                Map.entry(DocumentSchemas.LIST, "{\"draining\": [\"a\"]}"),
                Map.entry(DocumentSchemas.SUMMARIES, "{\"prunable\": [\"a\"]}"),
                Map.entry(DocumentSchemas.PLAN, "{\"owners.1\": []}"),
                Map.entry(DocumentSchemas.LIST, "{\"nodes\": [1]}"))) {
            assertThrows(InvalidRuleException.class, () -> invalid.getKey().parse(invalid.getValue()),
                    invalid.getValue());
        }
        RuleBody plan = DocumentSchemas.PLAN
                .parse("{\"owners.7\": [\"a\", \"b\"], \"paused\": false, \"copies.7\": 2}");
        assertTrue(plan.containsName("owners.7", "b") && !plan.flag("paused", true) && plan.amount("copies.7", 0) == 2);
        var permissiveFallback = RuleDocument.of(
                new RuleProposal("settings", 0, "", "me", "{\"limits.open\": 5}", "{\"limits.open\": 6}"),
                1);
        assertThrows(InvalidRuleException.class, () -> DocumentSchemas.SETTINGS.validate(permissiveFallback),
                "a fallback must not permit more than the body");
    }
}
