package wallmoor.versions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import wallmoor.versions.Value.Amount;
import wallmoor.versions.Value.Flag;
import wallmoor.versions.Value.Names;
import wallmoor.versions.Value.Text;

/**
 * The table of careful fields held against the code: what a gatherer goes by while a version is known and not acting.
 */
class CarefulTest {
    /** Of each direction the careful one of two values, and what is not asked of the code but said here once more. */
    private static Value careful(Careful way, Value bold, Value other) {
        return switch (way) {
            case LOWER -> ((Amount) bold).value() <= ((Amount) other).value() ? bold : other;
            case HIGHER -> ((Amount) bold).value() >= ((Amount) other).value() ? bold : other;
            case OFF -> new Flag(((Flag) bold).value() && ((Flag) other).value());
            case ON -> new Flag(((Flag) bold).value() || ((Flag) other).value());
            case FEWER -> new Names(((Names) bold).value().stream().filter(((Names) other).value()::contains)
                    .collect(java.util.stream.Collectors.toCollection(TreeSet::new)));
            case MORE -> {
                var all = new TreeSet<>(((Names) bold).value());
                all.addAll(((Names) other).value());
                yield new Names(all);
            }
            case NEITHER -> bold.equals(other) ? bold : null;
        };
    }

    private static Value value(Field f, int x) {
        Class<? extends Value> type = f.careful().type;
        if (type == Amount.class) {
            return new Amount(Math.min(f.most(), f.least() + x % 5 * 0.25));
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
    private static Body body(Kind kind, List<Integer> xs) {
        var fields = new TreeMap<String, Value>();
        int i = 0;
        for (Field f : kind.fields()) {
            for (String name : f.path().endsWith("*")
                    ? List.of(f.path().replace("*", "n1"), f.path().replace("*", "n2"))
                    : List.of(f.path())) {
                int x = xs.get(i++ % xs.size());
                if (x % 4 != 3) {
                    fields.put(name, value(f, x / 4));
                }
            }
        }
        return new Body(fields);
    }

    @Provide
    Arbitrary<List<Integer>> draws() {
        return Arbitraries.integers().between(0, 63).list().ofSize(17);
    }

    @Property(tries = 300, seed = "5")
    void whatIsKnownAndNotActingMeetsFieldByField(@ForAll("draws") List<Integer> x, @ForAll("draws") List<Integer> y) {
        for (Kind kind : Kinds.all().values()) {
            Body a = body(kind, x);
            Body b = body(kind, y);
            Body met = kind.meet(a, b);
            var names = new TreeSet<>(a.fields().keySet());
            names.addAll(b.fields().keySet());
            for (String n : names) {
                Field f = kind.field(n);
                Value u = a.fields().get(n);
                Value v = b.fields().get(n);
                boolean lacks = u == null || v == null;
                Value expected = !lacks ? careful(f.careful(), u, v)
                        : f.missing() == Field.Missing.NOTHING ? null : u == null ? v : u;
                assertEquals(expected, met.fields().get(n), kind.name() + " " + n);
            }
        }
    }

    @Property(tries = 300, seed = "6")
    void theOrderInWhichVersionsAreMetIsNothing(@ForAll("draws") List<Integer> x, @ForAll("draws") List<Integer> y,
            @ForAll("draws") List<Integer> z) {
        for (Kind kind : Kinds.all().values()) {
            Body a = body(kind, x);
            Body b = body(kind, y);
            Body c = body(kind, z);
            assertEquals(kind.meet(a, b), kind.meet(b, a));
            assertEquals(a, kind.meet(a, a));
            assertEquals(kind.meet(kind.meet(a, b), c), kind.meet(a, kind.meet(b, c)));
            assertTrue(kind.within(kind.meet(a, b), a) && kind.within(kind.meet(a, b), b));
        }
    }

    /** The tables themselves, so that a direction is not turned unseen. The page shows the same. */
    @Example
    void theTablesAreThoseOfThePage() throws Exception {
        var text = new StringBuilder();
        for (Kind kind : List.of(Kinds.SETTINGS, Kinds.LIST, Kinds.SUMMARIES, Kinds.PLAN, Kinds.MAINTENANCE)) {
            for (Field f : kind.fields()) {
                String row = "| `" + kind.name() + "` | `" + f.path() + "` | " + f.careful().name().toLowerCase()
                        + " | "
                        + f.missing().name().toLowerCase() + " |";
                text.append(row).append('\n');
            }
        }
        String page = java.nio.file.Files.readString(java.nio.file.Path.of("docs/versions.md"));
        assertTrue(page.contains(text), "docs/versions.md lacks the table:\n" + text);
    }

    @Example
    void bodiesAreCheckedByTheirKind() throws Exception {
        for (Map.Entry<Kind, String> bad : List.<Map.Entry<Kind, String>>of(
                Map.entry(Kinds.SETTINGS, "{\"limits.open\": true}"), Map.entry(Kinds.SETTINGS, "{\"unknown\": 1}"),
                Map.entry(Kinds.SETTINGS, "{\"shares.cold\": 1.5}"), Map.entry(Kinds.SETTINGS, "[]"),
                Map.entry(Kinds.SETTINGS, "{\"limits.open\": null}"), Map.entry(Kinds.LIST, "{\"draining\": [\"a\"]}"),
                Map.entry(Kinds.SUMMARIES, "{\"prunable\": [\"a\"]}"), Map.entry(Kinds.PLAN, "{\"owners.1\": []}"),
                Map.entry(Kinds.LIST, "{\"nodes\": [1]}"))) {
            assertThrows(UnreadableException.class, () -> bad.getKey().read(bad.getValue()), bad.getValue());
        }
        Body plan = Kinds.PLAN.read("{\"owners.7\": [\"a\", \"b\"], \"paused\": false, \"copies.7\": 2}");
        assertTrue(plan.has("owners.7", "b") && !plan.flag("paused", true) && plan.amount("copies.7", 0) == 2);
        var bold = Document.of(new Proposal("settings", 0, "", "me", "{\"limits.open\": 5}", "{\"limits.open\": 6}"),
                1);
        assertThrows(UnreadableException.class, () -> Kinds.SETTINGS.check(bold), "a fallback is no bolder");
    }
}
