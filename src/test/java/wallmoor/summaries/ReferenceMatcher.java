package wallmoor.summaries;

import java.math.BigDecimal;
import java.text.Normalizer;
import java.util.List;
import java.util.Locale;
import java.util.function.UnaryOperator;

/**
 * How a site may compare, written apart from what is tested: as they stand, without blanks around, without case, in a
 * Unicode form, or as numbers. A row matches where any of these says so.
 */
final class ReferenceMatcher {
    private static final List<UnaryOperator<String>> TEXTS = List.of(s -> s, String::strip, s -> s.stripTrailing(),
            s -> s.strip().toLowerCase(Locale.ROOT), s -> s.toUpperCase(Locale.ROOT), s -> s.toLowerCase(Locale.ROOT),
            s -> Normalizer.normalize(s, Normalizer.Form.NFC),
            s -> Normalizer.normalize(s.strip(), Normalizer.Form.NFKC).toLowerCase(Locale.ROOT));

    private ReferenceMatcher() {}

    /** By the properties' columns: one whose values are all numbers is compared by number, all else as texts. */
    static boolean matches(Row row, Conditions c, List<Row> all) {
        if (c.time() != null && row.time() != null && !row.time().overlaps(c.time())) {
            return false;
        }
        if (c.box() != null && row.place() != null && !within(row.place(), c.box().box())) {
            return false;
        }
        return c.properties().stream().allMatch(p -> p instanceof Condition.Equal e ? equal(row.values()
                .get(e.property()), e)
                : within(row.values().get(p.property()), (Condition.Range) p, all));
    }

    /** On the plane, with the wrap: as a site does that reads boxes as the standard says. */
    private static boolean within(Row.Coordinates p, Box b) {
        double w = b.west() / 1e5;
        double e = (b.west() + (double) b.width()) / 1e5;
        return p.lat() >= b.south() / 1e5 && p.lat() <= b.north() / 1e5
                && ((p.lon() >= w && p.lon() <= e) || (p.lon() + 360 >= w && p.lon() + 360 <= e));
    }

    static boolean equal(Object value, String asked) {
        if (value == null || value.toString().isBlank()) {
            return asked.isBlank();
        }
        BigDecimal a = number(value.toString());
        BigDecimal b = number(asked);
        return (a != null && b != null && (a.compareTo(b) == 0 || a.doubleValue() == b.doubleValue()))
                || value.toString().equalsIgnoreCase(asked)
                || TEXTS.stream().anyMatch(t -> t.apply(value.toString()).equals(t.apply(asked)));
    }

    private static boolean equal(Object value, Condition.Equal e) {
        return equal(value, e.key()) || (RandomInputs.raw(e) != null && equal(value, RandomInputs.raw(e)));
    }

    private static boolean within(Object value, Condition.Range r, List<Row> all) {
        boolean numbers = all.stream().map(x -> x.values().get(r.property())).allMatch(v -> v == null
                || v instanceof Number);
        if (numbers) {
            if (value == null) {
                return r.low() == null;
            }
            if (r.isNumeric()) {
                double d = Double.parseDouble(value.toString());
                return d >= r.lowest() && d <= r.highest();
            }
        }
        if (value == null) {
            return r.low() == null;
        }
        BigDecimal d = number(value.toString());
        if (r.isNumeric() && d != null && d.doubleValue() >= r.lowest() && d.doubleValue() <= r.highest()) {
            return true; // a site that casts
        }
        return TEXTS.stream().anyMatch(t -> (r.low() == null || t.apply(value.toString())
                .compareTo(t.apply(r.low())) >= 0)
                && (r.high() == null || t.apply(value.toString()).compareTo(t.apply(r.high())) <= 0));
    }

    private static BigDecimal number(String s) {
        try {
            return new BigDecimal(s.strip());
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
