package wallmoor.summaries;

import java.util.Arrays;
import java.util.TreeSet;

/**
 * What a summary tells of one property. Not changed any more once its summary is told.
 *
 * <p>A range is excluded only where every order that a site may have excludes it; where values of several kinds are
 * mixed, or can't be put in order, none is (the table in docs/summaries.md).
 */
final class PropertySummary {
    /** A least or largest text is kept to so many signs: rounded down, and up. */
    private static final int EXTENT = 24;
    /** Above all plain texts that begin with what stands before it. */
    private static final char ABOVE = '\u007f';

    boolean missing;
    /** It has values that some order puts elsewhere: not-a-number, truth values, texts that are not plain. */
    boolean odd;
    boolean numbers;
    boolean texts;
    /** Of all that reads as a number, texts too; least above most: there are none. */
    double least = Double.POSITIVE_INFINITY;
    double most = Double.NEGATIVE_INFINITY;
    /** Of texts, with case and without; null where there are none. */
    String first;
    String last;
    String firstFolded;
    String lastFolded;
    /** The keys, or null where they are too many or too long. */
    TreeSet<String> values = new TreeSet<>();
    /** The keys' hashes, where the keys are not kept. */
    KeyBloomFilter filter;
    /** The keys as numbers, where all are. */
    private double[] sorted;

    PropertySummary copy() {
        var p = new PropertySummary();
        p.missing = missing;
        p.odd = odd;
        p.numbers = numbers;
        p.texts = texts;
        p.least = least;
        p.most = most;
        p.first = first;
        p.last = last;
        p.firstFolded = firstFolded;
        p.lastFolded = lastFolded;
        p.values = values == null ? null : new TreeSet<>(values);
        p.filter = filter == null ? null : filter.copy();
        return p;
    }

    void add(Object value, SummaryLimits s) {
        String key = KeyNormalizer.key(value);
        if (key.isEmpty()) {
            missing = true;
            // a blank that is not ASCII: a site that does not take it for one puts it above all plain texts
            odd |= value != null && value.toString().chars().anyMatch(c -> c > '~');
            return;
        }
        key(key, s);
        if (value instanceof Number n) {
            numbers = true;
            number(KeyNormalizer.number(n));
            odd |= Double.isNaN(KeyNormalizer.number(n));
        } else if (value instanceof String text) {
            texts = true;
            double d = KeyNormalizer.number(KeyNormalizer.fold(text));
            if (!Double.isNaN(d)) {
                number(d);
            }
            text(text);
        } else {
            odd = true;
        }
    }

    private void number(double d) {
        if (!Double.isNaN(d)) {
            least = Math.min(least, d);
            most = Math.max(most, d);
        }
    }

    private void text(String text) {
        if (!KeyNormalizer.plain(text)) {
            odd = true;
            return;
        }
        extent(text, text, KeyNormalizer.fold(text), KeyNormalizer.fold(text));
    }

    private void extent(String low, String high, String lowFolded, String highFolded) {
        first = lesser(first, low);
        last = larger(last, high);
        firstFolded = lesser(firstFolded, lowFolded);
        lastFolded = larger(lastFolded, highFolded);
    }

    private static String lesser(String a, String b) {
        String cut = b.length() > EXTENT ? b.substring(0, EXTENT) : b;
        return a == null || cut.compareTo(a) < 0 ? cut : a;
    }

    private static String larger(String a, String b) {
        String cut = b.length() > EXTENT + 1 ? b.substring(0, EXTENT) + ABOVE : b;
        return a == null || cut.compareTo(a) > 0 ? cut : a;
    }

    private void key(String key, SummaryLimits s) {
        if (values != null) {
            if (values.contains(key)) {
                return;
            }
            if (values.size() < s.values() && key.length() <= s.longest() && Encoding.utf8(key) <= s.longest()) {
                values.add(key);
                return;
            }
            filtered(s.filterBits());
        }
        filter.add(KeyNormalizer.hash(key));
    }

    /** Keeps the keys as a filter of so many bits from now on. */
    void filtered(int bits) {
        filter = KeyBloomFilter.ofBits(bits);
        for (String v : values) {
            filter.add(KeyNormalizer.hash(v));
        }
        values = null;
    }

