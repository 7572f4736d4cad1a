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
import wallmoor.rules.FieldValue.Amount;
import wallmoor.rules.FieldValue.Flag;
import wallmoor.rules.FieldValue.Names;
import wallmoor.rules.FieldValue.Text;

/**
 * The table of careful fields held against the code: what a gatherer goes by while a version is known and not acting.
 */
class RestrictiveMergeTest {
    /** Of each direction the careful one of two values, and what is not asked of the code but said here once more. */
    private static FieldValue careful(RestrictiveMerge way, FieldValue bold, FieldValue other) {
        return switch (way) {
            case LOWER -> ((Amount) bold).value() <= ((Amount) other).value() ? bold : other;
            case HIGHER -> ((Amount) bold).value() >= ((Amount) other).value() ? bold : other;
            case OFF -> new Flag(((Flag) bold).value() && ((Flag) other).value());
            case ON -> new Flag(((Flag) bold).value() || ((Flag) other).value());
            case FEWER -> {
                var both = new TreeSet<>(((Names) bold).value());
                both.retainAll(((Names) other).value());
                yield new Names(both);
            }
            case MORE -> {
                var all = new TreeSet<>(((Names) bold).value());
                all.addAll(((Names) other).value());
                yield new Names(all);
            }
            case NEITHER -> bold.equals(other) ? bold : null;
        };
    }

    private static FieldValue value(FieldSchema f, int x) {
        Class<? extends FieldValue> type = f.merge().valueType;
        if (type == Amount.class) {
            return new Amount(Math.min(f.maximum(), f.minimum() + x % 5 * 0.25));
        } else if (type == Flag.class) {
            return new Flag(x % 2 == 0);
        } else if (type == Text.class) {
            return new Text("t" + x % 3);
        }
        var names = new ArrayList<String>();
        for (int i = 0; i < 4; i++) {
            if ((x >> i & 1) != 0) {
                names.add("n" + i);
            }
        }
        return Names.of(names);
    }

    /** A body of a kind: each field, and two of each that stands for many, is there or not. */
    private static RuleBody body(DocumentSchema kind, List<Integer> xs) {
        var fields = new TreeMap<String, FieldValue>();
        int i = 0;
        for (FieldSchema f : kind.fields()) {
            for (String name : f.path().endsWith("*")
                    ? List.of(f.path().replace("*", "n1"), f.path().replace("*", "n2"))
                    : List.of(f.path())) {
                int x = xs.get(i++ % xs.size());
                if (x % 4 != 3) {
                    fields.put(name, value(f, x / 4));
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
    void whatIsKnownAndNotActingMeetsFieldByField(@ForAll("draws") List<Integer> x, @ForAll("draws") List<Integer> y) {
        for (DocumentSchema kind : DocumentSchemas.all().values()) {
            RuleBody a = body(kind, x);
            RuleBody b = body(kind, y);
            RuleBody met = kind.meet(a, b);
            var names = new TreeSet<>(a.fields().keySet());
            names.addAll(b.fields().keySet());
            for (String n : names) {
                FieldSchema f = kind.field(n);
                FieldValue u = a.fields().get(n);
                FieldValue v = b.fields().get(n);
                boolean lacks = u == null || v == null;
                FieldValue expected = !lacks ? careful(f.merge(), u, v)
                        : f.missing() == FieldSchema.MissingFieldMeaning.NOTHING ? null : u == null ? v : u;
                assertEquals(expected, met.fields().get(n), kind.name() + " " + n);
            }
        }
    }

    @Property(tries = 300, seed = "6")
    void theOrderInWhichVersionsAreMetIsNothing(@ForAll("draws") List<Integer> x, @ForAll("draws") List<Integer> y,
            @ForAll("draws") List<Integer> z) {
        for (DocumentSchema kind : DocumentSchemas.all().values()) {
            RuleBody a = body(kind, x);
            RuleBody b = body(kind, y);
            RuleBody c = body(kind, z);
            assertEquals(kind.meet(a, b), kind.meet(b, a));
            assertEquals(a, kind.meet(a, a));
            assertEquals(kind.meet(kind.meet(a, b), c), kind.meet(a, kind.meet(b, c)));
            assertTrue(kind.isAtMostAsPermissive(kind.meet(a, b), a) && kind.isAtMostAsPermissive(kind.meet(a, b), b));
        }
    }

    /** The tables themselves, so that a direction is not turned unseen. The page shows the same. */
    @Example
    void theTablesAreThoseOfThePage() throws Exception {
        var text = new StringBuilder();
        for (DocumentSchema kind : List.of(DocumentSchemas.SETTINGS, DocumentSchemas.LIST, DocumentSchemas.SUMMARIES,
                DocumentSchemas.PLAN, DocumentSchemas.MAINTENANCE)) {
            for (FieldSchema f : kind.fields()) {
                String row = "| `" + kind.name() + "` | `" + f.path() + "` | "
                        + f.merge().name().toLowerCase(Locale.ROOT)
                        + " | "
                        + f.missing().name().toLowerCase(Locale.ROOT) + " |";
                text.append(row).append('\n');
            }
        }
        String page = java.nio.file.Files.readString(java.nio.file.Path.of("docs/versions.md"));
        assertTrue(page.contains(text), "docs/versions.md lacks the table:\n" + text);
    }

    @Example
    void bodiesAreCheckedByTheirKind() throws Exception {
        for (Map.Entry<DocumentSchema, String> bad : List.<Map.Entry<DocumentSchema, String>>of(
                Map.entry(DocumentSchemas.SETTINGS, "{\"limits.open\": true}"),
                Map.entry(DocumentSchemas.SETTINGS, "{\"unknown\": 1}"),
                Map.entry(DocumentSchemas.SETTINGS, "{\"shares.cold\": 1.5}"),
                Map.entry(DocumentSchemas.SETTINGS, "[]"),
                Map.entry(DocumentSchemas.SETTINGS, "{\"limits.open\": null}"),
                Map.entry(DocumentSchemas.LIST, "{\"draining\": [\"a\"]}"),
                Map.entry(DocumentSchemas.SUMMARIES, "{\"prunable\": [\"a\"]}"),
                Map.entry(DocumentSchemas.PLAN, "{\"owners.1\": []}"),
                Map.entry(DocumentSchemas.LIST, "{\"nodes\": [1]}"))) {
            assertThrows(InvalidRuleException.class, () -> bad.getKey().parse(bad.getValue()), bad.getValue());
        }
        RuleBody plan = DocumentSchemas.PLAN
                .parse("{\"owners.7\": [\"a\", \"b\"], \"paused\": false, \"copies.7\": 2}");
        assertTrue(plan.containsName("owners.7", "b") && !plan.flag("paused", true) && plan.amount("copies.7", 0) == 2);
        var bold = RuleDocument.of(
                new RuleProposal("settings", 0, "", "me", "{\"limits.open\": 5}", "{\"limits.open\": 6}"),
                1);
        assertThrows(InvalidRuleException.class, () -> DocumentSchemas.SETTINGS.validate(bold),
                "a fallback is no bolder");
    }
}
