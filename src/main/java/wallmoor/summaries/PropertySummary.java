package wallmoor.summaries;

import java.util.Arrays;
import java.util.TreeSet;

/**
 * The summary of one property: its values or a filter of them, and its extents. It is not changed once its summary is
 * built.
 *
 * <p>A range is excluded only if every order that a site may use excludes it. Where values of several kinds are mixed,
 * or can't be ordered, no range is excluded (see the table in docs/summaries.md).
 */
final class PropertySummary {
    /** Maximum characters of a text extent; a longer text is rounded down for the first, and up for the last. */
    private static final int MAX_EXTENT_LENGTH = 24;
    /** Appended to a shortened last text, it sorts after all plain texts with that prefix. */
    private static final char SORTS_LAST = '\u007f';

    boolean missing;
    /** Whether it has values that orders disagree on: NaN, booleans, and texts that are not plain. */
    boolean unordered;
    boolean numbers;
    boolean texts;
    /** The extent of all values that read as numbers, texts included; smallest above largest means none. */
    double smallestNumber = Double.POSITIVE_INFINITY;
    double largestNumber = Double.NEGATIVE_INFINITY;
    /** The extent of the texts, case-sensitive and folded; null if there are none. */
    String firstText;
    String lastText;
    String firstFoldedText;
    String lastFoldedText;
    /** The keys, or null if they are too many or too long; {@link #filter} then replaces them. */
    TreeSet<String> values = new TreeSet<>();
    /** The filter of the keys' hashes, if the keys themselves are not retained. */
    KeyBloomFilter filter;
    /** The keys as sorted numbers, if all are numbers. */
    private double[] sortedNumbers;

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

    void add(Object value, SummaryLimits limits) {
        String key = KeyNormalizer.key(value);
        if (key.isEmpty()) {
            missing = true;
            if (value != null) {
                addBlank(value.toString());
            }
            return;
        }
        addKey(key, limits);
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

    /** Adds an empty or blank text. A site may also treat it as a text that sorts before all others. */
    private void addBlank(String text) {
        texts = true;
        widenTextExtent("", "", "", "");
        // a non-ASCII blank: a site that does not treat it as one sorts it after all plain texts
        unordered |= text.chars().anyMatch(c -> c > '~');
    }

    private void addNumber(double d) {
        if (!Double.isNaN(d)) {
            smallestNumber = Math.min(smallestNumber, d);
            largestNumber = Math.max(largestNumber, d);
        }
    }

    private void addText(String text) {
        if (!KeyNormalizer.isPlain(text)) {
            unordered = true;
            return;
        }
        widenTextExtent(text, text, KeyNormalizer.fold(text), KeyNormalizer.fold(text));
    }

    private void widenTextExtent(String low, String high, String lowFolded, String highFolded) {
        firstText = smaller(firstText, low);
        lastText = larger(lastText, high);
        firstFoldedText = smaller(firstFoldedText, lowFolded);
        lastFoldedText = larger(lastFoldedText, highFolded);
    }

    private static String smaller(String a, String b) {
        String cut = b.length() > MAX_EXTENT_LENGTH ? b.substring(0, MAX_EXTENT_LENGTH) : b;
        return a == null || cut.compareTo(a) < 0 ? cut : a;
    }

    private static String larger(String a, String b) {
        String cut = b.length() > MAX_EXTENT_LENGTH + 1 ? b.substring(0, MAX_EXTENT_LENGTH) + SORTS_LAST : b;
        return a == null || cut.compareTo(a) > 0 ? cut : a;
    }

    private void addKey(String key, SummaryLimits limits) {
        if (values != null) {
            if (values.contains(key)) {
                return;
            }
            if (values.size() < limits.values() && key.length() <= limits.maxValueBytes()
                    && Encoding.utf8Bytes(key) <= limits.maxValueBytes()) {
                values.add(key);
                return;
            }
            replaceValuesByFilter(limits.filterBits());
        }
        filter.add(KeyNormalizer.hash(key));
    }

    /** Replaces the keys by a filter of {@code bits} bits. */
    void replaceValuesByFilter(int bits) {
        filter = KeyBloomFilter.ofBits(bits);
        for (String v : values) {
            filter.add(KeyNormalizer.hash(v));
        }
        values = null;
    }

    /** Widens this summary by everything that another one covers. */
    void absorb(PropertySummary other, SummaryLimits limits) {
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
            other.values.forEach(v -> addKey(v, limits));
            return;
        }
        if (values != null) {
            replaceValuesByFilter(other.filter.bits());
        }
        filter = filter.union(other.filter);
    }