    /** Takes over all that another one tells. */
    void absorb(PropertySummary other, SummaryLimits s) {
        missing |= other.missing;
        odd |= other.odd;
        numbers |= other.numbers;
        texts |= other.texts;
        least = Math.min(least, other.least);
        most = Math.max(most, other.most);
        if (other.first != null) {
            extent(other.first, other.last, other.firstFolded, other.lastFolded);
        }
        if (other.values != null) {
            other.values.forEach(v -> key(v, s));
            return;
        }
        if (values != null) {
            filtered(other.filter.bits());
        }
        filter = filter.with(other.filter);
    }

    /** Whether it admits already all that another one does. */
    boolean covers(PropertySummary o) {
        return (missing || !o.missing) && (odd || !o.odd) && (numbers || !o.numbers) && (texts || !o.texts)
                && least <= o.least && most >= o.most && coversTexts(o) && coversValues(o);
    }

    private boolean coversTexts(PropertySummary o) {
        if (o.first == null) {
            return true;
        }
        return first != null && first.compareTo(o.first) <= 0 && last.compareTo(o.last) >= 0
                && firstFolded.compareTo(o.firstFolded) <= 0 && lastFolded.compareTo(o.lastFolded) >= 0;
    }

    /** Of another's filter it can't be told which values it admits. */
    private boolean coversValues(PropertySummary o) {
        return o.values != null && o.values.stream()
                .allMatch(v -> values != null ? values.contains(v) : filter.may(KeyNormalizer.hash(v)));
    }

    /** Why no row can match, or null where one could. */
    String excludes(Condition condition) {
        return condition instanceof Condition.Equal e ? excludes(e) : excludes((Condition.Range) condition);
    }

    private String excludes(Condition.Equal e) {
        if (e.key().isEmpty()) {
            return missing ? null : "every row has a value of " + e.property();
        }
        if (values != null) {
            return values.contains(e.key()) ? null : e.property() + " is none of its " + values.size() + " values";
        }
        return filter.may(e.hash()) ? null : e.property() + " is not in its filter";
    }

    private String excludes(Condition.Range r) {
        if (odd || (numbers && texts) || (missing && r.low() == null)) {
            return null;
        }
        if (numbers) {
            return r.numeric() ? outside(r) : null;
        }
        if (!texts) {
            return "no row has a value of " + r.property();
        }
        if (r.numeric() && least <= most && outside(r) == null) {
            return null; // a site may read its texts as numbers
        }
        return apart(r.low(), r.high(), first, last)
                && apart(folded(r.low()), folded(r.high()), firstFolded, lastFolded)
                        ? r.property() + " is from " + first + " to " + last.replace(String.valueOf(ABOVE), "...")
                        : null;
    }

    private String outside(Condition.Range r) {
        if (most < r.lowest() || least > r.highest()) {
            return r.property() + " is from " + shown(least) + " to " + shown(most);
        }
        if (sorted == null) {
            return null;
        }
        int at = Arrays.binarySearch(sorted, r.lowest());
        at = at < 0 ? -at - 1 : at;
        return at < sorted.length && sorted[at] <= r.highest() ? null
                : r.property() + " is none of its " + values.size() + " values";
    }

    /** Before its summary is told: lays its numbers out for ranges. */
    void settle() {
        sorted = numbers && !texts && !odd && values != null
                ? values.stream().mapToDouble(Double::parseDouble).sorted().toArray() : null;
    }

    /** What it holds, for people. */
    String shown() {
        return (values == null ? "filter of " + filter.bits() + " bits, " + Math.round(100 * filter.full()) + " % full"
                : values.size() + " values")
                + (least <= most ? ", numbers from " + shown(least) + " to "
                        + shown(most) : "")
                + (first == null ? "" : ", texts from " + first + " to " + last.replace(String.valueOf(ABOVE), "..."))
                + (missing ? ", missing in some rows" : "") + (numbers && texts ? ", numbers and texts mixed" : "")
                + (odd ? ", with values that can't be put in order" : "");
    }

    private static String shown(double d) {
        return d == Math.rint(d) && Math.abs(d) < 1e15 ? String.valueOf((long) d) : String.valueOf(d);
    }

    private static String folded(String end) {
        return end == null ? null : KeyNormalizer.fold(end);
    }

    private static boolean apart(String low, String high, String first, String last) {
        if ((low != null && !KeyNormalizer.plain(low)) || (high != null && !KeyNormalizer.plain(high))) {
            return false;
        }
        return (low != null && low.compareTo(last) > 0) || (high != null && high.compareTo(first) < 0);
    }
}
