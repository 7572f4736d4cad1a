package wallmoor.summaries;

import java.math.BigDecimal;
import java.text.Normalizer;
import java.util.List;
import java.util.Locale;
import java.util.function.UnaryOperator;

/**
 * A reference for the comparisons that a site may use, independent of the code under test: texts as they are, without
 * surrounding blanks, without case, in a Unicode form, or as numbers. A row matches if any comparison says so.
 */
final class ReferenceMatcher {
    private static final List<UnaryOperator<String>> TEXT_FORMS = List.of(s -> s, String::strip, s -> s.stripTrailing(),
            s -> s.strip().toLowerCase(Locale.ROOT), s -> s.toUpperCase(Locale.ROOT), s -> s.toLowerCase(Locale.ROOT),
            s -> Normalizer.normalize(s, Normalizer.Form.NFC),
            s -> Normalizer.normalize(s.strip(), Normalizer.Form.NFKC).toLowerCase(Locale.ROOT));

    private ReferenceMatcher() {}

    /** Returns whether a row matches. A property with only numbers is compared by number, any other as texts. */
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

    /** Returns whether a location lies in a box, with the wrap at the antimeridian as the standard defines it. */
    private static boolean within(Row.Coordinates p, Box b) {
        double w = b.west() / 1e5;
        double e = (b.west() + (double) b.width()) / 1e5;
        return p.lat() >= b.south() / 1e5 && p.lat() <= b.north() / 1e5
                && ((p.lon() >= w && p.lon() <= e) || (p.lon() + 360 >= w && p.lon() + 360 <= e));
    }

    static boolean equal(Object value, String conditionText) {
        if (value == null || value.toString().isBlank()) {
            return conditionText.isBlank();
        }
        BigDecimal a = number(value.toString());
        BigDecimal b = number(conditionText);
        return (a != null && b != null && (a.compareTo(b) == 0 || a.doubleValue() == b.doubleValue()))
                || value.toString().equalsIgnoreCase(conditionText)
                || TEXT_FORMS.stream().anyMatch(t -> t.apply(value.toString()).equals(t.apply(conditionText)));
    }

    private static boolean equal(Object value, Condition.Equal e) {
        return equal(value, e.key())
                || (RandomInputs.originalText(e) != null && equal(value, RandomInputs.originalText(e)));
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
            return true; // for a site that casts texts to numbers
        }
        return TEXT_FORMS.stream().anyMatch(t -> (r.low() == null || t.apply(value.toString())
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
