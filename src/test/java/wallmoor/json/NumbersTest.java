package wallmoor.json;

import static org.junit.Assert.assertEquals;

import java.util.regex.Pattern;
import org.junit.Test;

/**
 * Compares the hand-written check of JSON numbers with a regular expression, on all texts of up to six of the
 * characters that occur in numbers.
 */
public class NumbersTest {
    private static final Pattern NUMBER = Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?");
    private static final String CHARACTERS = "-+.01eE";
    private static final int MAX_LENGTH = 6;

    @Test
    public void acceptsExactlyTheNumbersThatThePatternMatches() {
        int textCount = 1;
        for (int length = 0; length <= MAX_LENGTH; length++, textCount *= CHARACTERS.length()) {
            for (int k = 0; k < textCount; k++) {
                var text = new StringBuilder();
                for (int i = 0, rest = k; i < length; i++, rest /= CHARACTERS.length()) {
                    text.append(CHARACTERS.charAt(rest % CHARACTERS.length()));
                }
                String s = text.toString();
                assertEquals(s, NUMBER.matcher(s).matches(), JsonNumbers.isNumber(s));
            }
        }
    }
}
