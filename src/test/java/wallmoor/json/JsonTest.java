package wallmoor.json;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.Test;

/** What is read as JSON, and what is refused. */
public class JsonTest {
    private static Object parse(String text) throws Json.Malformed {
        byte[] bytes = ("##" + text + "##").getBytes(StandardCharsets.UTF_8);
        return Json.parse(bytes, 2, bytes.length - 4);
    }

    @Test
    public void valuesAreReadFromASlice() throws Exception {
        var o = (Json.Obj) parse(" {\"a\" : [1, -2.5e1, true, null], \"b\":\"\\u00e9\\\"\\ud83d\\ude97é\", \"c\":{}} ");
        assertEquals(java.util.Arrays.asList(1L, -25.0, true, null), o.list("a"));
        assertEquals("é\"\uD83D\uDE97é", o.text("b"));
        assertEquals(List.of("a", "b", "c"), List.copyOf(o.members().keySet()));
        assertEquals(1e300, parse("1e300"));
        var quoted = new StringBuilder();
        Json.quote(quoted, "a\"\\\n\u0001é");
        assertEquals("a\"\\\n\u0001é", parse(quoted.toString()));
    }

    @Test
    public void whatIsNoJsonIsRefused() {
        for (String bad : new String[] {"", "{", "[1,]", "{\"a\"}", "{a:1}", "01", "1.", "+1", "nul", "\"a", "\"\\x\"",
            "\"\\u12\"", "\"\n\"", "1 2", "[1 2]", "{\"a\":1,}", "[".repeat(100) + "]".repeat(100)}) {
            assertThrows(bad, Json.Malformed.class, () -> parse(bad));
        }
    }
}
