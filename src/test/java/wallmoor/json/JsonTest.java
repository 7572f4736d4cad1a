package wallmoor.json;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.Test;

/** Checks which texts {@link Json} reads, with which values, and which it rejects. */
public class JsonTest {
    private static Object parse(String text) throws Json.Malformed {
        byte[] bytes = ("##" + text + "##").getBytes(StandardCharsets.UTF_8);
        return Json.parse(bytes, 2, bytes.length - 4);
    }

    @Test
    public void readsValuesFromASliceOfABuffer() throws Exception {
        var parsed = (Json.Obj) parse(
                " {\"a\" : [1, -2.5e1, true, null], \"b\":\"\\u00e9\\\"\\ud83d\\ude97é\", \"c\":{}} ");
        assertEquals(java.util.Arrays.asList(1L, -25.0, true, null), parsed.list("a"));
        assertEquals("é\"\uD83D\uDE97é", parsed.text("b"));
        assertEquals(List.of("a", "b", "c"), List.copyOf(parsed.members().keySet()));
        assertEquals(1e300, parse("1e300"));
        var quoted = new StringBuilder();
        Json.quote(quoted, "a\"\\\n\u0001é");
        assertEquals("a\"\\\n\u0001é", parse(quoted.toString()));
    }

    @Test
    public void rejectsTextThatIsNotJson() {
        for (String text : new String[] {"", "{", "[1,]", "{\"a\"}", "{a:1}", "01", "1.", "+1", "nul", "\"a",
            "\"\\x\"",
            "\"\\u12\"", "\"\n\"", "1 2", "[1 2]", "{\"a\":1,}", "[".repeat(100) + "]".repeat(100)}) {
            assertThrows(text, Json.Malformed.class, () -> parse(text));
        }
    }
}