    /** Returns whether this summary already admits everything that another one does. */
    boolean covers(PropertySummary other) {
        return (missing || !other.missing) && (unordered || !other.unordered) && (numbers || !other.numbers)
                && (texts || !other.texts) && smallestNumber <= other.smallestNumber
                && largestNumber >= other.largestNumber && coversTexts(other) && coversValues(other);
    }

    private boolean coversTexts(PropertySummary other) {
        if (other.firstText == null) {
            return true;
        }
        return firstText != null && firstText.compareTo(other.firstText) <= 0 && lastText.compareTo(other.lastText) >= 0
                && firstFoldedText.compareTo(other.firstFoldedText) <= 0
                && lastFoldedText.compareTo(other.lastFoldedText) >= 0;
    }

    /** Returns whether the values cover those of another summary; a filter can't be enumerated and is never covered. */
    private boolean coversValues(PropertySummary other) {
        return other.values != null && other.values.stream()
                .allMatch(v -> values != null ? values.contains(v) : filter.mightContain(KeyNormalizer.hash(v)));
    }

    /** Returns why no row can match, or null if one could. */
    String exclusionReason(Condition condition) {
        return condition instanceof Condition.Equal e ? exclusionReason(e)
                : exclusionReason((Condition.Range) condition);
    }

    private String exclusionReason(Condition.Equal e) {
        if (e.key().isEmpty()) {
            return missing ? null : "every row has a value of " + e.property();
        }
        if (values != null) {
            return values.contains(e.key()) ? null : e.property() + " is none of its " + values.size() + " values";
        }
        return filter.mightContain(e.hash()) ? null : e.property() + " is not in its filter";
    }

    private String exclusionReason(Condition.Range r) {
        if (unordered || (numbers && texts) || (missing && r.low() == null)) {
            return null;
        }
        if (numbers) {
            return r.isNumeric() ? outsideReason(r) : null;
        }
        if (!texts) {
            return "no row has a value of " + r.property();
        }
        if (r.isNumeric() && smallestNumber <= largestNumber && outsideReason(r) == null) {
            return null; // a site may compare its texts as numbers
        }
        return isDisjoint(r.low(), r.high(), firstText, lastText)
                && isDisjoint(folded(r.low()), folded(r.high()), firstFoldedText, lastFoldedText)
                        ? r.property() + " is from " + firstText + " to "
                                + lastText.replace(String.valueOf(SORTS_LAST), "...")
                        : null;
    }

    private String outsideReason(Condition.Range r) {
        if (largestNumber < r.lowest() || smallestNumber > r.highest()) {
            return r.property() + " is from " + describe(smallestNumber) + " to " + describe(largestNumber);
        }
        if (sortedNumbers == null) {
            return null;
        }
        int index = Arrays.binarySearch(sortedNumbers, r.lowest());
        index = index < 0 ? -index - 1 : index;
        return index < sortedNumbers.length && sortedNumbers[index] <= r.highest() ? null
                : r.property() + " is none of its " + values.size() + " values";
    }

    /** Sorts the numbers for range conditions; called once the summary is built. */
    void sortNumbers() {
        sortedNumbers = numbers && !texts && !unordered && values != null
                ? values.stream().mapToDouble(Double::parseDouble).sorted().toArray() : null;
    }

    /** Returns a description for operators. */
    String describe() {
        return (values == null
                ? "filter of " + filter.bits() + " bits, " + Math.round(100 * filter.fillRatio()) + " % full"
                : values.size() + " values")
                + (smallestNumber <= largestNumber ? ", numbers from " + describe(smallestNumber) + " to "
                        + describe(largestNumber) : "")
                + (firstText == null ? ""
                        : ", texts from " + firstText + " to " + lastText.replace(String.valueOf(SORTS_LAST), "..."))
                + (missing ? ", missing in some rows" : "") + (numbers && texts ? ", numbers and texts mixed" : "")
                + (unordered ? ", with values that can't be put in order" : "");
    }

    private static String describe(double d) {
        return d == Math.rint(d) && Math.abs(d) < 1e15 ? String.valueOf((long) d) : String.valueOf(d);
    }

    private static String folded(String end) {
        return end == null ? null : KeyNormalizer.fold(end);
    }

    private static boolean isDisjoint(String low, String high, String first, String last) {
        if ((low != null && !KeyNormalizer.isPlain(low)) || (high != null && !KeyNormalizer.isPlain(high))) {
            return false;
        }
        return (low != null && low.compareTo(last) > 0) || (high != null && high.compareTo(first) < 0);
    }
}
