package wallmoor.summaries;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.text.Normalizer;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Values as keys. How a site compares is not known, so the key is coarser than every way that the rules allow for: what
 * any of them holds for equal has one key. Two values of one key may still differ; that costs a part, never a row.
 */
final class KeyNormalizer {
    /** The key of what is missing, empty or blank. */
    static final String NOTHING = "";

    private static final Hasher64 HASHER = Hashing.xxh3_64();
    private static final Pattern NUMBER = Pattern.compile("[+-]?([0-9]+\\.?[0-9]*|\\.[0-9]+)([eE][+-]?[0-9]+)?");
    /** A longer number is none to any site; it also bounds what reading one costs. */
    private static final int LONGEST_NUMBER = 400;

    private KeyNormalizer() {}

    /** The key of a row's value or a condition's: a text, a number, a truth value or null. */
    static String key(Object value) {
        if (value == null) {
            return NOTHING;
        }
        if (value instanceof Number n) {
            return ofNumber(number(n));
        }
        if (value instanceof Boolean b) {
            return ofNumber(b ? 1 : 0); // a site may keep it as 1 and 0
        }
        String folded = fold(value.toString());
        double number = number(folded);
        if (!Double.isNaN(number)) {
            return ofNumber(number);
        }
        return switch (folded) {
            case "true" -> ofNumber(1);
            case "false" -> ofNumber(0);
            case "infinity", "+infinity", "inf", "+inf" -> ofNumber(Double.POSITIVE_INFINITY);
            case "-infinity", "-inf" -> ofNumber(Double.NEGATIVE_INFINITY);
            default -> folded;
        };
    }

    /** 64 bits that are the same in every program and version: filters are made of them and sent. */
    static long hash(String key) {
        return HASHER.hashCharsToLong(key);
    }

    /** The number that a text reads as, by the nearest double, or NaN. Infinite where it is too large for one. */
    static double number(String text) {
        return text.length() <= LONGEST_NUMBER && NUMBER.matcher(text).matches() ? Double.parseDouble(text) + 0.0
                : Double.NaN;
    }

    /** By its digits: a float of 0.1 is 0.1, as its site would write it. */
    static double number(Number n) {
        return Double.parseDouble(n.toString()) + 0.0; // no zero is below zero
    }

    private static String ofNumber(double d) {
        return Double.isNaN(d) ? "nan" : Double.toString(d + 0.0);
    }

    /**
     * Without case, accents, invisible signs, blanks around or doubled, or a difference of form (Unicode NFKD); digits
     * of all scripts as ASCII. Half of a surrogate pair becomes U+FFFD, as it would on any wire.
     */
    static String fold(String text) {
        if (simple(text)) {
            return text;
        }
        String upper = marksOff(text).toUpperCase(Locale.ROOT); // first up: of sharp s and both sigmas one form is left
        var lower = new StringBuilder(upper.length());
        upper.codePoints().forEach(c -> lower.appendCodePoint(Character.toLowerCase(c)));
        String even = marksOff(lower.toString());
        var out = new StringBuilder(even.length());
        boolean blank = false;
        for (int i = 0; i < even.length();) {
            int c = even.codePointAt(i);
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

    /** Most values are such already: nothing of what folding does would change them. */
    private static boolean simple(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c > '~' || (c >= 'A' && c <= 'Z')) {
                return false;
            }
        }
        return true;
    }

    private static String marksOff(String text) {
        String apart = Normalizer.normalize(text, Normalizer.Form.NFKD);
        var out = new StringBuilder(apart.length());
        apart.codePoints().filter(c -> {
            int type = Character.getType(c);
            return type != Character.NON_SPACING_MARK && type != Character.ENCLOSING_MARK
                    && type != Character.COMBINING_SPACING_MARK;
        }).forEach(out::appendCodePoint);
        return out.toString();
    }

    /**
     * Whether all orders that the rules allow for, with case and without, put such texts alike but for case: ASCII, no
     * blanks around or doubled, and none of the signs that stand between the capitals and the small letters.
     */
    static boolean plain(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < ' ' || c > '~' || (c >= '[' && c <= '`') || (c == ' ' && i > 0 && text.charAt(i - 1) == ' ')) {
                return false;
            }
        }
        return text.isEmpty() || (text.charAt(0) != ' ' && text.charAt(text.length() - 1) != ' ');
    }
}
