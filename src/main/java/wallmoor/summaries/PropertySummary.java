package wallmoor.summaries;

import java.util.Arrays;
import java.util.TreeSet;

/**
 * The summary of one property: its values or a filter of them, and its extents. Not changed once its summary is built.
 *
 * <p>A range is excluded only where every order that a site may have excludes it; where values of several kinds are
 * mixed, or can't be put in order, none is (the table in docs/summaries.md).
 */
final class PropertySummary {
    /** Characters of a smallest or largest text that are kept: rounded down, and up. */
    private static final int MAX_EXTENT_LENGTH = 24;
    /** Above all plain texts that begin with what stands before it. */
    private static final char ABOVE = '\u007f';

    boolean missing;
    /** It has values that some order puts elsewhere: not-a-number, truth values, texts that are not plain. */
    boolean unordered;
    boolean numbers;
    boolean texts;
    /** Of all that reads as a number, texts too; least above most: there are none. */
    double smallestNumber = Double.POSITIVE_INFINITY;
    double largestNumber = Double.NEGATIVE_INFINITY;
    /** Of texts, with case and without; null where there are none. */
    String firstText;
    String lastText;
    String firstFoldedText;
    String lastFoldedText;
    /** The keys, or null where they are too many or too long. */
    TreeSet<String> values = new TreeSet<>();
    /** The keys' hashes, where the keys are not kept. */
    KeyBloomFilter filter;
    /** The keys as numbers, where all are. */
    private double[] sorted;

    PropertySummary copy() {
        var p = new PropertySummary();
        p.missing = missing;
        p.unordered = unordered;
        p.numbers = numbers;
        p.texts = texts;
        p.smallestNumber = smallestNumber;
        p.largestNumber = largestNumber;
        p.firstText = firstText;
        p.lastText = lastText;
        p.firstFoldedText = firstFoldedText;
        p.lastFoldedText = lastFoldedText;
        p.values = values == null ? null : new TreeSet<>(values);
        p.filter = filter == null ? null : filter.copy();
        return p;
    }

    void add(Object value, SummaryLimits s) {
        String key = KeyNormalizer.key(value);
        if (key.isEmpty()) {
            missing = true;
            // a blank that is not ASCII: a site that does not take it for one puts it above all plain texts
            unordered |= value != null && value.toString().chars().anyMatch(c -> c > '~');
            return;
        }
        addKey(key, s);
        if (value instanceof Number n) {
            numbers = true;
            addNumber(KeyNormalizer.number(n));
            unordered |= Double.isNaN(KeyNormalizer.number(n));
        } else if (value instanceof String text) {
            texts = true;
            double d = KeyNormalizer.number(KeyNormalizer.fold(text));
            if (!Double.isNaN(d)) {
                addNumber(d);
            }
            addText(text);
        } else {
            unordered = true;
        }
    }

    private void addNumber(double d) {
        if (!Double.isNaN(d)) {
            smallestNumber = Math.min(smallestNumber, d);
            largestNumber = Math.max(largestNumber, d);
        }
    }

    private void addText(String text) {
        if (!KeyNormalizer.plain(text)) {
            unordered = true;
            return;
        }
        widenTextExtent(text, text, KeyNormalizer.fold(text), KeyNormalizer.fold(text));
    }

    private void widenTextExtent(String low, String high, String lowFolded, String highFolded) {
        firstText = lesser(firstText, low);
        lastText = larger(lastText, high);
        firstFoldedText = lesser(firstFoldedText, lowFolded);
        lastFoldedText = larger(lastFoldedText, highFolded);
    }

    private static String lesser(String a, String b) {
        String cut = b.length() > MAX_EXTENT_LENGTH ? b.substring(0, MAX_EXTENT_LENGTH) : b;
        return a == null || cut.compareTo(a) < 0 ? cut : a;
    }

    private static String larger(String a, String b) {
        String cut = b.length() > MAX_EXTENT_LENGTH + 1 ? b.substring(0, MAX_EXTENT_LENGTH) + ABOVE : b;
        return a == null || cut.compareTo(a) > 0 ? cut : a;
    }

    private void addKey(String key, SummaryLimits s) {
        if (values != null) {
            if (values.contains(key)) {
                return;
            }
            if (values.size() < s.values() && key.length() <= s.maxValueBytes()
                    && Encoding.utf8(key) <= s.maxValueBytes()) {
                values.add(key);
                return;
            }
            replaceValuesByFilter(s.filterBits());
        }
        filter.add(KeyNormalizer.hash(key));
    }

    /** Keeps the keys as a filter of so many bits from now on. */
    void replaceValuesByFilter(int bits) {
        filter = KeyBloomFilter.ofBits(bits);
        for (String v : values) {
            filter.add(KeyNormalizer.hash(v));
        }
        values = null;
    }

