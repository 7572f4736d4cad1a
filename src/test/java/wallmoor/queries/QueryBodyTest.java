package wallmoor.queries;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.Test;
import wallmoor.core.Query;
import wallmoor.core.Step;
import wallmoor.json.Json;

/** Tests what a query's body means, and that reading it takes little memory, whatever a client sends. */
public class QueryBodyTest {
    private static final int SHARDS = 12;
    private static final int BODY_BYTES = 64 * 1024;
    /** The limit on what reading a body may allocate, for each of its bytes. */
    private static final long MAX_ALLOCATED_PER_BYTE = 2;

    private static QueryBody parse(String text) throws Json.Malformed, QueryBody.InvalidQueryBodyException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return QueryBody.parse(bytes, 0, bytes.length, SHARDS);
    }

    @Test
    public void readsMembersInAnyOrderAndSkipsOthers() throws Exception {
        QueryBody body = parse("{\"x\":[{\"shards\":1},\"\\u00e9\",-1.5e3,null,true],\"q\":\"caf\\u00e9\",\"shards\":"
                + "[{\"weight\":0.75,\"shard\":3,\"cost\":7,\"y\":{}},{\"\\u0073hard\":0,\"weight\":0.25}],"
                + "\"deadline_ms\":900,\"class\":\"all\"}");
        assertEquals("caf\u00e9", body.text());
        assertEquals("all", body.className());
        assertEquals(900, body.timeoutMillis(), 0);
        assertEquals(List.of(new Query.PartRequest(3, 0.75, 7), new Query.PartRequest(0, 0.25, -1)), body.parts());
        QueryBody other = parse(
                "{\"q\":[1],\"class\":7,\"deadline_ms\":\"9\",\"shards\":[{\"shard\":1,\"weight\":1}]}");
        assertNull(other.text());
        assertNull(other.className());
        assertTrue(other.timeoutMillis() < 0);
    }

    @Test
    public void rejectsInvalidParts() {
        for (String shards : new String[] {"{}", "[]", "7", "[1]", "[{}]", "[{\"shard\":0}]",
            "[{\"shard\":12,\"weight\":1}]", "[{\"shard\":-1,\"weight\":1}]", "[{\"shard\":0.5,\"weight\":1}]",
            "[{\"shard\":99999999999999999,\"weight\":1}]", "[{\"shard\":0,\"weight\":0}]",
            "[{\"shard\":0,\"weight\":1.1}]", "[{\"shard\":0,\"weight\":[1]}]", "[{\"shard\":0,\"weight\":0.5}]",
            "[{\"shard\":0,\"weight\":0.5},{\"shard\":0,\"weight\":0.5}]"}) {
            assertThrows(shards, QueryBody.InvalidQueryBodyException.class,
                    () -> parse("{\"q\":\"x\",\"shards\":" + shards + "}"));
        }
        for (String text : new String[] {"", "[]", "{\"shards\":[{\"shard\":0,\"weight\":1}]", "{\"x\":[1,]}",
            "{\"x\":\"\\x\"}", "{\"x\":01}", "{\"x\":" + "[".repeat(100) + "]".repeat(100) + "}", "{} 1"}) {
            assertThrows(text, Exception.class, () -> parse(text));
        }
    }

    /** Guards against bodies within the limit that each take megabytes of the heap, which a burst of them fills. */
    @Test
    public void allocatesAtMostTwiceItsBytes() throws Exception {
        String parts = "\"shards\":[{\"shard\":0,\"weight\":1}],";
        for (String unit : new String[] {"{},", "[],", "[[[{}]]],", "0,", "\"\",", "{\"a\":0},", "\"\\n\",", "1e9,"}) {
            assertAllocatesLittle("{\"q\":\"x\"," + parts + "\"x\":[" + repeat(unit) + "0]}");
            assertAllocatesLittle("{\"q\":\"x\",\"shards\":[" + repeat(unit) + "0]}");
        }
        assertAllocatesLittle("{" + repeat("\"a\":{},") + parts + "\"q\":\"x\"}");
        assertAllocatesLittle("{" + repeat("\"abcdefgh\":0,") + parts + "\"q\":\"x\"}");
    }

    private static String repeat(String unit) {
        return unit.repeat((BODY_BYTES - 200) / unit.length());
    }

    private static void assertAllocatesLittle(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        tryToParse(bytes); // loads classes
        var threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        tryToParse(bytes);
        long allocated = threads.getCurrentThreadAllocatedBytes() - before;
        assertTrue(text.substring(0, 60) + ": " + allocated, allocated <= MAX_ALLOCATED_PER_BYTE * bytes.length);
    }

    private static void tryToParse(byte[] bytes) {
        try {
            QueryBody.parse(bytes, 0, bytes.length, SHARDS);
        } catch (Json.Malformed | QueryBody.InvalidQueryBodyException e) {
            // the memory counts in either case
        }
    }

    @Test
    public void encodesAnAnswerUpToTheMaximumSize() {
        byte[] first = "caf\u00e9".getBytes(StandardCharsets.UTF_8);
        byte[] second = "\"".getBytes(StandardCharsets.UTF_8);
        var answer = new Step.Answer(true, List.of(new Step.PartValue(3, first), new Step.PartValue(0, second)));
        String json = "{\"complete\":true,\"hits\":[{\"shard\":3,\"doc\":\"caf\u00e9\"},"
                + "{\"shard\":0,\"doc\":\"\\\"\"}]}";
        byte[] expected = json.getBytes(StandardCharsets.UTF_8);
        assertArrayEquals(expected, QueryBody.encodeAnswer("", answer, expected.length));
        assertNull(QueryBody.encodeAnswer("", answer, expected.length - 1));
    }
}
