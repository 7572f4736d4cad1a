package wallmoor.summaries;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.random.RandomGenerator;

/** Random rows and conditions over few values in many forms, so that they often match or nearly match. */
final class RandomInputs {
    private static final IdentityHashMap<Condition, String> ORIGINAL_TEXTS = new IdentityHashMap<>();
    private static final String[] TEXTS = {"1", "1.0", " 1", "01", "1e0", "+1", "١", "１", "10", "15", "9", "100",
        "-0", "0",
        "nan", "NaN", "Infinity", "1e999", "", " ", "\u00a0", "a", "A", "a ", "b", "B", "ab", "a b", "a  b", "é",
        "e\u0301",
        "E", "ß", "SS", "ss", "ﬁ", "fi", "İ", "i", "ı", "I", "σ", "ς", "Σ", "true", "TRUE", "x_y", "XZ", "[", "~",
        "Karachi",
        "lahore", "karachi ", "\ud800", "?", "zero\u200bwidth", "zerowidth", "2026-01-05", "2026-02-01", "long-"
                + "x".repeat(80)};
    private static final String[] PROPERTIES = {"city", "price", "class", "id", "note", "seats"};

    private RandomInputs() {}

    /** Returns the text from which the condition was made, for comparisons that do not fold. */
    static String originalText(Condition c) {
        return ORIGINAL_TEXTS.get(c);
    }

    static Row row(RandomGenerator random, boolean hasMixedValues) {
        var values = new java.util.HashMap<String, Object>();
        for (String name : PROPERTIES) {
            int kind = random.nextInt(hasMixedValues ? 10 : 8);
            Object value = switch (name) {
                case "price", "seats" -> kind == 9 ? text(random) : kind == 0 ? null : number(random);
                case "id" -> "k" + random.nextInt(500);
                default -> kind == 9 ? number(random) : kind == 8 ? true : kind == 0 ? null : text(random);
            };
            if (value != null || random.nextBoolean()) {
                values.put(name, value);
            }
        }
        return new Row(values, random.nextInt(40) == 0 && hasMixedValues ? null : location(random),
                random.nextInt(40) == 0 && hasMixedValues ? null : time(random));
    }

    private static String text(RandomGenerator random) {
        return TEXTS[random.nextInt(TEXTS.length)];
    }

    private static Number number(RandomGenerator random) {
        return switch (random.nextInt(8)) {
            case 0 -> 1.0f * random.nextInt(40);
            case 1 -> 0.1 * random.nextInt(400);
            case 2 -> new java.math.BigDecimal("1.50");
            case 3 -> random.nextInt(6) == 0 ? Double.NaN : -0.0;
            default -> (long) random.nextInt(120) - 20;
        };
    }

    private static Row.Coordinates location(RandomGenerator random) {
        double lon = switch (random.nextInt(6)) {
            case 0 -> 180 - random.nextDouble() * 3;
            case 1 -> -180 + random.nextDouble() * 3;
            case 2 -> random.nextBoolean() ? 180 : -180;
            default -> 60 + random.nextDouble() * 20;
        };
        return Row.Coordinates.of(lon, random.nextInt(20) == 0 ? 90 : random.nextDouble() * 40);
    }

    private static TimeSpan time(RandomGenerator random) {
        long at = 1_000_000L * random.nextInt(1_000_000);
        return new TimeSpan(at, at + random.nextInt(3) * 1_000_000L);
    }

    static Conditions conditions(RandomGenerator random) {
        var all = new ArrayList<Condition>();
        for (int i = random.nextInt(3); i > 0; i--) {
            String name = PROPERTIES[random.nextInt(PROPERTIES.length)];
            String a = random.nextInt(3) == 0 ? "" + random.nextInt(60) : name.equals("id") ? "k"
                    + random.nextInt(700) : text(random);
            String b = random.nextInt(3) == 0 ? "" + random.nextInt(60) : text(random);
            try {
                boolean range = random.nextInt(3) == 0;
                Condition c = range ? Condition.range(name, random.nextInt(4) == 0 || a.isEmpty() ? null : a,
                        b.isEmpty() ? null : b)
                        : Condition.equal(name, a);
                if (!range) {
                    synchronized (ORIGINAL_TEXTS) {
                        ORIGINAL_TEXTS.put(c, a);
                    }
                }
                all.add(c);
            } catch (IllegalArgumentException e) {
                assert e.getMessage().contains("range");
            }
        }
        double w = random.nextInt(3) == 0 ? 170 + random.nextDouble() * 10 : 55 + random.nextDouble() * 25;
        double e = random.nextInt(3) == 0 ? -180 + random.nextDouble() * 10 : w + random.nextDouble() * 5;
        double s = random.nextDouble() * 38;
        Conditions.QueryBox box = random.nextInt(3) == 0
                ? Conditions.box(w + "," + s + "," + Math.min(180, e) + "," + (s + random.nextDouble() * 5)) : null;
        return new Conditions(box, random.nextInt(3) == 0 ? time(random) : null, List.copyOf(all));
    }
}