    /** Widens this one by all that another one covers. */
    void absorb(PropertySummary other, SummaryLimits s) {
        missing |= other.missing;
        unordered |= other.unordered;
        numbers |= other.numbers;
        texts |= other.texts;
        smallestNumber = Math.min(smallestNumber, other.smallestNumber);
        largestNumber = Math.max(largestNumber, other.largestNumber);
        if (other.firstText != null) {
            widenTextExtent(other.firstText, other.lastText, other.firstFoldedText, other.lastFoldedText);
        }
        if (other.values != null) {
            other.values.forEach(v -> addKey(v, s));
            return;
        }
        if (values != null) {
            replaceValuesByFilter(other.filter.bits());
        }
        filter = filter.with(other.filter);
    }

    /** Whether it admits already all that another one does. */
    boolean covers(PropertySummary o) {
        return (missing || !o.missing) && (unordered || !o.unordered) && (numbers || !o.numbers) && (texts || !o.texts)
                && smallestNumber <= o.smallestNumber && largestNumber >= o.largestNumber && coversTexts(o)
                && coversValues(o);
    }

    private boolean coversTexts(PropertySummary o) {
        if (o.firstText == null) {
            return true;
        }
        return firstText != null && firstText.compareTo(o.firstText) <= 0 && lastText.compareTo(o.lastText) >= 0
                && firstFoldedText.compareTo(o.firstFoldedText) <= 0 && lastFoldedText.compareTo(o.lastFoldedText) >= 0;
    }

    /** Which values another's filter admits can't be enumerated, so such a one is never covered. */
    private boolean coversValues(PropertySummary o) {
        return o.values != null && o.values.stream()
                .allMatch(v -> values != null ? values.contains(v) : filter.mightContain(KeyNormalizer.hash(v)));
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
        return filter.mightContain(e.hash()) ? null : e.property() + " is not in its filter";
    }

    private String excludes(Condition.Range r) {
        if (unordered || (numbers && texts) || (missing && r.low() == null)) {
            return null;
        }
        if (numbers) {
            return r.numeric() ? outside(r) : null;
        }
        if (!texts) {
            return "no row has a value of " + r.property();
        }
        if (r.numeric() && smallestNumber <= largestNumber && outside(r) == null) {
            return null; // a site may read its texts as numbers
        }
        return disjoint(r.low(), r.high(), firstText, lastText)
                && disjoint(folded(r.low()), folded(r.high()), firstFoldedText, lastFoldedText)
                        ? r.property() + " is from " + firstText + " to "
                                + lastText.replace(String.valueOf(ABOVE), "...")
                        : null;
    }

    private String outside(Condition.Range r) {
        if (largestNumber < r.lowest() || smallestNumber > r.highest()) {
            return r.property() + " is from " + describe(smallestNumber) + " to " + describe(largestNumber);
        }
        if (sorted == null) {
            return null;
        }
        int at = Arrays.binarySearch(sorted, r.lowest());
        at = at < 0 ? -at - 1 : at;
        return at < sorted.length && sorted[at] <= r.highest() ? null
                : r.property() + " is none of its " + values.size() + " values";
    }

    /** Sorts its numbers for range conditions, once its summary is built. */
    void sortNumbers() {
        sorted = numbers && !texts && !unordered && values != null
                ? values.stream().mapToDouble(Double::parseDouble).sorted().toArray() : null;
    }

    /** Its contents, for operators. */
    String describe() {
        return (values == null ? "filter of " + filter.bits() + " bits, " + Math.round(100 * filter.full()) + " % full"
                : values.size() + " values")
                + (smallestNumber <= largestNumber ? ", numbers from " + describe(smallestNumber) + " to "
                        + describe(largestNumber) : "")
                + (firstText == null ? ""
                        : ", texts from " + firstText + " to " + lastText.replace(String.valueOf(ABOVE), "..."))
                + (missing ? ", missing in some rows" : "") + (numbers && texts ? ", numbers and texts mixed" : "")
                + (unordered ? ", with values that can't be put in order" : "");
    }

    private static String describe(double d) {
        return d == Math.rint(d) && Math.abs(d) < 1e15 ? String.valueOf((long) d) : String.valueOf(d);
    }

    private static String folded(String end) {
        return end == null ? null : KeyNormalizer.fold(end);
    }

    private static boolean disjoint(String low, String high, String first, String last) {
        if ((low != null && !KeyNormalizer.plain(low)) || (high != null && !KeyNormalizer.plain(high))) {
            return false;
        }
        return (low != null && low.compareTo(last) > 0) || (high != null && high.compareTo(first) < 0);
    }
}
