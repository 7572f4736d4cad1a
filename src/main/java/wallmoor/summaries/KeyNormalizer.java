package wallmoor.summaries;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.text.Normalizer;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Normalizes property values to keys. How a site compares values is not known, so values that are equal under any
 * comparison that the pruning rules allow for have the same key. Different values may share a key; then a part may be
 * sent in vain, but no row is missed.
 */
final class KeyNormalizer {
    /** The key of a value that is missing, empty or blank. */
    static final String MISSING = "";

    private static final Hasher64 HASHER = Hashing.xxh3_64();
    private static final Pattern NUMBER = Pattern.compile("[+-]?([0-9]+\\.?[0-9]*|\\.[0-9]+)([eE][+-]?[0-9]+)?");
    /** Maximum characters of a number. No site reads a longer text as a number, and the bound limits parsing time. */
    private static final int MAX_NUMBER_LENGTH = 400;

    private KeyNormalizer() {}

    /** Returns the key of a value of a row or condition: a text, a number, a boolean or null. */
    static String key(Object value) {
        if (value == null) {
            return MISSING;
        }
        if (value instanceof Number n) {
            return numberKey(number(n));
        }
        if (value instanceof Boolean b) {
            return numberKey(b ? 1 : 0); // a site may store it as 1 and 0
        }
        String folded = fold(value.toString());
        double number = number(folded);
        if (!Double.isNaN(number)) {
            return numberKey(number);
        }
        return switch (folded) {
            case "true" -> numberKey(1);
            case "false" -> numberKey(0);
            case "infinity", "+infinity", "inf", "+inf" -> numberKey(Double.POSITIVE_INFINITY);
            case "-infinity", "-inf" -> numberKey(Double.NEGATIVE_INFINITY);
            default -> folded;
        };
    }

    /** Returns a 64-bit hash. It is the same in every process and version, because encoded filters depend on it. */
    static long hash(String key) {
        return HASHER.hashCharsToLong(key);
    }

    /** Returns the nearest double of a text that is a number (infinite if it is too large), else NaN. */
    static double number(String text) {
        return text.length() <= MAX_NUMBER_LENGTH && NUMBER.matcher(text).matches() ? Double.parseDouble(text) + 0.0
                : Double.NaN;
    }

    /** Returns the double with the same decimal digits: a float of 0.1 becomes 0.1, as its site would print it. */
    static double number(Number n) {
        return Double.parseDouble(n.toString()) + 0.0; // maps -0.0 to 0.0
    }

    private static String numberKey(double d) {
        return Double.isNaN(d) ? "nan" : Double.toString(d + 0.0);
    }

    /**
     * Returns the text in lower case, in Unicode form NFKD, without accents, invisible characters, and leading,
     * trailing or repeated blanks. Digits of all scripts become ASCII. An unpaired surrogate becomes U+FFFD, as it does
     * when the text is sent in UTF-8.
     */
    static String fold(String text) {
        if (isFolded(text)) {
            return text;
        }
        // upper case first: it unifies sharp s with ss, and both sigmas
        String upper = withoutMarks(text).toUpperCase(Locale.ROOT);
        var lower = new StringBuilder(upper.length());
        upper.codePoints().forEach(c -> lower.appendCodePoint(Character.toLowerCase(c)));
        String normalized = withoutMarks(lower.toString());
        var out = new StringBuilder(normalized.length());
        boolean blank = false;
        for (int i = 0; i < normalized.length();) {
            int c = normalized.codePointAt(i);
            i += Character.charCount(c);
            int type = Character.getType(c);
            if (Character.isWhitespace(c) || Character.isSpaceChar(c) || type == Character.CONTROL) {
                blank = out.length() > 0;
                continue;
            }
            if (type == Character.FORMAT) {
                continue;
            }
            if (blank) {
                out.append(' ');
                blank = false;
            }
            if (type == Character.SURROGATE) {
                out.append('\uFFFD');
            } else if (Character.isDigit(c)) {
                out.append((char) ('0' + Character.digit(c, 10)));
            } else if (type == Character.DASH_PUNCTUATION || c == 0x2212) {
                out.append('-');
            } else {
                out.appendCodePoint(c);
            }
        }
        return out.toString();
    }

    /** Returns whether folding certainly leaves the text unchanged, as it does with most values. */
    private static boolean isFolded(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c > '~' || (c >= 'A' && c <= 'Z')) {
                return false;
            }
        }
        return true;
    }

    private static String withoutMarks(String text) {
        String decomposed = Normalizer.normalize(text, Normalizer.Form.NFKD);
        var out = new StringBuilder(decomposed.length());
        decomposed.codePoints().filter(c -> {
            int type = Character.getType(c);
            return type != Character.NON_SPACING_MARK && type != Character.ENCLOSING_MARK
                    && type != Character.COMBINING_SPACING_MARK;
        }).forEach(out::appendCodePoint);
        return out.toString();
    }

    /**
     * Returns whether all orders that the pruning rules allow for agree on the text, apart from case: it is ASCII, has
     * no leading, trailing or repeated blanks, and no character between the upper-case and the lower-case letters.
     */
    static boolean isPlain(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < ' ' || c > '~' || (c >= '[' && c <= '`') || (c == ' ' && i > 0 && text.charAt(i - 1) == ' ')) {
                return false;
            }
        }
        return text.isEmpty() || (text.charAt(0) != ' ' && text.charAt(text.length() - 1) != ' ');
    }
}
